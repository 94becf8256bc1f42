//! For the cores of a fleet played in one process: a clock of its own, and what its nodes are told.

use nickelgw::interface::{Deployment, ModelRoute};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const COLD_FROM: f64 = 0.3;
pub const WARM_WITHIN: f64 = 9.0;
pub const MULTIPLE: f64 = 3.0;
pub const WINDOW: f64 = 2.0;

struct Coming<T> {
    at: f64,
    order: u64,
    what: T,
}

impl<T> PartialEq for Coming<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl<T> Eq for Coming<T> {}
impl<T> PartialOrd for Coming<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Coming<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// What is to come, by its time, and at one time in the order in which it was told.
pub struct Clock<T> {
    coming: BinaryHeap<Reverse<Coming<T>>>,
    told: u64,
}

impl<T> Clock<T> {
    pub fn new() -> Self {
        Clock { coming: BinaryHeap::new(), told: 0 }
    }

    pub fn at(&mut self, at: f64, what: T) {
        self.told += 1;
        self.coming.push(Reverse(Coming { at, order: self.told, what }));
    }

    pub fn next(&mut self) -> Option<(f64, T)> {
        self.coming.pop().map(|Reverse(c)| (c.at, c.what))
    }
}

/// What a node of a fleet in one zone is told; nothing is promised to tenants.
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
        slow_start_initial_share: COLD_FROM,
        warmup_s: WARM_WITHIN,
        overload_multiple: MULTIPLE,
        overload_window_s: WINDOW,
    }
}
