//! Settings of the node core.

use nickelgw_chat::core::grant::GrantKey;
use nickelgw_tenants::core::fair_share;

/// Settings of a [`NodeCore`](crate::NodeCore), in addition to those of the decision module.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Unique name of this process. Attempts are named after it where engines do not know them by their
    /// request's name.
    pub incarnation: String,
    /// Unix time at the process's time zero, used to convert the Unix times in lists, records and grants.
    pub started_at_unix_s: f64,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Maximum number of open requests; further ones are rejected.
    pub max_open_requests: usize,
    /// Longest pause within a stream, in seconds; a longer one ends the attempt with a timeout.
    pub stream_idle_timeout_s: f64,
    /// How long an unconfirmed release is retried, in seconds.
    pub release_timeout_s: f64,
    /// Start and end of the period in which reservations of earlier processes are released, in seconds since
    /// the process's time zero.
    pub orphan_cleanup_window_s: (f64, f64),
    /// Retry-After of requests that are rejected because the node shuts down, in seconds.
    pub retry_after_s: f64,
    /// Keys that sign grants for reservations; `None` if prefill engines require no grant.
    pub grants: Option<GrantConfig>,
    /// Weights by which tenants share the node when it is overloaded; `None` if there is no fair share.
    pub fair_share: Option<FairShareConfig>,
    /// Maximum number of open requests by tenant number; `None` if only the node's own limit applies.
    pub tenant_max_open: Vec<Option<usize>>,
}

/// Settings of the fair share among tenants.
#[derive(Clone, Debug)]
pub struct FairShareConfig {
    /// Bounds of the concurrency limit.
    pub limits: fair_share::FairShareLimits,
    /// Weights by tenant number.
    pub weights: Vec<f64>,
}

/// Keys and lifetime of grants for reservations.
#[derive(Clone)]
pub struct GrantConfig {
    /// Keys with the Unix time from which each is used, in the order of these times. Prefill engines know all
    /// of them.
    pub keys: Vec<(f64, GrantKey)>,
    /// How long a grant is valid, in seconds.
    pub lifetime_s: f64,
}

impl std::fmt::Debug for GrantConfig {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(formatter, "{} keys", self.keys.len())
    }
}

impl GrantConfig {
    /// Returns the newest key that is already in use, or the first key if none is yet; `None` if there are no
    /// keys.
    pub(crate) fn key(&self, unix_now: f64) -> Option<&GrantKey> {
        let active = self.keys.iter().rev().find(|key| key.0 <= unix_now);
        active.or(self.keys.first()).map(|key| &key.1)
    }
}
