//! Flap damping: an engine that repeatedly leaves and returns is suppressed, for longer each time.

/// Parameters of the penalty, as in route flap damping.
#[derive(Clone, Copy, Debug)]
pub(super) struct DampingThresholds {
    pub(super) half_life_s: f64,
    /// Penalty above which an engine is suppressed.
    pub(super) suppress: f64,
    /// Penalty at or below which a suppressed engine is used again.
    pub(super) reuse: f64,
}

/// Lower bound in seconds of the half-life, which avoids a division by zero.
const MIN_HALF_LIFE_S: f64 = 1e-3;

/// Penalty that grows by one with each flap and decays exponentially with the half-life.
#[derive(Clone, Copy, Debug)]
pub(super) struct FlapPenalty {
    value: f64,
    at: f64,
}

impl FlapPenalty {
    pub(super) fn none(now: f64) -> FlapPenalty {
        FlapPenalty { value: 0.0, at: now }
    }

    /// Value of the penalty at a time.
    pub(super) fn at(&self, now: f64, thresholds: &DampingThresholds) -> f64 {
        let half_lives = (now - self.at).max(0.0) / thresholds.half_life_s.max(MIN_HALF_LIFE_S);
        self.value * 0.5f64.powf(half_lives)
    }

    pub(super) fn decayed(&self, now: f64, thresholds: &DampingThresholds) -> FlapPenalty {
        FlapPenalty { value: self.at(now, thresholds), at: now }
    }

    /// Penalty after one more flap.
    pub(super) fn increased(&self, now: f64, thresholds: &DampingThresholds) -> FlapPenalty {
        FlapPenalty { value: self.at(now, thresholds) + 1.0, at: now }
    }

    /// Value of the penalty at its last update.
    pub(super) fn last_value(&self) -> f64 {
        self.value
    }
}
