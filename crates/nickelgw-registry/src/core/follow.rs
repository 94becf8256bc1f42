//! Following the registry: a full read, then a watch from the next revision on; what to do when it breaks, is silent, was
//! compacted, or goes back. Endpoints take turns; waits between tries grow, with chance in them.

use nanorand::{Rng, WyRand};

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A watch that says nothing, not even progress, for so long is taken for dead.
    pub silent_s: f64,
    pub first_gap_s: f64,
    pub longest_gap_s: f64,
    /// A revision lower than known must be heard from two endpoints, or twice over this time, to be believed.
    pub rollback_s: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { silent_s: 4.0, first_gap_s: 0.1, longest_gap_s: 2.0, rollback_s: 1.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchCommand {
    /// Read everything at this endpoint.
    Read { endpoint: usize },
    /// Watch from this revision on.
    Watch { endpoint: usize, from: u64 },
    /// What is out is called off.
    CloseWatch,
}

/// What a full read is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadVerdict {
    /// As new as what is known, or newer.
    Good,
    /// The registry has gone back: believed.
    RolledBack,
    /// Older than what is known: that endpoint lags.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Nothing is out; the next try is due.
    Rest {
        until: f64,
    },
    Reading,
    Watching {
        heard: f64,
    },
}

pub struct RegistryWatch {
    figures: Figures,
    endpoints: usize,
    endpoint: usize,
    stage: Stage,
    failures: u32,
    /// The newest revision known.
    revision: u64,
    /// Whether the next step is a full read.
    read_first: bool,
    /// The cluster that the revisions are of; empty: not known.
    cluster: String,
    /// A lower revision was heard: where, and when.
    lower: Option<(usize, f64)>,
    chance: WyRand,
    pub breaks: u64,
    pub compacted: u64,
}

