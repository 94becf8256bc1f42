//! State machine of a single zone: active, suspected, evacuated, recovering in steps.

use super::evidence::ZoneEvidence;
use super::ZoneConfig;

/// Share of the usual traffic in each step of a recovery: a few requests first.
pub const RECOVERY_WEIGHTS: [f64; 4] = [0.05, 0.15, 0.4, 1.0];
/// Doublings of the failback delay, at most.
const MAX_FAILBACK_DOUBLINGS: u32 = 16;

/// Whether traffic goes to a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneState {
    /// It gets all its traffic.
    Active,
    /// It gets all its traffic, but some engine of it is unreachable.
    Suspected {
        /// When it became suspected.
        since: f64,
    },
    /// It gets no traffic.
    Evacuated {
        /// When it was evacuated.
        since: f64,
        /// When it was found to respond again, if it does.
        responding_since: Option<f64>,
    },
    /// It gets a share of its traffic that grows step by step.
    Recovering {
        /// Index into [`RECOVERY_WEIGHTS`].
        step: usize,
        /// When this step began.
        since: f64,
    },
}

impl ZoneState {
    /// Share of its usual traffic that a zone in this state gets.
    pub(super) fn weight(self) -> f64 {
        match self {
            ZoneState::Evacuated { .. } => 0.0,
            ZoneState::Recovering { step, .. } => RECOVERY_WEIGHTS[step.min(RECOVERY_WEIGHTS.len() - 1)],
            ZoneState::Active | ZoneState::Suspected { .. } => 1.0,
        }
    }

    /// Whether this differs from an earlier state by more than its times.
    pub(super) fn is_transition_from(self, earlier: ZoneState) -> bool {
        match (self, earlier) {
            (ZoneState::Recovering { step, .. }, ZoneState::Recovering { step: earlier_step, .. }) => {
                step != earlier_step
            }
            _ => std::mem::discriminant(&self) != std::mem::discriminant(&earlier),
        }
    }
}

/// State of one zone, with what it remembers of earlier evacuations.
#[derive(Clone, Debug)]
pub(super) struct ZoneFailover {
    pub(super) state: ZoneState,
    /// Evacuations since the zone was last stable.
    evacuations: u32,
    /// When it was last evacuated, or last became active again.
    changed_at: f64,
}

impl ZoneFailover {
    pub(super) fn new() -> ZoneFailover {
        ZoneFailover { state: ZoneState::Active, evacuations: 0, changed_at: f64::NEG_INFINITY }
    }

    /// Moves on by the evidence; `evacuate`: it suffices for an evacuation, and the other zones can do without this one.
    pub(super) fn update(&mut self, now: f64, evidence: &ZoneEvidence, evacuate: bool, config: &ZoneConfig) {
        self.state = match self.state {
            ZoneState::Active => self.update_active(now, evidence, config),
            ZoneState::Suspected { since } => self.update_suspected(now, since, evidence, evacuate, config),
            ZoneState::Evacuated { since, responding_since: None } => {
                Self::update_unresponsive(now, since, evidence)
            }
            ZoneState::Evacuated { since, responding_since: Some(responding_since) } => {
                self.update_responding(now, since, responding_since, evidence, config)
            }
            ZoneState::Recovering { .. } if evacuate => self.evacuate(now),
            ZoneState::Recovering { step, since } => {
                self.update_recovering(now, step, since, evidence, config)
            }
        };
    }

    fn update_active(&mut self, now: f64, evidence: &ZoneEvidence, config: &ZoneConfig) -> ZoneState {
        if now > self.changed_at + config.stable_s {
            self.evacuations = 0;
        }
        if evidence.is_suspicious() {
            ZoneState::Suspected { since: now }
        } else {
            ZoneState::Active
        }
    }

    fn update_suspected(
        &mut self,
        now: f64,
        since: f64,
        evidence: &ZoneEvidence,
        evacuate: bool,
        config: &ZoneConfig,
    ) -> ZoneState {
        if !evidence.is_suspicious() {
            ZoneState::Active
        } else if evacuate && now >= since + config.confirm_s {
            self.evacuate(now)
        } else {
            ZoneState::Suspected { since }
        }
    }

    fn evacuate(&mut self, now: f64) -> ZoneState {
        self.evacuations += 1;
        self.changed_at = now;
        ZoneState::Evacuated { since: now, responding_since: None }
    }

    /// Evacuated, and no response since.
    fn update_unresponsive(now: f64, since: f64, evidence: &ZoneEvidence) -> ZoneState {
        let responding = evidence.responded_since(since) && !evidence.is_failing();
        ZoneState::Evacuated { since, responding_since: responding.then_some(now) }
    }

    /// Evacuated, but responding: it recovers once it has done so for the failback delay.
    fn update_responding(
        &self,
        now: f64,
        since: f64,
        responding_since: f64,
        evidence: &ZoneEvidence,
        config: &ZoneConfig,
    ) -> ZoneState {
        if evidence.is_failing() {
            ZoneState::Evacuated { since, responding_since: None }
        } else if now >= responding_since + self.failback_delay_s(config) {
            ZoneState::Recovering { step: 0, since: now }
        } else {
            self.state
        }
    }

    /// Doubles with each evacuation, so that a zone that flaps is used ever less often.
    fn failback_delay_s(&self, config: &ZoneConfig) -> f64 {
        let doublings = self.evacuations.saturating_sub(1).min(MAX_FAILBACK_DOUBLINGS);
        (config.failback_delay_s * 2f64.powi(doublings as i32)).min(config.max_failback_delay_s)
    }

    fn update_recovering(
        &mut self,
        now: f64,
        step: usize,
        since: f64,
        evidence: &ZoneEvidence,
        config: &ZoneConfig,
    ) -> ZoneState {
        if evidence.is_failing() {
            // A failure met in this step sets it back at once; while one stands the zone does not advance.
            return if evidence.failed_since(since, config) {
                ZoneState::Recovering { step: step.saturating_sub(1), since: now }
            } else {
                self.state
            };
        }
        if now < since + config.recovery_step_s || !evidence.responded_since(since) {
            return self.state;
        }
        if step + 2 >= RECOVERY_WEIGHTS.len() {
            self.changed_at = now;
            ZoneState::Active
        } else {
            ZoneState::Recovering { step: step + 1, since: now }
        }
    }
}
