//! Retry budget for each tenant and model route. Retries are limited to a share of the requests answered, as
//! otherwise a brief overload would sustain itself. A rejected client is told a randomized time after which
//! to retry.

pub use super::recent_bodies::BodyDigest;
use super::recent_bodies::RecentBodies;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// Maximum to which consecutive rejections are counted.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 1 << 20;

/// Settings of the retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// Average number of retries admitted per request answered. Requests that merely arrive do not count: in
    /// an overload most of them are shed, and retries must decrease with the number of requests served.
    pub retry_ratio: f64,
    /// Number of retries that are admitted at once, without requests answered before.
    pub burst: f64,
    /// Shortest retry-after time.
    pub min_retry_after_s: f64,
    /// Longest retry-after time.
    pub max_retry_after_s: f64,
    /// Whether a request without a retry count is treated as a retry if its body arrived recently. Must be
    /// off where clients have good reasons to send the same body again.
    pub detect_by_body: bool,
    /// Time for which a body is remembered for `detect_by_body`.
    pub body_window_s: f64,
    /// Maximum number of bodies that are remembered.
    pub max_bodies: usize,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        RetryBudgetConfig {
            retry_ratio: 0.1,
            burst: 5.0,
            min_retry_after_s: 0.5,
            max_retry_after_s: 8.0,
            detect_by_body: false,
            body_window_s: 30.0,
            max_bodies: 65_536,
        }
    }
}

/// Outcome of [`RetryBudget::admit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    /// The request is not a retry and is admitted.
    FirstAttempt,
    /// The request is a retry within the budget and is admitted.
    Retry,
    /// The request is a retry that exceeds the budget.
    Rejected {
        /// Time after which the client may retry.
        retry_after_s: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BudgetKey {
    tenant: usize,
    route: usize,
}

/// Token bucket of a tenant and route.
struct Bucket {
    tokens: f64,
    /// Retry-after times grow with this count.
    consecutive_rejections: u32,
}

/// Retry budgets of all tenants and routes at a node.
pub struct RetryBudget {
    config: RetryBudgetConfig,
    buckets: BTreeMap<BudgetKey, Bucket>,
    recent_bodies: RecentBodies,
    rng: WyRand,
    /// Number of requests admitted since the start, including retries.
    pub admitted: u64,
    /// Number of retries admitted since the start.
    pub retries: u64,
    /// Number of retries rejected since the start.
    pub rejected: u64,
}

impl RetryBudget {
    /// Creates budgets with full buckets. `seed` must differ between nodes, so that their retry-after times
    /// differ.
    pub fn new(config: RetryBudgetConfig, seed: u64) -> Self {
        RetryBudget {
            config,
            buckets: BTreeMap::new(),
            recent_bodies: RecentBodies::default(),
            rng: WyRand::new_seed(seed),
            admitted: 0,
            retries: 0,
            rejected: 0,
        }
    }

    /// Admits or rejects a request. `retry_count` is the retry count that the client sent, if any. `body` is
    /// the digest of the tenant, the route and the request.
    pub fn admit(
        &mut self,
        now: f64,
        tenant: usize,
        route: usize,
        retry_count: Option<u32>,
        body: BodyDigest,
    ) -> RetryVerdict {
        let is_retry = self.is_retry(retry_count, &body);
        let burst = self.config.burst;
        let bucket = self
            .buckets
            .entry(BudgetKey { tenant, route })
            .or_insert(Bucket { tokens: burst, consecutive_rejections: 0 });
        if !is_retry {
            self.admitted += 1;
            if self.config.detect_by_body {
                self.recent_bodies.insert(now, body, self.config.body_window_s, self.config.max_bodies);
            }
            return RetryVerdict::FirstAttempt;
        }
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.consecutive_rejections = bucket.consecutive_rejections.saturating_sub(1);
            self.admitted += 1;
            self.retries += 1;
            return RetryVerdict::Retry;
        }
        bucket.consecutive_rejections = (bucket.consecutive_rejections + 1).min(MAX_CONSECUTIVE_REJECTIONS);
        let consecutive_rejections = bucket.consecutive_rejections;
        self.rejected += 1;
        RetryVerdict::Rejected { retry_after_s: self.draw_retry_after_s(consecutive_rejections) }
    }

    fn is_retry(&self, retry_count: Option<u32>, body: &BodyDigest) -> bool {
        match retry_count {
            Some(count) => count > 0,
            None => self.config.detect_by_body && self.recent_bodies.contains(body),
        }
    }

    /// Draws a random retry-after time. Its upper bound grows with the number of clients already waiting,
    /// since the budget admits them one by one. It is drawn from the whole range, so that they do not return
    /// at the same time.
    fn draw_retry_after_s(&mut self, consecutive_rejections: u32) -> f64 {
        let shortest = self.config.min_retry_after_s;
        let grown = shortest * (1.0 + f64::from(consecutive_rejections).sqrt());
        let longest = grown.min(self.config.max_retry_after_s);
        let fraction = self.rng.generate::<u32>() as f64 / u32::MAX as f64;
        shortest + fraction * (longest - shortest).max(0.0)
    }

    /// Refills the bucket by the retry ratio, when the answer to a request has begun.
    pub fn response_started(&mut self, tenant: usize, route: usize) {
        if let Some(bucket) = self.buckets.get_mut(&BudgetKey { tenant, route }) {
            bucket.tokens = (bucket.tokens + self.config.retry_ratio).min(self.config.burst);
        }
    }

    /// Number of bodies that are remembered.
    pub fn remembered_bodies(&self) -> usize {
        self.recent_bodies.len()
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
