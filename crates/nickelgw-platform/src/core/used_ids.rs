//! Ids of requests that engines may have run. Engines tell requests apart by their ids, so such an id must not run again.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// Number of ids that are kept; the oldest ones are forgotten first.
const MAX_IDS: usize = 8192;

/// The latest ids that may have run, as hashes: an id is as long as its client likes.
#[derive(Debug, Default)]
pub struct UsedIds {
    hasher: RandomState,
    /// Number of each id's insertion.
    insertions: HashMap<u64, u64>,
    /// Ids with the numbers of their insertions, the oldest first; some of them were removed since.
    order: VecDeque<(u64, u64)>,
    next_insertion: u64,
}

impl UsedIds {
    /// Adds an id, if it is not there already: further attempts of a request do not displace other ids.
    pub fn insert(&mut self, id: &str) {
        let hash = self.hasher.hash_one(id);
        if self.insertions.contains_key(&hash) {
            return;
        }
        self.insertions.insert(hash, self.next_insertion);
        self.order.push_back((hash, self.next_insertion));
        self.next_insertion += 1;
        if self.order.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Removes an id that has not run after all.
    pub fn remove(&mut self, id: &str) {
        self.insertions.remove(&self.hasher.hash_one(id));
    }

    /// Returns whether the id was added.
    pub fn contains(&self, id: &str) -> bool {
        self.insertions.contains_key(&self.hasher.hash_one(id))
    }

    fn forget_oldest(&mut self) {
        let Some((hash, insertion)) = self.order.pop_front() else { return };
        if self.insertions.get(&hash) == Some(&insertion) {
            self.insertions.remove(&hash);
        }
    }
}

#[cfg(test)]
#[path = "used_ids_tests.rs"]
mod tests;
