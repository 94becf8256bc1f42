//! Content synchronisation (RFC 4533) as state: what a refresh or a stream of changes makes of the known entries. A refresh
//! counts only when it has ended as it should: half of it, then silence, takes nobody away. One that would take away
//! more than a share of the entries is held until a second one says the same later.

use std::collections::{BTreeMap, BTreeSet};

/// An entry's `entryUUID`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Uuid(pub [u8; 16]);

/// Attributes by name, lower case; values as they came.
pub type Attributes = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub most_entries: usize,
    pub most_attributes: usize,
    pub most_value_bytes: usize,
    /// Part of the entries that one refresh may take away unasked, and how many always may.
    pub doubt_share: f64,
    pub doubt_least: usize,
    /// How much later a second refresh must say the same.
    pub doubt_s: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            most_entries: 200_000,
            most_attributes: 32,
            most_value_bytes: 4096,
            doubt_share: 0.3,
            doubt_least: 5,
            doubt_s: 60.0,
        }
    }
}

/// What the directory says of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// It is as it was.
    Present(Uuid),
    Put(Uuid, Attributes),
    Delete(Uuid),
    /// Many at once: there, or gone.
    Set {
        deleted: bool,
        of: Vec<Uuid>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It has all been said: with `deletes` what is gone was named, without it what was not named is gone.
    Whole { deletes: bool },
    /// The cookie is too old for the directory: everything is read again, and what is known stands meanwhile.
    RefreshRequired,
    /// Broken off, refused, or over the directory's own limit.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// So many came in or changed, so many went.
    Taken {
        changed: usize,
        gone: usize,
    },
    /// So many would go: it must be said again.
    Doubted {
        gone: usize,
    },
    Dropped,
}

#[derive(Default)]
struct Refresh {
    named: BTreeSet<Uuid>,
    puts: BTreeMap<Uuid, Attributes>,
    deleted: BTreeSet<Uuid>,
    too_many: bool,
}

pub struct Sync {
    figures: Figures,
    known: BTreeMap<Uuid, Attributes>,
    cookie: Option<Vec<u8>>,
    refresh: Option<Refresh>,
    /// Since when refreshes take too many away.
    doubt: Option<f64>,
    pub version: u64,
    /// Entries left out, since they are larger than is taken.
    pub oversized: u64,
}

impl Sync {
    pub fn new(figures: Figures) -> Sync {
        Sync {
            figures,
            known: BTreeMap::new(),
            cookie: None,
            refresh: None,
            doubt: None,
            version: 0,
            oversized: 0,
        }
    }

    pub fn known(&self) -> &BTreeMap<Uuid, Attributes> {
        &self.known
    }

    /// From where to go on; none: from the beginning.
    pub fn cookie(&self) -> Option<&[u8]> {
        self.cookie.as_deref()
    }

    pub fn begin(&mut self) {
        self.refresh = Some(Refresh::default());
    }

    fn sound(&mut self, a: &Attributes) -> bool {
        let f = self.figures;
        let sound =
            a.len() <= f.most_attributes && a.values().flatten().all(|v| v.len() <= f.most_value_bytes);
        self.oversized += u64::from(!sound);
        sound
    }

    /// A word amid a refresh, or, after it, of a change as it happens.
    pub fn said(&mut self, said: Said) {
        if let Said::Put(_, a) = &said {
            if !self.sound(a) {
                // Left as it was known: an entry that grew too large is no reason to refuse its owner.
                let Said::Put(id, _) = said else { return };
                if let Some(r) = &mut self.refresh {
                    r.named.insert(id);
                }
                return;
            }
        }
        let most = self.figures.most_entries;
        match &mut self.refresh {
            Some(r) => {
                match said {
                    Said::Present(id) => {
                        r.named.insert(id);
                    }
                    Said::Put(id, a) => {
                        r.named.insert(id);
                        r.deleted.remove(&id);
                        r.puts.insert(id, a);
                    }
                    Said::Delete(id) => {
                        r.named.remove(&id);
                        r.puts.remove(&id);
                        r.deleted.insert(id);
                    }
                    Said::Set { deleted: true, of } => r.deleted.extend(of),
                    Said::Set { deleted: false, of } => r.named.extend(of),
                }
                r.too_many |= r.named.len() > most || r.deleted.len() > most;
            }
            None => {
                let changed = match said {
                    Said::Present(_) => false,
                    Said::Put(id, _) if self.known.len() >= most && !self.known.contains_key(&id) => false,
                    Said::Put(id, a) => self.known.insert(id, a.clone()) != Some(a),
                    Said::Delete(id) => self.known.remove(&id).is_some(),
                    Said::Set { deleted, of } => {
                        deleted && of.iter().filter(|id| self.known.remove(id).is_some()).count() > 0
                    }
                };
                self.version += u64::from(changed);
            }
        }
    }

