//! After a start: readers may hold states that an earlier process of this node left. Each reader is asked once to let
//! go of them; a call that fails is repeated at doubling gaps. A reader first listed long after the start has none left.

use super::Endpoint;
use std::collections::BTreeMap;
use std::rc::Rc;

const FIRST_GAP_S: f64 = 0.05;
const LONGEST_GAP_S: f64 = 1.0;
/// Calls out at once.
const AT_ONCE: usize = 16;
/// Longest that a call is waited for by this table; the shell's own limit is shorter.
const CALL_S: f64 = 5.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Due { at: f64, tries: u32 },
    Called { since: f64, tries: u32 },
    Done,
}

pub struct OrphanCleanup {
    /// From when: a predecessor that is still ending what it has open needs its states.
    from: f64,
    /// Readers listed later hold nothing of an earlier process any more.
    until: f64,
    /// By address: a reader that comes back elsewhere is another process.
    readers: BTreeMap<String, (Rc<Endpoint>, Stage)>,
}

impl OrphanCleanup {
    pub fn new(from: f64, until: f64) -> OrphanCleanup {
        OrphanCleanup { from, until, readers: BTreeMap::new() }
    }

    pub fn is_done(&self) -> bool {
        self.readers.values().all(|r| r.1 == Stage::Done)
    }

    /// The readers as listed now.
    pub fn update_endpoints(&mut self, now: f64, readers: impl Iterator<Item = Rc<Endpoint>>) {
        let mut there = BTreeMap::new();
        for place in readers {
            let known = self.readers.remove(&place.address);
            let fresh =
                if now <= self.until { Stage::Due { at: self.from.max(now), tries: 0 } } else { Stage::Done };
            let stage = known.map_or(fresh, |k| k.1);
            there.insert(place.address.clone(), (place, stage));
        }
        self.readers = there;
    }

    pub fn release_finished(&mut self, now: f64, address: &str, done: bool) {
        let Some((_, stage)) = self.readers.get_mut(address) else { return };
        let Stage::Called { tries, .. } = *stage else { return };
        let gap = crate::backoff::exponential_backoff_s(FIRST_GAP_S, tries, LONGEST_GAP_S);
        *stage = match done {
            true => Stage::Done,
            // Past this time the reader's own limit has freed them.
            false if now > self.until => Stage::Done,
            false => Stage::Due { at: now + gap, tries: tries + 1 },
        };
    }

    pub fn poll_calls(&mut self, now: f64) -> (Vec<Rc<Endpoint>>, Option<f64>) {
        let (mut out, mut wake): (Vec<_>, Option<f64>) = (Vec::new(), None);
        let mut called = self.readers.values().filter(|r| matches!(r.1, Stage::Called { .. })).count();
        for (place, stage) in self.readers.values_mut() {
            if let Stage::Called { since, tries } = *stage {
                if now >= since + CALL_S {
                    called -= 1;
                    *stage = Stage::Due { at: now, tries: tries + 1 };
                }
            }
            let at = match *stage {
                Stage::Due { at, tries } if at <= now && called < AT_ONCE => {
                    *stage = Stage::Called { since: now, tries };
                    called += 1;
                    out.push(place.clone());
                    now + CALL_S
                }
                // Others are out: the next answer wakes this table.
                Stage::Due { at, .. } if at <= now => now + 0.05,
                Stage::Due { at, .. } => at,
                Stage::Called { since, .. } => since + CALL_S,
                Stage::Done => continue,
            };
            wake = Some(wake.map_or(at, |w| w.min(at)));
        }
        (out, wake)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(n: usize) -> Rc<Endpoint> {
        Rc::new(Endpoint { id: format!("r{n}"), address: format!("a{n}"), tls_name: None })
    }

    #[test]
    fn each_reader_is_asked_until_it_answers_and_few_at_once() {
        let mut s = OrphanCleanup::new(1.0, 60.0);
        s.update_endpoints(0.5, (0..40).map(place));
        assert_eq!(s.poll_calls(0.5), (vec![], Some(1.0)));
        let (mut now, mut calls) = (1.0, BTreeMap::<String, usize>::new());
        while !s.is_done() {
            let (out, wake) = s.poll_calls(now);
            assert!(out.len() <= AT_ONCE);
            for p in out {
                let n = calls.entry(p.address.clone()).or_default();
                *n += 1;
                // The first does not answer at all, the second refuses twice.
                match p.address.as_str() {
                    "a0" if *n == 1 => {}
                    "a1" => s.release_finished(now, "a1", *n == 3),
                    a => s.release_finished(now, a, true),
                }
            }
            now = wake.unwrap_or(now).max(now + 0.01);
            assert!(now < 20.0);
        }
        assert_eq!((calls["a0"], calls["a1"], calls["a2"], calls.len()), (2, 3, 1, 40));
        // Listed again, it is done; one at another address is new, and long after the start nothing is asked.
        s.update_endpoints(20.0, [place(2), place(50)].into_iter());
        assert_eq!(s.poll_calls(20.0).0, vec![place(50)]);
        s.update_endpoints(100.0, [place(60)].into_iter());
        assert!(s.poll_calls(100.0).0.is_empty() && s.is_done());
    }

    #[test]
    fn what_never_answers_is_left_to_its_readers_own_limit() {
        let mut s = OrphanCleanup::new(0.0, 10.0);
        s.update_endpoints(0.0, [place(0)].into_iter());
        let mut now = 0.0;
        while !s.is_done() {
            let (out, wake) = s.poll_calls(now);
            out.iter().for_each(|p| s.release_finished(now, &p.address, false));
            now = wake.unwrap_or(now).max(now + 0.01);
            assert!(now < 30.0);
        }
        assert!(now > 9.0);
    }
}
