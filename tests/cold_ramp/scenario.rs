//! Traffic and faults of a simulated fleet.

/// Traffic and faults of a run.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// One node in ten gets six times as much traffic as the others.
    pub uneven: bool,
    /// Seven nodes in ten restart while the engines warm up.
    pub restarts: bool,
    /// Each node learns of an engine's start up to 2 s late.
    pub delayed_lists: bool,
    /// Requests arrive at twice the fleet's capacity, and clients retry a rejected request at once, up to
    /// three times.
    pub retry_storm: bool,
    /// One attempt in five fails.
    pub errors: bool,
    /// Tenants have quotas.
    pub quotas: bool,
    /// Nodes can probe engines.
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