    /// A cookie that came with a word: good only for what has been taken.
    pub fn cookie_came(&mut self, cookie: Vec<u8>) {
        if self.refresh.is_none() {
            self.cookie = Some(cookie);
        }
    }

    /// The refresh is over, in one way or another.
    pub fn ended(&mut self, now: f64, how: Ended, cookie: Option<Vec<u8>>) -> Verdict {
        let Some(r) = self.refresh.take() else { return Verdict::Dropped };
        let deletes = match how {
            Ended::Broken => return Verdict::Dropped,
            Ended::RefreshRequired => {
                self.cookie = None;
                return Verdict::Dropped;
            }
            Ended::Whole { .. } if r.too_many => return Verdict::Dropped,
            Ended::Whole { deletes } => deletes,
        };
        let gone: Vec<Uuid> = match deletes {
            true => r.deleted.iter().filter(|id| self.known.contains_key(id)).copied().collect(),
            false => self.known.keys().filter(|id| !r.named.contains(id)).copied().collect(),
        };
        let f = self.figures;
        let many = gone.len() > f.doubt_least && gone.len() as f64 > f.doubt_share * self.known.len() as f64;
        if many {
            let since = *self.doubt.get_or_insert(now);
            if now < since + f.doubt_s {
                // What came is taken all the same; the next refresh begins from the start, to say it all again.
                self.take(r.puts);
                self.cookie = None;
                return Verdict::Doubted { gone: gone.len() };
            }
        }
        self.doubt = None;
        let changed = self.take(r.puts);
        for id in &gone {
            self.known.remove(id);
        }
        self.version += u64::from(!gone.is_empty());
        self.cookie = cookie.or(self.cookie.take());
        Verdict::Taken { changed, gone: gone.len() }
    }

