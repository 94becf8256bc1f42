//! State machine of a single zone: active, suspected, evacuated, and recovering in steps.

use super::evidence::ZoneEvidence;
use super::ZoneConfig;

/// Fraction of the usual traffic in each step of a recovery. The first step allows only a few requests.
pub const RECOVERY_WEIGHTS: [f64; 4] = [0.05, 0.15, 0.4, 1.0];
/// Maximum number of times that the failback delay doubles.
const MAX_FAILBACK_DOUBLINGS: u32 = 16;

/// State of a zone, which determines its traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneState {
    /// The zone receives all its traffic.
    Active,
    /// The zone receives all its traffic, but at least one of its engines is unreachable.
    Suspected {
        /// Time at which the zone became suspected.
        since: f64,
    },
    /// The zone receives no traffic.
    Evacuated {
        /// Time at which the zone was evacuated.
        since: f64,
        /// Time at which the zone was found to respond again; `None` if it does not respond.
        responding_since: Option<f64>,
    },
    /// The zone receives a share of its traffic that grows in steps.
    Recovering {
        /// Index into [`RECOVERY_WEIGHTS`].
        step: usize,
        /// Time at which this step began.
        since: f64,
    },
}

impl ZoneState {
    /// Fraction of its usual traffic that a zone in this state receives.
    pub(super) fn weight(self) -> f64 {
        match self {
            ZoneState::Evacuated { .. } => 0.0,
            ZoneState::Recovering { step, .. } => RECOVERY_WEIGHTS[step.min(RECOVERY_WEIGHTS.len() - 1)],
            ZoneState::Active | ZoneState::Suspected { .. } => 1.0,
        }
    }

    /// Returns whether this state differs from an earlier one by more than its times.
    pub(super) fn is_transition_from(self, earlier: ZoneState) -> bool {
        match (self, earlier) {
            (ZoneState::Recovering { step, .. }, ZoneState::Recovering { step: earlier_step, .. }) => {
                step != earlier_step
            }
            _ => std::mem::discriminant(&self) != std::mem::discriminant(&earlier),
        }
    }
}

/// State of one zone and its history of evacuations.
#[derive(Clone, Debug)]
pub(super) struct ZoneFailover {
    pub(super) state: ZoneState,
    /// Number of evacuations since the zone was last stable.
    evacuations: u32,
    /// Time at which the zone was last evacuated or last became active again.
    changed_at: f64,
}

impl ZoneFailover {
    pub(super) fn new() -> ZoneFailover {
        ZoneFailover { state: ZoneState::Active, evacuations: 0, changed_at: f64::NEG_INFINITY }
    }

    /// Updates the state by the evidence. `evacuate` is true if the evidence suffices for an evacuation and
    /// the other zones can serve the traffic without this one.
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

    /// Updates an evacuated zone that has not responded since.
    fn update_unresponsive(now: f64, since: f64, evidence: &ZoneEvidence) -> ZoneState {
        let responding = evidence.responded_since(since) && !evidence.is_failing();
        ZoneState::Evacuated { since, responding_since: responding.then_some(now) }
    }

    /// Updates an evacuated zone that responds: its recovery begins once it has responded for the failback
    /// delay.
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

    /// Failback delay in seconds. It doubles with each evacuation, so that a flapping zone is used less and
    /// less often.
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
            // A failure of a request sent in this step returns the zone to the previous step at once. While
            // an older failure still counts, the zone stays in its step.
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
