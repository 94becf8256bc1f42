//! Token buckets of tenants, groups and routes, each for requests and for prompt tokens. A request is
//! admitted only if every bucket that applies has enough tokens, and then takes from all of them. A bucket
//! has this node's fraction of the fleet-wide quota.

use super::permissions::Quota;
use std::collections::BTreeMap;

/// Capacity of a bucket, in seconds of its rate.
const BURST_S: f64 = 2.0;
/// Minimum capacity, so that requests that happen to arrive together pass even at a low rate.
const MIN_CAPACITY: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: f64,
    /// Rate of all nodes together, in tokens per second.
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
        // A clock that goes backwards neither adds nor removes tokens.
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + self.rate * self.fraction * elapsed_s).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Changes rate and fraction. Tokens above the new capacity are removed, so that the sum over all nodes
    /// stays within the quota.
    fn set_rate(&mut self, now: f64, rate: f64, fraction: f64) {
        self.refill(now);
        self.rate = rate;
        self.fraction = fraction;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn is_limited(&self) -> bool {
        self.rate.is_finite()
    }

    /// Returns whether the bucket has enough tokens. A request larger than the capacity passes when the
    /// bucket is full, and leaves it with a negative number of tokens.
    fn has(&self, wanted: f64) -> bool {
        let capacity = self.capacity();
        self.tokens >= wanted.min(capacity) && capacity != 0.0
    }

    /// Returns the seconds until the bucket has enough tokens, or is full.
    fn wait_s(&self, wanted: f64) -> f64 {
        let refill_rate = self.rate * self.fraction;
        if refill_rate > 0.0 {
            return ((wanted.min(self.capacity()) - self.tokens) / refill_rate).max(0.0);
        }
        f64::INFINITY
    }
}

/// Owner of a quota, with the number of the tenant, group or route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaOwner {
    /// A tenant.
    Tenant(usize),
    /// A group of tenants.
    Group(usize),
    /// A model route.
    Route(usize),
}

/// Outcome of [`TokenBuckets::admit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request was admitted, and its tokens were taken from all buckets.
    Admitted,
    /// A bucket did not have enough tokens. Nothing was taken from any bucket.
    Rejected {
        /// Owner of the bucket with the longest wait.
        by: QuotaOwner,
        /// Time after which that bucket may have enough tokens. Infinite if its quota is zero.
        retry_after_s: f64,
    },
}

/// Buckets of a quota: one of requests, and one of prompt tokens.
type QuotaBuckets = [Bucket; 2];

/// Token buckets of all quotas.
#[derive(Default)]
pub struct TokenBuckets {
    by_owner: BTreeMap<QuotaOwner, QuotaBuckets>,
}

impl TokenBuckets {
    /// Adds a quota, or changes an existing quota or this node's fraction of it.
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

    /// Removes a quota that no longer applies.
    pub fn remove(&mut self, owner: QuotaOwner) {
        self.by_owner.remove(&owner);
    }

    /// Admits one request with `prompt_tokens` tokens if all quotas of `owners` allow it.
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
