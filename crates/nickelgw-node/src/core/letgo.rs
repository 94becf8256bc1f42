//! Letting go of states at readers. A call that fails is repeated, at doubling gaps, while the state may still
//! be there; the table is bounded.

use super::HeldState;
use std::collections::BTreeMap;

/// States to let go at once; past it the oldest is forgotten, and its reader's own limit frees it.
const MOST: usize = 8192;
const FIRST_GAP_S: f64 = 0.02;
/// A reader that comes back from a cut is told within this time.
const LONGEST_GAP_S: f64 = 0.32;

struct Call {
    state: HeldState,
    since: f64,
    tries: u32,
    /// When it is to be made (again); none while its answer is awaited.
    at: Option<f64>,
}

pub struct LetGo {
    within: f64,
    next: u64,
    calls: BTreeMap<u64, Call>,
    pub given_up: u64,
}

impl LetGo {
    pub fn new(within: f64) -> Self {
        LetGo { within, next: 0, calls: BTreeMap::new(), given_up: 0 }
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub fn add(&mut self, now: f64, state: HeldState) {
        if self.calls.len() >= MOST {
            self.calls.pop_first();
            self.given_up += 1;
        }
        self.next += 1;
        self.calls.insert(self.next, Call { state, since: now, tries: 0, at: Some(now) });
    }

    pub fn told(&mut self, now: f64, call: u64, done: bool) {
        let Some(c) = self.calls.get_mut(&call) else { return };
        let gap = (FIRST_GAP_S * f64::from(1u32 << c.tries.min(16))).min(LONGEST_GAP_S);
        if done || now + gap > c.since + self.within {
            self.given_up += u64::from(!done);
            self.calls.remove(&call);
        } else {
            c.at = Some(now + gap);
        }
    }

    /// Calls to make now, and when to look again.
    pub fn due(&mut self, now: f64) -> (Vec<(u64, HeldState)>, Option<f64>) {
        let (mut out, mut wake): (Vec<_>, Option<f64>) = (Vec::new(), None);
        for (&n, c) in self.calls.iter_mut() {
            match c.at {
                Some(at) if at <= now => {
                    (c.at, c.tries) = (None, c.tries + 1);
                    out.push((n, c.state.clone()));
                }
                Some(at) => wake = Some(wake.map_or(at, |w| w.min(at))),
                None => {}
            }
        }
        (out, wake)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::Place;
    use std::rc::Rc;

    fn state(n: usize) -> HeldState {
        let reader = Rc::new(Place { id: "r".into(), address: "a".into(), tls_name: None });
        HeldState { name: format!("s{n}"), reader }
    }

    #[test]
    fn a_failed_call_is_repeated_then_given_up_in_time() {
        let mut l = LetGo::new(0.5);
        l.add(1.0, state(0));
        let (mut now, mut calls) = (1.0, 0);
        while !l.is_empty() {
            let (due, wake) = l.due(now);
            due.iter().for_each(|(n, _)| l.told(now, *n, false));
            calls += due.len();
            now = wake.or(l.due(now).1).unwrap_or(now).max(now + 0.001);
            assert!(now < 2.0);
        }
        assert!((3..=6).contains(&calls), "{calls}");
        assert_eq!(l.given_up, 1);
    }

    #[test]
    fn answered_once_it_is_over_and_the_table_is_bounded() {
        let mut l = LetGo::new(0.5);
        (0..MOST + 3).for_each(|n| l.add(0.0, state(n)));
        assert_eq!((l.calls.len(), l.given_up), (MOST, 3));
        let (due, wake) = l.due(0.0);
        assert_eq!((due.len(), wake), (MOST, None));
        due.iter().for_each(|(n, _)| l.told(0.1, *n, true));
        assert!(l.is_empty());
    }
}
