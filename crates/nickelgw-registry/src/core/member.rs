//! Who this node is among the nodes, and what share it may use, so that the sum of all shares stays under the whole at
//! every moment while nodes join, leave, pause and come back.
//!
//! A node's place holds by a lease: it believes in it until its own clock says that the lease may have ended, whatever the
//! registry would say, with a margin. Seeing more nodes it takes less at once. Seeing fewer it takes more only when
//! every node that it counted must have given up its place: after a lease's time and the margin. One that joins takes
//! nothing until all others must have seen it: they look at least every `look_s`, or take nothing themselves.

use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub lease_s: f64,
    /// Clocks and the way of a word: a place is given up this much earlier, waited for this much longer.
    pub margin_s: f64,
    /// A view of the nodes older than this is none: the node takes nothing new of shared limits.
    pub look_s: f64,
    pub most_nodes: u32,
}

impl Default for Figures {
    fn default() -> Self {
        Figures { lease_s: 10.0, margin_s: 2.0, look_s: 5.0, most_nodes: 4096 }
    }
}

/// What a node may use of what all share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPosition {
    /// Its own number, for turns; none: it takes no turn.
    pub number: Option<u32>,
    /// One part in so many; none: nothing.
    pub of: Option<u32>,
}

/// Another's place, or one's own, as the registry has it: number, name, and the revision at which it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct NodePlace {
    pub number: u32,
    pub name: String,
    pub since: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum MemberCommand {
    /// Take this number under the lease, if nobody has it.
    Claim(u32),
    /// Another has the number since earlier: this one is given up.
    GiveUp(u32),
    KeepAlive,
}

pub struct Member {
    figures: Figures,
    name: String,
    /// Number, and since when it is held by this node's clock.
    mine: Option<(u32, f64)>,
    claiming: Option<(u32, f64)>,
    /// Until when the lease holds for certain.
    sure_until: f64,
    kept_at: f64,
    /// The nodes as last seen, and when.
    seen: Option<f64>,
    places: BTreeMap<u32, NodePlace>,
    /// Counts seen of late, which still may be in use: until when each counts.
    counts: VecDeque<(f64, u32)>,
}

impl Member {
    pub fn new(figures: Figures, name: &str) -> Member {
        Member {
            figures,
            name: name.into(),
            mine: None,
            claiming: None,
            sure_until: 0.0,
            kept_at: f64::NEG_INFINITY,
            seen: None,
            places: BTreeMap::new(),
            counts: VecDeque::new(),
        }
    }

    /// A lease was granted or kept: it counts from when it was asked for.
    pub fn kept(&mut self, asked_at: f64, ttl_s: f64) {
        self.sure_until = self.sure_until.max(asked_at + ttl_s - self.figures.margin_s);
    }

    /// The registry says that the lease has ended, or does not know it.
    pub fn lease_lost(&mut self) {
        (self.mine, self.claiming, self.sure_until) = (None, None, 0.0);
    }

    pub fn claimed(&mut self, now: f64, number: u32, done: bool) {
        if self.claiming.take().is_some_and(|c| c.0 == number) && done {
            self.mine = Some((number, now));
        }
    }

    /// All places, as read at the registry; `asked_at`: when it was asked, which is how old the answer may be.
    pub fn nodes(&mut self, asked_at: f64, places: Vec<NodePlace>) {
        self.seen = Some(self.seen.map_or(asked_at, |s| s.max(asked_at)));
        self.places.clear();
        for p in places {
            // Two that hold one number: the earlier has it.
            let earlier = self.places.get(&p.number).is_some_and(|o| o.since <= p.since);
            if !earlier {
                self.places.insert(p.number, p);
            }
        }
        let n = self.places.len() as u32;
        // Who was counted may use its part until its lease must have ended.
        let until = asked_at + self.figures.lease_s + self.figures.margin_s;
        while self.counts.back().is_some_and(|c| c.1 <= n) {
            self.counts.pop_back();
        }
        self.counts.push_back((until, n));
        if self.counts.len() > 4096 {
            // Bounded: the most counts for longer instead.
            let (_, most) = self.counts.pop_front().unwrap_or((0.0, n));
            if let Some(c) = self.counts.front_mut() {
                c.1 = c.1.max(most);
            }
        }
    }

    fn holds(&self, now: f64) -> Option<(u32, f64)> {
        let (number, since) = self.mine?;
        let known = self.places.get(&number).is_none_or(|p| p.name == self.name);
        (now < self.sure_until && known).then_some((number, since))
    }

