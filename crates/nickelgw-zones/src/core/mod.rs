//! The way from this node's zone to each other: in, doubted, left, or returned to in steps. What it turns by is a function
//! of what the nodes of this zone saw, so that nodes which know the same act the same; nobody votes.
//!
//! Evidence is engines that were silent since any engine of the zone was last heard, counted once each however many sends
//! met them. One dead engine is no zone, since others there are heard; a busy one is none, since an answer of any kind is
//! heard; what discovery says is no evidence at all.

use std::collections::BTreeMap;

/// Times and numbers by which ways turn.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Longest that an engine takes to be found silent.
    pub silent_s: f64,
    /// A doubt stands at least so long, for contradiction to arrive.
    pub confirm_s: f64,
    /// Silence older than this says nothing any more.
    pub window_s: f64,
    /// A step of the return lasts at least so long.
    pub step_s: f64,
    /// A zone left waits so long once it is heard: doubled with each leaving, up to the longest; forgotten after calm.
    pub wait_s: f64,
    pub longest_wait_s: f64,
    pub calm_s: f64,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures {
            silent_s: 0.25,
            confirm_s: 0.3,
            window_s: 5.0,
            step_s: 1.0,
            wait_s: 0.5,
            longest_wait_s: 30.0,
            calm_s: 60.0,
        }
    }
}

/// Parts of the traffic in the steps of a return: a few inferences first.
pub const STEPS: [f64; 4] = [0.05, 0.15, 0.4, 1.0];
/// Distinct silent engines that are a zone, at most: with half of it dead so many in a row are chance no more.
const MOST_NEEDED: usize = 8;
/// Distinct nodes that must have met them, where there are so many.
const NODES_NEEDED: usize = 2;

/// What one node saw of one zone, in this node's time.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Stands for the node; the own one too.
    pub node: u64,
    pub zone: usize,
    /// When any engine of it was last heard.
    pub heard: Option<f64>,
    /// Engines that could not be reached since they were heard, and when they last were not.
    pub silent: Vec<(u64, f64)>,
    /// The part that the node gives the zone.
    pub part: f64,
}

/// Engines of a zone, by what they can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct There {
    pub readers: usize,
    pub writers: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    In,
    /// Something there is silent, since then.
    Doubted(f64),
    /// Nothing is sent there; since then, and since when it is heard again.
    Left(f64, Option<f64>),
    /// At this step, since then.
    Returning(usize, f64),
}

#[derive(Clone, Debug)]
struct Way {
    state: State,
    leavings: u32,
    /// When it last was left or came in.
    turned_at: f64,
}

/// A way has turned, for those who log and count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    pub zone: usize,
    pub state: State,
    /// Distinct engines silent and distinct nodes that met them.
    pub engines: usize,
    pub nodes: usize,
}

/// What all nodes saw of one zone together.
#[derive(Clone, Debug, Default)]
struct Sum {
    heard: Option<f64>,
    silent: BTreeMap<u64, f64>,
    nodes: usize,
}

pub struct Ways {
    figures: Figures,
    ways: Vec<Way>,
    /// What the traffic goes by: the own part, or what most others give where nothing was met.
    parts: Vec<f64>,
}

impl Ways {
    pub fn new(zones: usize, figures: Figures) -> Ways {
        let way = Way { state: State::In, leavings: 0, turned_at: f64::NEG_INFINITY };
        Ways { figures, ways: vec![way; zones], parts: vec![1.0; zones] }
    }

    /// The part of the traffic that the zone is to get.
    pub fn part(&self, zone: usize) -> f64 {
        self.parts.get(zone).copied().unwrap_or(1.0)
    }

    /// The part by this node's own judgement: what others are told, so that nobody holds another back by an echo.
    pub fn own_part(&self, zone: usize) -> f64 {
        match self.ways.get(zone).map(|w| w.state) {
            Some(State::Left(..)) => 0.0,
            Some(State::Returning(step, _)) => STEPS[step.min(STEPS.len() - 1)],
            _ => 1.0,
        }
    }

    pub fn state(&self, zone: usize) -> Option<State> {
        self.ways.get(zone).map(|w| w.state)
    }

