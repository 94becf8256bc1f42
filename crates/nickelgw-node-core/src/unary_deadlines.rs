//! Deadlines by which responses that have begun and are not streamed to the client must be complete.

use crate::RequestId;
use std::collections::BTreeSet;

/// Requests ordered by the time at which their responses must be complete.
#[derive(Default)]
pub(crate) struct UnaryDeadlines {
    by_time: BTreeSet<(u64, RequestId)>,
}

/// Converts a time to an ordered key. The bits of non-negative floating-point numbers have the same order as
/// the numbers.
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

    /// Removes and returns a request whose deadline has passed; `None` if there is none.
    pub(crate) fn pop_expired(&mut self, now: f64) -> Option<RequestId> {
        let &(key, request) = self.by_time.first().filter(|first| f64::from_bits(first.0) <= now)?;
        self.by_time.remove(&(key, request));
        Some(request)
    }

    /// Returns the next deadline; `None` if there is none.
    pub(crate) fn next(&self) -> Option<f64> {
        self.by_time.first().map(|first| f64::from_bits(first.0))
    }
}