    /// What it may use now.
    pub fn part(&mut self, now: f64) -> FleetPosition {
        let f = self.figures;
        let nothing = FleetPosition { number: None, of: None };
        let Some((number, since)) = self.holds(now) else { return nothing };
        let fresh = self.seen.is_some_and(|s| now < s + f.look_s);
        // Its own place must be in what was seen, and all others must have seen it since.
        let settled = now >= since + f.look_s + f.margin_s;
        if !fresh || !settled || !self.places.contains_key(&number) {
            return nothing;
        }
        while self.counts.len() > 1 && self.counts.front().is_some_and(|c| now >= c.0) {
            self.counts.pop_front();
        }
        let most = self.counts.iter().map(|c| c.1).max().unwrap_or(f.most_nodes);
        FleetPosition { number: Some(number), of: Some(most.max(1)) }
    }

    /// What to do for the place, and when to look again.
    pub fn due(&mut self, now: f64) -> (Vec<MemberCommand>, f64) {
        let f = self.figures;
        let mut todo = Vec::new();
        if now >= self.kept_at + f.lease_s / 3.0 {
            self.kept_at = now;
            todo.push(MemberCommand::KeepAlive);
        }
        if let Some((number, since)) = self.mine {
            if self.places.get(&number).is_some_and(|p| p.name != self.name) {
                self.mine = None;
                todo.push(MemberCommand::GiveUp(number));
            } else if !self.places.contains_key(&number) && self.seen.is_some_and(|s| s > since) {
                // A registry that went back has forgotten it: it is taken anew.
                self.mine = None;
            }
        }
        let waits = self.claiming.is_some_and(|c| now < c.1 + f.lease_s);
        if self.mine.is_none() && !waits && self.seen.is_some() && now < self.sure_until {
            // One that holds a place from before its pause takes it up again.
            let own = self.places.values().find(|p| p.name == self.name).map(|p| p.number);
            let free = || (0..f.most_nodes).find(|n| !self.places.contains_key(n));
            if let Some(n) = own.or_else(free) {
                self.claiming = Some((n, now));
                todo.push(MemberCommand::Claim(n));
            }
        }
        (todo, now + f.lease_s / 10.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nanorand::{Rng, WyRand};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const F: Figures = Figures { lease_s: 6.0, margin_s: 1.0, look_s: 2.0, most_nodes: 64 };

    /// The registry: number to name, since, and until when the lease holds by its clock.
    #[derive(Default)]
    struct Model {
        places: BTreeMap<u32, (String, u64, f64)>,
        revision: u64,
    }

    impl Model {
        fn expire(&mut self, now: f64) {
            self.places.retain(|_, p| now < p.2);
        }

        fn list(&self) -> Vec<NodePlace> {
            let place =
                |(n, p): (&u32, &(String, u64, f64))| NodePlace { number: *n, name: p.0.clone(), since: p.1 };
            self.places.iter().map(place).collect()
        }
    }

    /// Nodes join, stop without a word, and pause for any time; words to the registry take up to half the margin or are
    /// lost. Gives the largest sum of parts seen, and how much of the time a lone settled node had everything.
    fn play(seed: u64, churn: f64, until: f64) -> f64 {
        let mut chance = WyRand::new_seed(seed);
        let mut dice = move || chance.generate::<u32>() as f64 / u32::MAX as f64;
        let mut model = Model::default();
        // A node, until when it is paused, and answers on their way: when, and what was read then.
        struct Node {
            member: Member,
            name: String,
            paused: f64,
            look_at: f64,
            lease: Option<f64>,
        }
        let mut nodes: Vec<Node> = Vec::new();
        let (mut now, mut worst, mut names) = (0.0, 0.0f64, 0);
        while now < until {
            now += 0.1;
            model.expire(now);
            if nodes.len() < 8 && dice() < churn {
                names += 1;
                let name = format!("n{names}");
                nodes.push(Node {
                    member: Member::new(F, &name),
                    name,
                    paused: 0.0,
                    look_at: now,
                    lease: None,
                });
            }
            if !nodes.is_empty() && dice() < churn / 2.0 {
                let n = (dice() * nodes.len() as f64) as usize % nodes.len();
                // Stopped for good, or for a while.
                if dice() < 0.5 {
                    nodes.remove(n);
                } else {
                    nodes[n].paused = now + 20.0 * dice();
                }
            }
            for n in nodes.iter_mut().filter(|n| now >= n.paused) {
                let lost = dice() < 0.1;
                // What is asked now was asked up to half a margin ago, as far as the node knows.
                let asked_at = now - 0.5 * F.margin_s * dice();
                if now >= n.look_at && !lost {
                    n.look_at = now + 0.5;
                    n.member.nodes(asked_at, model.list());
                }
                let (todo, _) = n.member.due(now);
                for d in todo {
                    match d {
                        MemberCommand::KeepAlive if lost => {}
                        MemberCommand::KeepAlive => {
                            let alive = n.lease.is_some_and(|l| now < l);
                            if n.lease.is_some() && !alive {
                                n.member.lease_lost();
                            }
                            n.lease = Some(now + F.lease_s);
                            n.member.kept(asked_at, F.lease_s);
                            model
                                .places
                                .values_mut()
                                .filter(|p| p.0 == n.name)
                                .for_each(|p| p.2 = now + F.lease_s);
                        }
                        MemberCommand::Claim(number) => {
                            let free =
                                !model.places.contains_key(&number) && n.lease.is_some_and(|l| now < l);
                            let own = model.places.get(&number).is_some_and(|p| p.0 == n.name);
                            if free {
                                model.revision += 1;
                                let until = n.lease.unwrap_or(now);
                                model.places.insert(number, (n.name.clone(), model.revision, until));
                            }
                            n.member.claimed(now, number, free || own);
                        }
                        MemberCommand::GiveUp(_) => {}
                    }
                }
            }
            // A paused node decides nothing; the moment it goes on, it does so by what it believes.
            let mut sum = 0.0;
            let mut numbers = BTreeMap::new();
            for n in nodes.iter_mut() {
                let p = n.member.part(now);
                sum += p.of.map_or(0.0, |of| 1.0 / f64::from(of));
                if let Some(number) = p.number {
                    *numbers.entry(number).or_insert(0) += 1;
                }
            }
            assert!(numbers.values().all(|n| *n == 1), "two nodes with one number at {now}");
            worst = worst.max(sum);
        }
        worst
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(91), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn the_sum_of_parts_never_passes_the_whole(seed in any::<u64>(), churn in 0.001..0.05f64) {
            let worst = play(seed, churn, 120.0);
            prop_assert!(worst <= 1.0 + 1e-9, "{worst}");
        }
    }

    #[test]
    fn a_place_that_the_registry_has_forgotten_is_taken_anew() {
        let mut m = Member::new(F, "a");
        m.kept(0.0, 100.0);
        m.nodes(0.0, vec![]);
        m.due(0.0);
        m.claimed(0.1, 0, true);
        m.nodes(1.0, vec![place(0, "a", 3)]);
        assert!(!m.due(1.0).0.iter().any(|d| matches!(d, MemberCommand::Claim(_))));
        m.nodes(2.0, vec![place(1, "b", 2)]);
        assert!(m.due(2.0).0.contains(&MemberCommand::Claim(0)));
    }

    #[test]
    fn with_little_churn_nearly_all_is_used() {
        assert!(play(3, 0.002, 300.0) > 0.9);
    }

    fn place(number: u32, name: &str, since: u64) -> NodePlace {
        NodePlace { number, name: name.into(), since }
    }

    #[test]
    fn more_nodes_count_at_once_fewer_only_when_they_must_have_gone() {
        let mut m = Member::new(F, "a");
        m.kept(0.0, F.lease_s);
        m.nodes(0.0, vec![]);
        assert!(m.due(0.0).0.contains(&MemberCommand::Claim(0)));
        m.claimed(0.1, 0, true);
        let see = |m: &mut Member, at: f64, n: u32| {
            m.kept(at, F.lease_s);
            let others = (1..n).map(|k| place(k, &format!("o{k}"), 9));
            m.nodes(at, others.chain([place(0, "a", 1)]).collect());
            m.part(at).of
        };
        // Not before all others must have seen it.
        assert_eq!((see(&mut m, 1.0, 4), see(&mut m, 3.2, 4)), (None, Some(4)));
        assert_eq!(see(&mut m, 4.0, 5), Some(5));
        assert_eq!(
            (see(&mut m, 5.0, 2), see(&mut m, 10.9, 2), see(&mut m, 11.1, 2)),
            (Some(5), Some(5), Some(2))
        );
        // A view that is too old is none; so is a lease that may have ended.
        assert_eq!(m.part(13.2), FleetPosition { number: None, of: None });
        m.nodes(20.0, vec![place(0, "a", 1)]);
        assert_eq!(m.part(20.0).of, None);
    }

    #[test]
    fn of_two_with_one_number_the_earlier_has_it() {
        let mut m = Member::new(F, "a");
        m.kept(0.0, 100.0);
        m.nodes(0.0, vec![]);
        m.due(0.0);
        m.claimed(0.1, 0, true);
        m.nodes(5.0, vec![place(0, "a", 7), place(0, "b", 3)]);
        assert_eq!(m.part(5.0).number, None);
        let (todo, _) = m.due(5.0);
        assert!(
            todo.contains(&MemberCommand::GiveUp(0)) && todo.contains(&MemberCommand::Claim(1)),
            "{todo:?}"
        );
    }
}