    fn take(&mut self, puts: BTreeMap<Uuid, Attributes>) -> usize {
        let mut changed = 0;
        for (id, a) in puts {
            changed += usize::from(self.known.get(&id) != Some(&a));
            self.known.insert(id, a);
        }
        self.version += u64::from(changed > 0);
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn id(n: u8) -> Uuid {
        Uuid([n; 16])
    }

    fn entry(v: u8) -> Attributes {
        [("cn".to_string(), vec![vec![v]])].into()
    }

    fn full(s: &mut Sync, now: f64, of: impl Iterator<Item = u8>) -> Verdict {
        s.begin();
        of.for_each(|n| s.said(Said::Put(id(n), entry(n))));
        s.ended(now, Ended::Whole { deletes: false }, Some(vec![1]))
    }

    #[test]
    fn half_of_the_pages_take_nobody_away() {
        let mut s = Sync::new(Figures::default());
        assert_eq!(full(&mut s, 0.0, 0..100), Verdict::Taken { changed: 100, gone: 0 });
        s.begin();
        (0..50).for_each(|n| s.said(Said::Put(id(n), entry(n + 1))));
        s.cookie_came(vec![9]);
        assert_eq!(s.ended(1.0, Ended::Broken, None), Verdict::Dropped);
        assert_eq!((s.known().len(), s.known()[&id(3)] == entry(3), s.cookie()), (100, true, Some(&[1][..])));
        // A cookie that is refused: all is read again, and what is known stands meanwhile.
        s.begin();
        assert_eq!(s.ended(2.0, Ended::RefreshRequired, None), Verdict::Dropped);
        assert_eq!((s.known().len(), s.cookie()), (100, None));
    }

    #[test]
    fn an_empty_result_must_be_said_twice_and_a_few_that_go_do() {
        let mut s = Sync::new(Figures::default());
        full(&mut s, 0.0, 0..100);
        assert_eq!(full(&mut s, 10.0, 4..100), Verdict::Taken { changed: 0, gone: 4 });
        // A wrong base, or lost rights.
        assert_eq!(full(&mut s, 20.0, 0..0), Verdict::Doubted { gone: 96 });
        assert_eq!(full(&mut s, 50.0, 0..0), Verdict::Doubted { gone: 96 });
        assert_eq!(full(&mut s, 60.0, 4..100), Verdict::Taken { changed: 0, gone: 0 });
        assert_eq!(full(&mut s, 100.0, 0..0), Verdict::Doubted { gone: 96 });
        assert_eq!(
            (s.known().len(), full(&mut s, 161.0, 0..0)),
            (96, Verdict::Taken { changed: 0, gone: 96 })
        );
    }

    #[test]
    fn deletes_by_name_and_changes_as_they_happen() {
        let mut s = Sync::new(Figures::default());
        full(&mut s, 0.0, 0..10);
        s.begin();
        s.said(Said::Set { deleted: true, of: vec![id(1), id(2), id(77)] });
        s.said(Said::Put(id(20), entry(20)));
        assert_eq!(
            s.ended(1.0, Ended::Whole { deletes: true }, Some(vec![2])),
            Verdict::Taken { changed: 1, gone: 2 }
        );
        let version = s.version;
        s.said(Said::Delete(id(3)));
        s.said(Said::Put(id(4), entry(99)));
        s.said(Said::Put(id(4), entry(99)));
        s.cookie_came(vec![3]);
        assert_eq!((s.known().len(), s.version, s.cookie()), (8, version + 2, Some(&[3][..])));
        // One that is larger than is taken stays as it was.
        s.said(Said::Put(id(4), [("cn".to_string(), vec![vec![0; 5000]])].into()));
        assert_eq!((s.known()[&id(4)] == entry(99), s.oversized), (true, 1));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(131), failure_persistence: None, ..ProptestConfig::default() })]
        /// A directory that changes, and refreshes that break anywhere: once one has come through twice, what is known is the
        /// directory; until then nothing vanishes by a break.
        #[test]
        fn what_is_known_is_what_a_whole_refresh_said(
            steps in prop::collection::vec((0u8..5, 0u8..20, any::<u8>(), any::<bool>()), 1..60),
        ) {
            let mut s = Sync::new(Figures { doubt_s: 1.0, ..Figures::default() });
            let (mut directory, mut now) = (BTreeMap::<Uuid, Attributes>::new(), 0.0);
            for (what, n, v, whole) in steps {
                now += 0.4;
                match what {
                    0 | 1 => drop(directory.insert(id(n), entry(v))),
                    2 => drop(directory.remove(&id(n))),
                    _ => {
                        let before: Vec<Uuid> = s.known().keys().copied().collect();
                        s.begin();
                        let upto = if whole { directory.len() } else { usize::from(n) % (directory.len() + 1) };
                        for (k, (id, a)) in directory.iter().take(upto).enumerate() {
                            s.said(if k % 2 == 0 || s.known().get(id) != Some(a) { Said::Put(*id, a.clone()) } else { Said::Present(*id) });
                        }
                        let verdict = s.ended(now, if whole { Ended::Whole { deletes: false } } else { Ended::Broken }, None);
                        if !whole {
                            prop_assert!(before.iter().all(|id| s.known().contains_key(id)));
                        } else if matches!(verdict, Verdict::Taken { .. }) {
                            prop_assert_eq!(s.known(), &directory);
                        }
                    }
                }
            }
            for _ in 0..2 {
                now += 2.0;
                s.begin();
                directory.iter().for_each(|(id, a)| s.said(Said::Put(*id, a.clone())));
                s.ended(now, Ended::Whole { deletes: false }, None);
            }
            prop_assert_eq!(s.known(), &directory);
        }
    }
}
