//! What happens to a simulated fleet.

/// What happens to the fleet.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// One node in ten gets six times as much as the others.
    pub uneven: bool,
    /// Seven nodes in ten restart while the engines warm up.
    pub restarts: bool,
    /// Each node learns of a start up to 2 s late.
    pub delayed_lists: bool,
    /// Twice the capacity arrives, and what is rejected is retried by its client at once, three times.
    pub retry_storm: bool,
    /// One attempt in five fails.
    pub errors: bool,
    /// Tenants have quotas.
    pub quotas: bool,
    pub probes: bool,
}

pub const PLAIN: Scenario = Scenario {
    uneven: false,
    restarts: false,
    delayed_lists: false,
    retry_storm: false,
    errors: false,
    quotas: true,
    probes: true,
};
