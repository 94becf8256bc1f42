//! Flap damping: an engine that leaves and returns often is held out, longer each time.

/// Thresholds of the penalty, as in route flap damping.
#[derive(Clone, Copy, Debug)]
pub(super) struct DampingThresholds {
    pub(super) half_life_s: f64,
    /// Held out above this penalty.
    pub(super) suppress: f64,
    /// Used again at or below this penalty.
    pub(super) reuse: f64,
}

/// Shortest half-life that is divided by.
const MIN_HALF_LIFE_S: f64 = 1e-3;

/// A penalty that grows by one with each flap and decays by half in each half-life.
#[derive(Clone, Copy, Debug)]
pub(super) struct FlapPenalty {
    value: f64,
    at: f64,
}

impl FlapPenalty {
    pub(super) fn none(now: f64) -> FlapPenalty {
        FlapPenalty { value: 0.0, at: now }
    }

    /// Its value at a time.
    pub(super) fn at(&self, now: f64, thresholds: &DampingThresholds) -> f64 {
        let half_lives = (now - self.at).max(0.0) / thresholds.half_life_s.max(MIN_HALF_LIFE_S);
        self.value * 0.5f64.powf(half_lives)
    }

    pub(super) fn decayed(&self, now: f64, thresholds: &DampingThresholds) -> FlapPenalty {
        FlapPenalty { value: self.at(now, thresholds), at: now }
    }

    /// After one more flap.
    pub(super) fn increased(&self, now: f64, thresholds: &DampingThresholds) -> FlapPenalty {
        FlapPenalty { value: self.at(now, thresholds) + 1.0, at: now }
    }

    /// Its value when it last changed.
    pub(super) fn last_value(&self) -> f64 {
        self.value
    }
}
