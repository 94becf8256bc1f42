//! Counters and gauges of the core at one point in time.

use nickelgw_node_core::ledger::ReservationCounters;
use nickelgw_node_core::RequestCounters;

/// Counters and gauges of the core at the time when metrics were requested.
#[derive(Clone, Debug, Default)]
pub struct MetricsSnapshot {
    /// Number of requests by outcome.
    pub requests: RequestCounters,
    /// Number of KV reservations by outcome.
    pub reservations: ReservationCounters,
    /// Names of invariants, and how often each was violated.
    pub violations: Vec<(&'static str, u64)>,
    /// Number of open requests.
    pub open_requests: usize,
    /// Number of reservations held at prefill engines.
    pub open_reservations: usize,
    /// 99th percentile of the time in seconds that reservations wait unclaimed.
    pub unclaimed_p99_s: f64,
    /// Longest time in seconds that a reservation waited unclaimed.
    pub unclaimed_max_s: f64,
    /// Number of request traces kept for `/why`.
    pub traces: usize,
    /// Zones and each zone's share of the traffic; empty if zone failover is off.
    pub zone_weights: Vec<(String, f64)>,
}
