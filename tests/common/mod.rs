//! Helpers for tests that run the routers of a whole fleet in one process: an event queue with a simulated
//! clock, and the deployment of a node.

use nickelgw::interface::{Deployment, ModelRoute};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const INITIAL_SHARE: f64 = 0.3;
pub const WARMUP_S: f64 = 9.0;
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
pub const OVERLOAD_WINDOW_S: f64 = 2.0;

struct ScheduledEvent<Event> {
    at: f64,
    sequence: u64,
    event: Event,
}

impl<Event> PartialEq for ScheduledEvent<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl<Event> Eq for ScheduledEvent<Event> {}
impl<Event> PartialOrd for ScheduledEvent<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<Event> Ord for ScheduledEvent<Event> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// Queue of events, ordered by time and then by the order in which they were scheduled.
pub struct EventQueue<Event> {
    events: BinaryHeap<Reverse<ScheduledEvent<Event>>>,
    scheduled_count: u64,
}

impl<Event> EventQueue<Event> {
    pub fn new() -> Self {
        EventQueue { events: BinaryHeap::new(), scheduled_count: 0 }
    }

    pub fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled_count += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.scheduled_count, event }));
    }

    pub fn next(&mut self) -> Option<(f64, Event)> {
        self.events.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}

/// Returns the deployment of a node in a fleet of one zone, without tenant quotas.
pub fn deployment(node: usize, nodes: usize, seed: u64, routes: Vec<ModelRoute>, probes: bool) -> Deployment {
    Deployment {
        node: node as u32,
        node_count: nodes as u32,
        seed,
        zone: 0,
        tick_s: 0.004,
        routes,
        tenant_quotas: Vec::new(),
        max_attempts: 6,
        decode_engines_prefill: false,
        reservation_limit_s: 0.8,
        connect_timeout_s: 0.25,
        cross_cell_price: 0.04,
        cross_zone_price: 0.01,
        can_cancel: true,
        can_probe: probes,
        must_poll_endpoints: false,
        max_retry_after_s: None,
        slow_start_initial_share: INITIAL_SHARE,
        warmup_s: WARMUP_S,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window_s: OVERLOAD_WINDOW_S,
    }
}
