//! Fair admission under overload. Below the concurrency limit every request is admitted. At the limit, only
//! requests of tenants whose open requests are below their weighted share are admitted, up to a reserve above
//! the limit.

pub use super::concurrency_limit::{ConcurrencyLimit, FairShareLimits};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default)]
struct TenantUse {
    open: usize,
    weight: f64,
}

/// Sums of weights below this are treated as rounding errors.
const MIN_WEIGHT_SUM: f64 = 1e-9;

/// Number of open requests by tenant.
#[derive(Default)]
pub struct FairShare {
    /// Tenants that have open requests.
    tenants: BTreeMap<usize, TenantUse>,
    open: usize,
    weight_sum: f64,
}

impl FairShare {
    /// Number of open requests of all tenants.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns whether one more request of a tenant is admitted. Its fair share is relative to the weights of
    /// all tenants with open requests and its own. `reserve` is the extra capacity for tenants below their
    /// fair share, as a share of the limit.
    pub fn admits(&self, limit: f64, reserve: f64, tenant: usize, weight: f64) -> bool {
        let known = self.tenants.get(&tenant).copied();
        let known_weight = known.map_or(0.0, |known| known.weight);
        let has_others = self.weight_sum - known_weight > MIN_WEIGHT_SUM;
        // A single tenant competes with no other. The router, which knows the engines, rejects what exceeds
        // their capacity.
        if (self.open as f64) < limit || !has_others {
            return true;
        }
        let (own_open, weight_sum) = match known {
            Some(known) => (known.open as f64, self.weight_sum - known.weight + weight),
            None => (0.0, self.weight_sum + weight),
        };
        let fair_share = limit * weight / weight_sum.max(MIN_WEIGHT_SUM);
        own_open + 1.0 <= fair_share && (self.open as f64) < limit * (1.0 + reserve)
    }

    /// Counts a request of a tenant that was admitted.
    pub fn request_opened(&mut self, tenant: usize, weight: f64) {
        let known = self.tenants.entry(tenant).or_default();
        self.weight_sum += weight - known.weight;
        *known = TenantUse { open: known.open + 1, weight };
        self.open += 1;
    }

    /// Removes a request of a tenant that has ended.
    pub fn request_closed(&mut self, tenant: usize) {
        let Some(known) = self.tenants.get_mut(&tenant) else { return };
        known.open -= 1;
        self.open -= 1;
        if known.open == 0 {
            self.weight_sum -= known.weight;
            self.tenants.remove(&tenant);
        }
        if self.tenants.is_empty() {
            // Prevents rounding errors from accumulating.
            self.weight_sum = 0.0;
        }
    }
}

#[cfg(test)]
#[path = "fair_share_tests.rs"]
mod tests;
