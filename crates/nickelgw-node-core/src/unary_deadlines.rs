//! Deadlines of answers that have begun and that clients do not stream: they must be complete in time.

use crate::RequestId;
use std::collections::BTreeSet;

/// Requests by the time at which their answers must be complete.
#[derive(Default)]
pub(crate) struct UnaryDeadlines {
    by_time: BTreeSet<(u64, RequestId)>,
}

/// Times are not negative, so the order of their bits is their own.
fn time_key(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl UnaryDeadlines {
    pub(crate) fn insert(&mut self, at: f64, request: RequestId) {
        self.by_time.insert((time_key(at), request));
    }

    pub(crate) fn remove(&mut self, at: f64, request: RequestId) {
        self.by_time.remove(&(time_key(at), request));
    }

    /// Takes out a request whose time is up.
    pub(crate) fn pop_expired(&mut self, now: f64) -> Option<RequestId> {
        let &(key, request) = self.by_time.first().filter(|first| f64::from_bits(first.0) <= now)?;
        self.by_time.remove(&(key, request));
        Some(request)
    }

    /// When the next time is up.
    pub(crate) fn next(&self) -> Option<f64> {
        self.by_time.first().map(|first| f64::from_bits(first.0))
    }
}
