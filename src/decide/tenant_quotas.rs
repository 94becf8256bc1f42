//! Fair shares: each tenant has a token bucket at each node; what it sends beyond waits behind the rest.

use super::token_bucket::TokenBucket;
use super::Router;
use crate::interface::Deployment;

/// A bucket holds this many requests, and as many seconds' worth of its rate.
const BURST_REQUESTS: f64 = 2.0;
const BURST_S: f64 = 2.0;

/// A tenant's quota, and its bucket at this node.
pub(super) struct TenantQuota {
    pub(super) bucket: TokenBucket,
    /// Requests a second at all nodes together.
    pub(super) quota_per_s: f64,
}

/// The quotas of all tenants, and how many nodes share them.
#[derive(Default)]
pub(super) struct TenantQuotas {
    pub(super) tenants: Vec<TenantQuota>,
    node_count: f64,
    /// The node does not know its place in the fleet, and may use nothing that the fleet shares.
    pub(super) has_no_fleet_position: bool,
}

impl TenantQuotas {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let node_count = deployment.node_count.max(1) as f64;
        let quota = |&quota_per_s: &f64| {
            let rate_per_s = quota_per_s / node_count;
            let tokens = capacity(rate_per_s);
            TenantQuota { bucket: TokenBucket { tokens, refilled_at: 0.0, rate_per_s }, quota_per_s }
        };
        TenantQuotas {
            tenants: deployment.tenant_quotas.iter().map(quota).collect(),
            node_count,
            has_no_fleet_position: false,
        }
    }

    /// Counts a request of a tenant; true when it is beyond the tenant's quota.
    pub(super) fn is_over_quota(&mut self, now: f64, tenant: usize) -> bool {
        let bucket = &mut self.tenants[tenant].bucket;
        bucket.refill(now, capacity(bucket.rate_per_s));
        bucket.tokens = bucket.tokens.max(-bucket.rate_per_s) - 1.0;
        bucket.tokens < 0.0
    }

    /// What this node may admit of all tenants' quotas.
    pub(super) fn total_rate_per_s(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.bucket.rate_per_s).sum::<f64>()
    }

    fn set_node_count(&mut self, now: f64, node_count: Option<u32>) {
        self.has_no_fleet_position = node_count.is_none();
        self.node_count = node_count.map_or(self.node_count, |count| count.max(1) as f64);
        let sharing_nodes = if self.has_no_fleet_position { f64::INFINITY } else { self.node_count };
        for TenantQuota { bucket, quota_per_s } in &mut self.tenants {
            bucket.refill(now, capacity(bucket.rate_per_s));
            bucket.rate_per_s = *quota_per_s / sharing_nodes;
            bucket.refill(now, capacity(bucket.rate_per_s));
        }
    }
}

fn capacity(rate_per_s: f64) -> f64 {
    BURST_REQUESTS + BURST_S * rate_per_s
}

impl Router {
    /// How many nodes share the quotas; `None`: unknown for now, and nothing of what they share may be used.
    pub fn set_fleet_size(&mut self, now: f64, node_count: Option<u32>) {
        self.tenant_quotas.set_node_count(now, node_count);
    }
}
