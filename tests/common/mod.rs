//! A clock of its own, for the cores of a fleet played in one process.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Coming<T> {
    at: f64,
    order: u64,
    what: T,
}

impl<T> PartialEq for Coming<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl<T> Eq for Coming<T> {}
impl<T> PartialOrd for Coming<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Coming<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// What is to come, by its time, and at one time in the order in which it was told.
pub struct Clock<T> {
    coming: BinaryHeap<Reverse<Coming<T>>>,
    told: u64,
}

impl<T> Clock<T> {
    pub fn new() -> Self {
        Clock { coming: BinaryHeap::new(), told: 0 }
    }

    pub fn at(&mut self, at: f64, what: T) {
        self.told += 1;
        self.coming.push(Reverse(Coming { at, order: self.told, what }));
    }

    pub fn next(&mut self) -> Option<(f64, T)> {
        self.coming.pop().map(|Reverse(c)| (c.at, c.what))
    }
}
