//! Queues of waiting requests, one for each tenant, served by weighted fair queueing.

use super::Ticket;
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of a weight, which keeps the cost of a run finite.
const MIN_WEIGHT: f64 = 1e-6;

/// Position of a request in its tenant's queue, which is ordered from the oldest to the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// Bit pattern of the time at which the request was queued. As times are not negative, the bits sort like
    /// the times.
    queued_at_bits: u64,
    ticket: Ticket,
}

impl Position {
    fn new(queued_at: f64, ticket: Ticket) -> Position {
        Position { queued_at_bits: queued_at.max(0.0).to_bits(), ticket }
    }
}

/// Queue of each tenant, and the service that each has received.
#[derive(Default)]
pub(super) struct TenantQueues {
    queues: BTreeMap<String, BTreeSet<Position>>,
    /// Virtual time of each tenant: its number of runs divided by its weight. The tenant with the lowest is
    /// served next.
    served: BTreeMap<String, f64>,
}

impl TenantQueues {
    /// Tenants with waiting requests, and the number of these requests.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (&str, usize)> {
        self.non_empty().map(|(tenant, queue)| (tenant.as_str(), queue.len()))
    }

    pub(super) fn push(&mut self, tenant: &str, queued_at: f64, ticket: Ticket) {
        if self.queues.get(tenant).is_none_or(BTreeSet::is_empty) {
            self.catch_up(tenant);
        }
        self.queues.entry(tenant.to_string()).or_default().insert(Position::new(queued_at, ticket));
    }

    pub(super) fn remove(&mut self, tenant: &str, queued_at: f64, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(tenant) {
            queue.remove(&Position::new(queued_at, ticket));
        }
    }

    /// Removes and returns the oldest request of the tenant with the lowest virtual time.
    pub(super) fn pop(&mut self) -> Option<(String, Ticket)> {
        let served = |tenant: &str| self.served.get(tenant).copied().unwrap_or(0.0);
        let next = self.non_empty().min_by(|first, second| served(first.0).total_cmp(&served(second.0)))?;
        let tenant = next.0.clone();
        let position = self.queues.get_mut(&tenant)?.pop_first()?;
        Some((tenant, position.ticket))
    }

    /// Charges one run to the tenant.
    pub(super) fn charge(&mut self, tenant: String, weight: f64) {
        *self.served.entry(tenant).or_insert(0.0) += 1.0 / weight.max(MIN_WEIGHT);
    }

    /// Raises the virtual time of a tenant that had nothing waiting to the lowest of the waiting tenants, so
    /// that it gains no credit from the time in which it was idle.
    fn catch_up(&mut self, tenant: &str) {
        let least_served =
            self.non_empty().filter_map(|(other, _)| self.served.get(other)).copied().reduce(f64::min);
        let least_served = least_served.unwrap_or(0.0);
        let own = self.served.entry(tenant.to_string()).or_insert(least_served);
        *own = own.max(least_served);
    }

    fn non_empty(&self) -> impl Iterator<Item = (&String, &BTreeSet<Position>)> {
        self.queues.iter().filter(|(_, queue)| !queue.is_empty())
    }
}

/// Weight of a tenant at this node: its weight in the fleet times the share of its waiting requests that wait
/// at this node. A tenant that queues at five nodes thus gets no more service than one that queues at a
/// single node.
pub fn local_weight(weight: f64, waiting_here: usize, waiting_elsewhere: u64) -> f64 {
    let waiting_here = waiting_here.max(1) as f64;
    weight * waiting_here / (waiting_here + waiting_elsewhere as f64)
}
