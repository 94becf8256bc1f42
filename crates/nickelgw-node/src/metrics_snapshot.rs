//! The core's counters and gauges at one moment.

use nickelgw_node_core::ledger::ReservationCounters;
use nickelgw_node_core::RequestCounters;

/// The core's counters and gauges at the moment of the scrape.
#[derive(Clone, Debug, Default)]
pub struct MetricsSnapshot {
    /// Requests by how they ended.
    pub requests: RequestCounters,
    /// KV reservations by how they ended.
    pub reservations: ReservationCounters,
    /// Violated invariants, by name.
    pub violations: Vec<(&'static str, u64)>,
    /// Requests open now.
    pub open_requests: usize,
    /// Reservations held at prefill engines now.
    pub open_reservations: usize,
    /// 99th percentile of the time that reservations wait unclaimed.
    pub unclaimed_p99_s: f64,
    /// Longest time that a reservation waited unclaimed.
    pub unclaimed_max_s: f64,
    /// Request traces kept for `/why`.
    pub traces: usize,
    /// Zones with the share of the traffic that each gets, where zone failover is on.
    pub zone_weights: Vec<(String, f64)>,
}
