//! Settings that the core uses itself.

use nickelgw_chat::core::grant::GrantKey;
use nickelgw_tenants::core::fair_share;

/// Settings of a [`NodeCore`](crate::NodeCore) beside those of the decision module.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Name of this process of this node, part of every attempt's name and never used by another process.
    pub incarnation: String,
    /// Unix time at the process's time zero, for start times in endpoint lists.
    pub started_at_unix_s: f64,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Requests open at once; one more is not accepted.
    pub max_open_requests: usize,
    /// A stream that is silent for longer is lost.
    pub stream_idle_timeout_s: f64,
    /// How long a release that is not confirmed is repeated.
    pub release_timeout_s: f64,
    /// From when, and until when, reservations of an earlier process are released.
    pub orphan_cleanup_window_s: (f64, f64),
    /// Retry-After of requests that are rejected because the node shuts down.
    pub retry_after_s: f64,
    /// Keys that grants of reservations are made with; none: prefill engines ask for no grant.
    pub grants: Option<GrantConfig>,
    /// Tenants are accepted by their weights when there is not enough for all.
    pub fair_share: Option<FairShareConfig>,
    /// Requests open at once for each tenant; none: only the node's own limit counts.
    pub tenant_max_open: Vec<Option<usize>>,
}

/// Weights of the tenants.
#[derive(Clone, Debug)]
pub struct FairShareConfig {
    /// Bounds of the concurrency limit.
    pub limits: fair_share::FairShareLimits,
    /// By the tenant's number.
    pub weights: Vec<f64>,
}

/// Keys that grants of reservations are made with.
#[derive(Clone)]
pub struct GrantConfig {
    /// From when (Unix time) each key is used, in that order; prefill engines know them all.
    pub keys: Vec<(f64, GrantKey)>,
    /// How long a grant is valid.
    pub lifetime_s: f64,
}

impl std::fmt::Debug for GrantConfig {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(formatter, "{} keys", self.keys.len())
    }
}

impl GrantConfig {
    /// The newest key whose time has come; before any has, the first.
    pub(crate) fn key(&self, unix_now: f64) -> Option<&GrantKey> {
        let active = self.keys.iter().rev().find(|key| key.0 <= unix_now);
        active.or(self.keys.first()).map(|key| &key.1)
    }
}
