//! Token buckets of tenant, group and route, each for requests and for prompt tokens: a request is admitted only if every
//! bucket that applies has enough, and then takes from all of them. A bucket holds this node's fraction of the whole quota.

use super::permissions::Quota;
use std::collections::BTreeMap;

/// A bucket holds this many seconds of its rate.
const BURST_S: f64 = 2.0;
/// Smallest capacity, so that requests that arrive together by chance pass.
const MIN_CAPACITY: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: f64,
    /// Of all nodes.
    rate: f64,
    /// This node's fraction of the rate, from 0 to 1.
    fraction: f64,
}

impl Bucket {
    fn full(now: f64, rate: f64, fraction: f64) -> Bucket {
        let mut bucket = Bucket { tokens: 0.0, refilled_at: now, rate, fraction };
        bucket.tokens = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> f64 {
        if self.rate * self.fraction > 0.0 {
            return MIN_CAPACITY.max(BURST_S * self.rate * self.fraction);
        }
        0.0
    }

    fn refill(&mut self, now: f64) {
        // A clock that is set back neither adds nor removes tokens.
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + self.rate * self.fraction * elapsed_s).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Tokens above the new capacity are removed, so that the sum over nodes stays below the whole.
    fn set_rate(&mut self, now: f64, rate: f64, fraction: f64) {
        self.refill(now);
        self.rate = rate;
        self.fraction = fraction;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn is_limited(&self) -> bool {
        self.rate.is_finite()
    }

    /// One larger than the capacity passes when the bucket is full, and leaves it in debt.
    fn has(&self, wanted: f64) -> bool {
        let capacity = self.capacity();
        self.tokens >= wanted.min(capacity) && capacity != 0.0
    }

    /// Seconds until there are so many tokens, or the bucket is full.
    fn wait_s(&self, wanted: f64) -> f64 {
        let refill_rate = self.rate * self.fraction;
        if refill_rate > 0.0 {
            return ((wanted.min(self.capacity()) - self.tokens) / refill_rate).max(0.0);
        }
        f64::INFINITY
    }
}

/// Whose quota it is; the number is that of the tenant, group or route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaOwner {
    /// Of a tenant.
    Tenant(usize),
    /// Of a group of tenants.
    Group(usize),
    /// Of a model route.
    Route(usize),
}

/// The answer to [`TokenBuckets::admit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request was admitted, and taken from all buckets.
    Admitted,
    /// A bucket had not enough; nothing was taken.
    Rejected {
        /// The bucket with the longest wait.
        by: QuotaOwner,
        /// When it may have enough.
        retry_after_s: f64,
    },
}

/// Buckets of a quota: of requests, and of prompt tokens.
type QuotaBuckets = [Bucket; 2];

/// The buckets of all quotas.
#[derive(Default)]
pub struct TokenBuckets {
    by_owner: BTreeMap<QuotaOwner, QuotaBuckets>,
}

impl TokenBuckets {
    /// A quota is new, or has changed, or this node's fraction of it has.
    pub fn set_quota(&mut self, now: f64, owner: QuotaOwner, quota: &Quota, fraction: f64) {
        let rates = [quota.requests_per_s, quota.prompt_tokens_per_s];
        match self.by_owner.get_mut(&owner) {
            Some(buckets) => {
                for (bucket, rate) in buckets.iter_mut().zip(rates) {
                    bucket.set_rate(now, rate, fraction);
                }
            }
            None => {
                self.by_owner.insert(owner, rates.map(|rate| Bucket::full(now, rate, fraction)));
            }
        }
    }

    /// A quota no longer applies.
    pub fn remove(&mut self, owner: QuotaOwner) {
        self.by_owner.remove(&owner);
    }

    /// Admits one request with so many prompt tokens, if all quotas of `owners` allow it.
    pub fn admit(&mut self, now: f64, owners: &[QuotaOwner], prompt_tokens: f64) -> Admission {
        let wanted = [1.0, prompt_tokens];
        let mut longest_wait: Option<(QuotaOwner, f64)> = None;
        for owner in owners {
            for (bucket, wanted) in self.limited_buckets(*owner, wanted) {
                bucket.refill(now);
                if bucket.has(wanted) {
                    continue;
                }
                let wait_s = bucket.wait_s(wanted);
                if longest_wait.is_none_or(|(_, longest_s)| wait_s > longest_s) {
                    longest_wait = Some((*owner, wait_s));
                }
            }
        }
        if let Some((by, retry_after_s)) = longest_wait {
            return Admission::Rejected { by, retry_after_s };
        }
        for owner in owners {
            for (bucket, wanted) in self.limited_buckets(*owner, wanted) {
                bucket.tokens -= wanted;
            }
        }
        Admission::Admitted
    }

    fn limited_buckets(
        &mut self,
        owner: QuotaOwner,
        wanted: [f64; 2],
    ) -> impl Iterator<Item = (&mut Bucket, f64)> {
        let buckets = self.by_owner.get_mut(&owner).into_iter().flatten();
        buckets.zip(wanted).filter(|(bucket, _)| bucket.is_limited())
    }
}

#[cfg(test)]
#[path = "token_buckets_tests.rs"]
mod tests;