    /// Zones whose engines are to be asked whether they answer.
    pub fn to_knock(&self) -> impl Iterator<Item = usize> + '_ {
        let asked = |s: State| !matches!(s, State::In);
        (0..self.ways.len()).filter(move |&z| asked(self.ways[z].state) || self.parts[z] < 1.0)
    }

    /// Turns each way by what the nodes of this zone saw, the own ones first; `there`: engines listed, by zone.
    pub fn look(&mut self, now: f64, seen: &[Seen], there: &[There]) -> Vec<Turn> {
        let mut turns = Vec::new();
        let nodes: std::collections::BTreeSet<u64> = seen.iter().map(|s| s.node).collect();
        for zone in 0..self.ways.len() {
            let sum = self.sum(now, zone, seen);
            let engines = there.get(zone).copied().unwrap_or_default();
            let all = engines.readers + engines.writers;
            let needed = all.div_ceil(2).clamp(2, MOST_NEEDED);
            let enough = sum.silent.len() >= needed.min(all.max(1)) && all > 0;
            let enough = enough && sum.nodes >= NODES_NEEDED.min(nodes.len());
            let may = self.may_leave(zone, there);
            let before = self.ways[zone].state;
            self.turn(now, zone, &sum, enough && may);
            let state = self.ways[zone].state;
            if std::mem::discriminant(&state) != std::mem::discriminant(&before)
                || matches!((state, before), (State::Returning(a, _), State::Returning(b, _)) if a != b)
            {
                turns.push(Turn { zone, state, engines: sum.silent.len(), nodes: sum.nodes });
            }
        }
        self.agree(seen, there);
        turns
    }

    /// Silence counts while nothing of the zone was heard after it, by anybody.
    fn sum(&self, now: f64, zone: usize, seen: &[Seen]) -> Sum {
        let of_zone = || seen.iter().filter(|s| s.zone == zone);
        let mut sum = Sum { heard: of_zone().filter_map(|s| s.heard).reduce(f64::max), ..Sum::default() };
        let heard = sum.heard.unwrap_or(f64::NEG_INFINITY);
        // What was found silent had been asked earlier: a hearing in between is older than the silence.
        let counts = |at: f64| at - self.figures.silent_s > heard && at > now - self.figures.window_s;
        for s in of_zone() {
            let mut any = false;
            for &(engine, at) in s.silent.iter().filter(|x| counts(x.1)) {
                let last = sum.silent.entry(engine).or_insert(at);
                *last = last.max(at);
                any = true;
            }
            sum.nodes += usize::from(any);
        }
        sum
    }

    /// The last zone is never left, nor one without which there is no reader or no writer.
    fn may_leave(&self, zone: usize, there: &[There]) -> bool {
        let open = |z: &usize| *z != zone && !matches!(self.ways[*z].state, State::Left(..));
        let rest: Vec<There> =
            (0..self.ways.len()).filter(open).filter_map(|z| there.get(z).copied()).collect();
        let whole = there.iter().fold((0, 0), |s, t| (s.0 + t.readers, s.1 + t.writers));
        let left = rest.iter().fold((0, 0), |s, t| (s.0 + t.readers, s.1 + t.writers));
        left.0 + left.1 > 0 && (left.0 > 0 || whole.0 == 0) && (left.1 > 0 || whole.1 == 0)
    }

    fn turn(&mut self, now: f64, zone: usize, sum: &Sum, enough: bool) {
        let f = self.figures;
        let doubt = !sum.silent.is_empty();
        // On the way back one engine that stays dead holds up nothing.
        let failing = sum.silent.len() >= 2;
        let w = &mut self.ways[zone];
        if matches!(w.state, State::In) && now > w.turned_at + f.calm_s {
            w.leavings = 0;
        }
        let heard_since = |t: f64| sum.heard.is_some_and(|h| h > t);
        w.state = match w.state {
            State::In if doubt => State::Doubted(now),
            State::Doubted(_) if !doubt => State::In,
            State::Doubted(since) if enough && now >= since + f.confirm_s => {
                w.leavings += 1;
                w.turned_at = now;
                State::Left(now, None)
            }
            State::Left(since, None) if heard_since(since) && !failing => State::Left(since, Some(now)),
            State::Left(since, Some(_)) if failing => State::Left(since, None),
            State::Left(_, Some(back)) => {
                let wait =
                    (f.wait_s * 2f64.powi(w.leavings.saturating_sub(1).min(16) as i32)).min(f.longest_wait_s);
                if now >= back + wait {
                    State::Returning(0, now)
                } else {
                    w.state
                }
            }
            State::Returning(..) if enough => {
                w.leavings += 1;
                w.turned_at = now;
                State::Left(now, None)
            }
            // What was met in this step was silent: a step back at once, and no step on while it stands.
            State::Returning(step, since) if failing => {
                let met = sum.silent.values().any(|&at| at - f.silent_s > since);
                if met {
                    State::Returning(step.saturating_sub(1), now)
                } else {
                    w.state
                }
            }
            State::Returning(step, since) if now >= since + f.step_s && heard_since(since) => {
                if step + 2 >= STEPS.len() {
                    w.turned_at = now;
                    State::In
                } else {
                    State::Returning(step + 1, now)
                }
            }
            state => state,
        };
    }

    /// A node that joins late, or was asleep, has met nothing itself: it follows what most others of the zone give, two at
    /// least. One alone moves nobody.
    fn agree(&mut self, seen: &[Seen], there: &[There]) {
        let own = seen.first().map(|s| s.node);
        for zone in 0..self.ways.len() {
            let others = seen.iter().filter(|s| s.zone == zone && Some(s.node) != own);
            let mut parts: Vec<f64> = others.map(|s| s.part.clamp(0.0, 1.0)).collect();
            parts.sort_by(f64::total_cmp);
            let most = parts.get((parts.len() / 2).max(NODES_NEEDED - 1)).copied().unwrap_or(1.0);
            let met_nothing = matches!(self.ways[zone].state, State::In | State::Doubted(_));
            let own = self.own_part(zone);
            self.parts[zone] = if met_nothing { own.min(most) } else { own };
        }
        // Of those left by others' word alone, too, what is needed stays.
        for zone in 0..self.parts.len() {
            let rest: There = (0..self.parts.len()).filter(|&z| z != zone && self.parts[z] > 0.0).fold(
                There::default(),
                |s, z| {
                    let t = there.get(z).copied().unwrap_or_default();
                    There { readers: s.readers + t.readers, writers: s.writers + t.writers }
                },
            );
            let has = there.get(zone).copied().unwrap_or_default();
            let needed = (rest.readers == 0 && has.readers > 0) || (rest.writers == 0 && has.writers > 0);
            if self.parts[zone] == 0.0 && needed {
                self.parts[zone] = 1.0;
            }
        }
    }
}

#[cfg(test)]
mod tests;
