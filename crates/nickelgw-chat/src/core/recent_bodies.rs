//! Digests of recent request bodies, by which a retry that carries no retry count is recognized.

use std::collections::{BTreeSet, VecDeque};

/// Digest of a request body.
pub type BodyDigest = [u8; 16];

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: f64,
    body: BodyDigest,
    number: u64,
}

/// Digests of bodies in the order of their arrival, bounded in time and number.
#[derive(Default)]
pub(super) struct RecentBodies {
    /// Digest and arrival number of each body. A body that arrived twice has two entries.
    bodies: BTreeSet<(BodyDigest, u64)>,
    arrivals: VecDeque<Arrival>,
    last_number: u64,
}

impl RecentBodies {
    pub(super) fn len(&self) -> usize {
        self.arrivals.len()
    }

    pub(super) fn contains(&self, body: &BodyDigest) -> bool {
        self.bodies.range((*body, 0)..=(*body, u64::MAX)).next().is_some()
    }

    /// Adds a body, and drops the oldest ones that are outside the time window or exceed `max_len`.
    pub(super) fn insert(&mut self, now: f64, body: BodyDigest, window_s: f64, max_len: usize) {
        while let Some(oldest) = self.arrivals.front() {
            if now - oldest.at < window_s && self.arrivals.len() < max_len {
                break;
            }
            self.bodies.remove(&(oldest.body, oldest.number));
            self.arrivals.pop_front();
        }
        self.last_number += 1;
        self.bodies.insert((body, self.last_number));
        self.arrivals.push_back(Arrival { at: now, body, number: self.last_number });
    }
}
