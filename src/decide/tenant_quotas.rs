//! Tenant quotas: each tenant has a token bucket at each node, and requests beyond it wait behind all others.

use super::token_bucket::TokenBucket;
use super::Router;
use crate::interface::Deployment;

/// Capacity of a bucket: this many requests, plus the requests that its rate gives in `BURST_S` seconds.
const BURST_REQUESTS: f64 = 2.0;
const BURST_S: f64 = 2.0;

/// Quota of a tenant, with its bucket at this node.
pub(super) struct TenantQuota {
    pub(super) bucket: TokenBucket,
    /// Requests per second at all nodes together.
    pub(super) quota_per_s: f64,
}

/// Quotas of all tenants, and the number of nodes that share them.
#[derive(Default)]
pub(super) struct TenantQuotas {
    pub(super) tenants: Vec<TenantQuota>,
    node_count: f64,
    /// Whether the node does not know its position in the fleet. Then it may use nothing that nodes share.
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

    /// Counts a request of a tenant and returns whether it is over the tenant's quota.
    pub(super) fn is_over_quota(&mut self, now: f64, tenant: usize) -> bool {
        let bucket = &mut self.tenants[tenant].bucket;
        bucket.refill(now, capacity(bucket.rate_per_s));
        bucket.tokens = bucket.tokens.max(-bucket.rate_per_s) - 1.0;
        bucket.tokens < 0.0
    }

    /// Returns this node's share of all tenants' quotas, in requests per second.
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
    /// Sets the number of nodes that share the quotas. `None` if the node does not know it for now; then it
    /// may use nothing that nodes share.
    pub fn set_fleet_size(&mut self, now: f64, node_count: Option<u32>) {
        self.tenant_quotas.set_node_count(now, node_count);
    }
}
