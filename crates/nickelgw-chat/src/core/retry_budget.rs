//! A retry budget for each tenant and model route: retries may make up no more than a share of the requests answered, or a
//! brief overload keeps itself going. A rejected client is given a randomized time to retry after.

pub use super::recent_bodies::BodyDigest;
use super::recent_bodies::RecentBodies;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// Rejections in a row that are counted, at most.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 1 << 20;

/// Settings of the retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// Retries admitted for each request answered, on average. Not for each that arrives: in an overload, when most are shed,
    /// retries must fall with what is served.
    pub retry_ratio: f64,
    /// Retries that are admitted at once, without requests answered before.
    pub burst: f64,
    /// Shortest retry-after time.
    pub min_retry_after_s: f64,
    /// Longest retry-after time.
    pub max_retry_after_s: f64,
    /// Whether an unmarked request counts as a retry if its body came lately. Not where clients have good reasons to send the
    /// same body again.
    pub detect_by_body: bool,
    /// How long a body is remembered for that.
    pub body_window_s: f64,
    /// Bodies remembered, at most.
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

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    /// It is no retry.
    FirstAttempt,
    /// It is a retry within the budget.
    Retry,
    /// It is a retry beyond the budget.
    Rejected {
        /// When the client may retry.
        retry_after_s: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BudgetKey {
    tenant: usize,
    route: usize,
}

/// The token bucket of a tenant and route.
struct Bucket {
    tokens: f64,
    /// The more there are, the longer the retry-after times.
    consecutive_rejections: u32,
}

/// The budgets of all tenants and routes at a node.
pub struct RetryBudget {
    config: RetryBudgetConfig,
    buckets: BTreeMap<BudgetKey, Bucket>,
    recent_bodies: RecentBodies,
    rng: WyRand,
    /// Requests admitted since the start, retries included.
    pub admitted: u64,
    /// Retries admitted since the start.
    pub retries: u64,
    /// Retries rejected since the start.
    pub rejected: u64,
}

impl RetryBudget {
    /// `seed`: differs from node to node, and with it the retry-after times.
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

    /// Admits or rejects a request. `retry_count`: the client's own count, where it sends one; `body`: digest of the tenant,
    /// the route and the request.
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

    /// Grows with the clients that wait already, since the budget admits them one by one; drawn over the whole time, so that
    /// they do not return together.
    fn draw_retry_after_s(&mut self, consecutive_rejections: u32) -> f64 {
        let shortest = self.config.min_retry_after_s;
        let grown = shortest * (1.0 + f64::from(consecutive_rejections).sqrt());
        let longest = grown.min(self.config.max_retry_after_s);
        let fraction = self.rng.generate::<u32>() as f64 / u32::MAX as f64;
        shortest + fraction * (longest - shortest).max(0.0)
    }

    /// The answer to a request has begun.
    pub fn response_started(&mut self, tenant: usize, route: usize) {
        if let Some(bucket) = self.buckets.get_mut(&BudgetKey { tenant, route }) {
            bucket.tokens = (bucket.tokens + self.config.retry_ratio).min(self.config.burst);
        }
    }

    /// Bodies that are remembered.
    pub fn remembered_bodies(&self) -> usize {
        self.recent_bodies.len()
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