impl RegistryWatch {
    pub fn new(figures: Figures, endpoints: usize, seed: u64) -> RegistryWatch {
        let mut chance = WyRand::new_seed(seed);
        let endpoints = endpoints.max(1);
        // Nodes begin at different endpoints.
        let endpoint = chance.generate_range(0..endpoints);
        RegistryWatch {
            figures,
            endpoints,
            endpoint,
            stage: Stage::Rest { until: 0.0 },
            failures: 0,
            revision: 0,
            read_first: true,
            cluster: String::new(),
            lower: None,
            chance,
            breaks: 0,
            compacted: 0,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a word is of the cluster that is followed. Another id is that of a restored one, whose revisions mean
    /// something else, be they higher or lower: everything is read again.
    pub fn is_same(&mut self, now: f64, cluster: &str) -> bool {
        if cluster.is_empty() || self.cluster.is_empty() || self.cluster == cluster {
            return true;
        }
        self.read_first = true;
        self.stage = Stage::Rest { until: now };
        false
    }

    /// A full read has come.
    pub fn read(&mut self, now: f64, revision: u64, cluster: &str) -> ReadVerdict {
        let other = !cluster.is_empty() && !self.cluster.is_empty() && self.cluster != cluster;
        if !cluster.is_empty() {
            self.cluster = cluster.into();
        }
        if other {
            self.revision = revision;
            (self.lower, self.read_first, self.failures) = (None, false, 0);
            self.stage = Stage::Rest { until: now };
            return ReadVerdict::RolledBack;
        }
        if revision < self.revision {
            let sure = self.lower.is_some_and(|(at, since)| {
                at != self.endpoint || (self.endpoints == 1 && now >= since + self.figures.rollback_s)
            });
            if !sure {
                self.lower.get_or_insert((self.endpoint, now));
                // Another one may know better.
                self.rest(now);
                self.read_first = true;
                return ReadVerdict::Stale;
            }
            self.revision = revision;
            (self.lower, self.read_first) = (None, false);
            self.stage = Stage::Rest { until: now };
            self.failures = 0;
            return ReadVerdict::RolledBack;
        }
        self.revision = revision;
        (self.lower, self.read_first, self.failures) = (None, false, 0);
        self.stage = Stage::Rest { until: now };
        ReadVerdict::Good
    }

    /// Events or progress up to a revision came over the watch. False: it is lower than what is known, so the endpoint
    /// lags or the registry went back; everything is read again to tell which.
    pub fn heard(&mut self, now: f64, revision: u64) -> bool {
        if revision < self.revision {
            self.read_first = true;
            self.stage = Stage::Rest { until: now };
            return false;
        }
        if let Stage::Watching { heard } = &mut self.stage {
            *heard = now;
            self.failures = 0;
            self.revision = revision;
        }
        true
    }

    /// What is out has failed. After a break the watch goes on at the next revision: nothing is read anew for it.
    pub fn failed(&mut self, now: f64) {
        self.breaks += 1;
        self.rest(now);
    }

    /// The revision to go on from was compacted away: everything is read again.
    pub fn was_compacted(&mut self, now: f64) {
        self.compacted += 1;
        self.read_first = true;
        self.stage = Stage::Rest { until: now };
    }

    fn rest(&mut self, now: f64) {
        let f = self.figures;
        let gap = (f.first_gap_s * f64::from(1u32 << self.failures.min(10))).min(f.longest_gap_s);
        let dice = self.chance.generate::<u32>() as f64 / u32::MAX as f64;
        // The first of the other endpoints is tried soon: one that died should cost little.
        let gap = if self.failures == 0 && self.endpoints > 1 { 0.1 * gap } else { gap };
        self.failures += 1;
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        self.stage = Stage::Rest { until: now + gap * (0.5 + 0.5 * dice) };
    }

    pub fn due(&mut self, now: f64) -> (Vec<WatchCommand>, f64) {
        let mut todo = Vec::new();
        if let Stage::Watching { heard } = self.stage {
            if now >= heard + self.figures.silent_s {
                self.breaks += 1;
                self.rest(now);
                todo.push(WatchCommand::CloseWatch);
            }
        }
        match self.stage {
            Stage::Rest { until } if now >= until => {
                let endpoint = self.endpoint;
                if self.read_first {
                    self.stage = Stage::Reading;
                    todo.push(WatchCommand::Read { endpoint });
                } else {
                    self.stage = Stage::Watching { heard: now };
                    todo.push(WatchCommand::Watch { endpoint, from: self.revision + 1 });
                }
                (todo, now + self.figures.silent_s)
            }
            Stage::Rest { until } => (todo, until),
            Stage::Reading => (todo, now + self.figures.silent_s),
            Stage::Watching { heard } => (todo, heard + self.figures.silent_s),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn next(f: &mut RegistryWatch, now: &mut f64) -> Vec<WatchCommand> {
        loop {
            let (todo, wake) = f.due(*now);
            if !todo.is_empty() {
                return todo;
            }
            *now = wake.max(*now + 1e-3);
        }
    }

    fn watching(endpoints: usize) -> (RegistryWatch, f64) {
        let (mut f, mut now) = (RegistryWatch::new(Figures::default(), endpoints, 1), 0.0);
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Read { .. }]));
        assert_eq!(f.read(0.1, 50, "c"), ReadVerdict::Good);
        now = 0.1;
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Watch { from: 51, .. }]));
        (f, now)
    }

    #[test]
    fn after_a_break_it_goes_on_at_the_next_revision_elsewhere() {
        let (mut f, mut now) = watching(3);
        assert!(f.heard(now, 60));
        let first = f.endpoint;
        f.failed(now);
        let broke = now;
        match next(&mut f, &mut now)[..] {
            [WatchCommand::Watch { endpoint, from: 61 }] => assert_ne!(endpoint, first),
            ref other => panic!("{other:?}"),
        }
        assert!(now < broke + 0.02, "another endpoint is tried at once");
        // None answers: the gaps grow, and stay under the longest.
        let mut gaps = Vec::new();
        for _ in 0..9 {
            f.failed(now);
            let before = now;
            next(&mut f, &mut now);
            gaps.push(now - before);
        }
        assert!(gaps[8] > 0.9 && gaps.iter().all(|g| *g <= 2.0), "{gaps:?}");
    }

    #[test]
    fn a_silent_watch_is_dropped_and_a_compaction_read_anew() {
        let (mut f, mut now) = watching(2);
        assert!(f.heard(now + 1.0, 50));
        assert_eq!(f.due(now + 4.5).0, vec![]);
        let todo = f.due(now + 5.1).0;
        assert_eq!(todo, vec![WatchCommand::CloseWatch]);
        now += 5.1;
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Watch { from: 51, .. }]));
        f.was_compacted(now);
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Read { .. }]));
        assert_eq!(f.read(now, 90, "c"), ReadVerdict::Good);
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Watch { from: 91, .. }]));
    }

    #[test]
    fn a_watch_that_speaks_of_an_older_revision_is_left_for_a_read() {
        let (mut f, mut now) = watching(2);
        assert!(!f.heard(now, 20));
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Read { .. }]));
    }

    #[test]
    fn a_restored_registry_is_known_by_its_cluster_whatever_its_revision() {
        let (mut f, mut now) = watching(1);
        assert!(f.is_same(now, "c") && f.is_same(now, "") && !f.is_same(now, "restored"));
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Read { .. }]));
        assert_eq!(f.read(now, 70, "restored"), ReadVerdict::RolledBack);
        assert!(matches!(next(&mut f, &mut now)[..], [WatchCommand::Watch { from: 71, .. }]));
    }

    #[test]
    fn an_endpoint_that_lags_is_passed_over_and_a_registry_that_went_back_is_believed_by_two() {
        let (mut f, mut now) = watching(2);
        f.was_compacted(now);
        next(&mut f, &mut now);
        let lagging = f.endpoint;
        assert_eq!(f.read(now, 40, "c"), ReadVerdict::Stale);
        next(&mut f, &mut now);
        assert_ne!(f.endpoint, lagging);
        assert_eq!(f.read(now, 55, "c"), ReadVerdict::Good);
        f.was_compacted(now);
        next(&mut f, &mut now);
        assert_eq!(f.read(now, 12, "c"), ReadVerdict::Stale);
        next(&mut f, &mut now);
        assert_eq!((f.read(now, 12, "c"), f.revision()), (ReadVerdict::RolledBack, 12));
        // A lone endpoint must say it twice over a time.
        let (mut f, mut now) = watching(1);
        f.was_compacted(now);
        next(&mut f, &mut now);
        let from = now;
        while f.read(now, 12, "c") == ReadVerdict::Stale {
            next(&mut f, &mut now);
        }
        assert!(now >= from + 1.0 && f.revision() == 12);
    }
}
