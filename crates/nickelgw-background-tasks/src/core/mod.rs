//! When background work runs. Each task belongs to a class; all share budgets of time and bytes, so that together they
//! take no more than a stated part of the process. Within the budget the most pressing goes first: its class's weight
//! times how long it has waited, measured by its own patience, so that nothing waits for ever. A task past its deadline
//! runs on credit. One that fails comes again after a doubling gap with chance in it; one that does not end is given up.

use nanorand::{Rng, WyRand};

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Part of the time that background work may take, and seconds of it that may come at once.
    pub time_share: f64,
    pub time_burst_s: f64,
    pub bytes_per_s: f64,
    pub bytes_burst: f64,
    pub most_at_once: usize,
    pub first_gap_s: f64,
    pub longest_gap_s: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            time_share: 0.02,
            time_burst_s: 0.05,
            bytes_per_s: 4e6,
            bytes_burst: 8e6,
            most_at_once: 4,
            first_gap_s: 0.1,
            longest_gap_s: 30.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskClass {
    /// Something is owed: states to let go of, commits that are waited for.
    Required,
    /// The node decides worse without it: lists, probes, certificates.
    Maintenance,
    /// Nice to have: reports, compaction.
    Idle,
}

impl TaskClass {
    fn weight(self) -> f64 {
        [100.0, 10.0, 1.0][self as usize]
    }
}

#[derive(Clone, Copy, Debug)]
pub struct TaskSpec {
    pub class: TaskClass,
    /// Comes again so long after its last end; none: only when asked for.
    pub every_s: Option<f64>,
    /// How long it may wait once it is wanted before it runs on credit.
    pub deadline_s: f64,
    /// A run that takes longer is given up.
    pub most_s: f64,
    /// First guess of what a run takes; then its own runs tell.
    pub takes_s: f64,
    pub bytes: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskCommand {
    Run(TaskId),
    /// It has not ended in its time: whatever it still does counts for nothing.
    Cancel(TaskId),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Wanted from this time on; never: infinite.
    Waiting(f64),
    Running {
        since: f64,
        /// Since when it had been wanted.
        wanted: f64,
    },
}

struct Task {
    spec: TaskSpec,
    state: State,
    /// Asked for while it ran.
    again: bool,
    failures: u32,
    pub account: TaskCounters,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskCounters {
    pub runs: u64,
    pub failed: u64,
    pub given_up: u64,
    /// Runs that began after their deadline, and the longest wait of all.
    pub late: u64,
    pub longest_wait_s: f64,
    pub took_s: f64,
}

pub struct Scheduler {
    figures: Figures,
    tasks: Vec<Task>,
    time_left: f64,
    bytes_left: f64,
    filled_at: f64,
    running: usize,
    chance: WyRand,
}

impl Scheduler {
    pub fn new(figures: Figures, seed: u64) -> Scheduler {
        Scheduler {
            time_left: figures.time_burst_s,
            bytes_left: figures.bytes_burst,
            filled_at: 0.0,
            running: 0,
            tasks: Vec::new(),
            chance: WyRand::new_seed(seed),
            figures,
        }
    }

    /// One that comes by itself is first wanted after a part of its time, which differs from node to node.
    pub fn add(&mut self, now: f64, spec: TaskSpec) -> TaskId {
        let first = spec.every_s.map_or(f64::INFINITY, |e| now + e * self.dice());
        let (state, account) = (State::Waiting(first), TaskCounters::default());
        self.tasks.push(Task { spec, state, again: false, failures: 0, account });
        TaskId(self.tasks.len() - 1)
    }

    fn dice(&mut self) -> f64 {
        self.chance.generate::<u32>() as f64 / u32::MAX as f64
    }

    pub fn account(&self, id: TaskId) -> TaskCounters {
        self.tasks[id.0].account
    }

    /// It is wanted now. Asked for while it runs it runs once more; after a failure its gap still counts.
    pub fn want(&mut self, now: f64, id: TaskId) {
        let t = &mut self.tasks[id.0];
        match &mut t.state {
            State::Running { .. } => t.again = true,
            State::Waiting(at) if t.failures == 0 => *at = at.min(now),
            State::Waiting(_) => {}
        }
    }

    /// A run has ended. One given up before is passed over.
    pub fn ended(&mut self, now: f64, id: TaskId, took_s: f64, bytes: f64, done: bool) {
        let State::Running { .. } = self.tasks[id.0].state else { return };
        let t = &mut self.tasks[id.0];
        // The guess was taken from the budgets; what it took beyond it, or less, is settled now.
        self.time_left += t.spec.takes_s - took_s;
        self.bytes_left += t.spec.bytes - bytes;
        t.spec.takes_s += 0.3 * (took_s - t.spec.takes_s);
        t.spec.bytes += 0.3 * (bytes - t.spec.bytes);
        t.account.took_s += took_s;
        self.settle(now, id, done);
    }

    fn settle(&mut self, now: f64, id: TaskId, done: bool) {
        self.running -= 1;
        let chance = self.dice();
        let (first, longest) = (self.figures.first_gap_s, self.figures.longest_gap_s);
        let t = &mut self.tasks[id.0];
        t.failures = if done { 0 } else { t.failures + 1 };
        t.account.failed += u64::from(!done);
        let again = std::mem::take(&mut t.again);
        let next = match (done, again, t.spec.every_s) {
            (true, true, _) => now,
            (true, false, Some(every)) => now + every,
            (true, false, None) => f64::INFINITY,
            (false, ..) => {
                let gap = (first * f64::from(1u32 << (t.failures - 1).min(16))).min(longest);
                now + gap * (0.5 + 0.5 * chance)
            }
        };
        t.state = State::Waiting(next);
    }

    fn fill(&mut self, now: f64) {
        let f = &self.figures;
        let dt = (now - self.filled_at).max(0.0);
        self.time_left = (self.time_left + f.time_share * dt).min(f.time_burst_s);
        self.bytes_left = (self.bytes_left + f.bytes_per_s * dt).min(f.bytes_burst);
        self.filled_at = now;
    }

    /// What to do now, and when to look again.
    pub fn due(&mut self, now: f64) -> (Vec<TaskCommand>, Option<f64>) {
        self.fill(now);
        let mut todo = Vec::new();
        for n in 0..self.tasks.len() {
            let State::Running { since, .. } = self.tasks[n].state else { continue };
            if now >= since + self.tasks[n].spec.most_s {
                todo.push(TaskCommand::Cancel(TaskId(n)));
                let t = &mut self.tasks[n];
                // What it has taken so far is paid for.
                let owed = (now - since).min(t.spec.most_s) - t.spec.takes_s;
                t.account.given_up += 1;
                self.time_left -= owed.max(0.0);
                self.settle(now, TaskId(n), false);
            }
        }
        while self.running < self.figures.most_at_once {
            let Some(n) = self.most_pressing(now) else { break };
            let t = &mut self.tasks[n];
            let State::Waiting(wanted) = t.state else { break };
            let late = now > wanted + t.spec.deadline_s;
            // Half a run's cost must be there; the rest is made up before the next.
            let paid = self.time_left >= 0.5 * t.spec.takes_s && self.bytes_left >= 0.5 * t.spec.bytes;
            // On credit, but never more of it than the burst: overdue work may be late, the requests may not.
            let credit =
                self.time_left > -self.figures.time_burst_s && self.bytes_left > -self.figures.bytes_burst;
            let whole =
                self.time_left >= self.figures.time_burst_s && self.bytes_left >= self.figures.bytes_burst;
            if !(paid || late && credit || whole) {
                break;
            }
            t.account.runs += 1;
            t.account.late += u64::from(late);
            t.account.longest_wait_s = t.account.longest_wait_s.max(now - wanted);
            t.state = State::Running { since: now, wanted };
            self.time_left -= t.spec.takes_s;
            self.bytes_left -= t.spec.bytes;
            self.running += 1;
            todo.push(TaskCommand::Run(TaskId(n)));
        }
        (todo, self.wake(now))
    }

    /// Class weight times the wait in parts of its deadline; what has just become wanted counts a little.
    fn most_pressing(&self, now: f64) -> Option<usize> {
        let press = |t: &Task| match t.state {
            State::Waiting(at) if at <= now => {
                Some(t.spec.class.weight() * (0.1 + (now - at) / t.spec.deadline_s.max(1e-3)))
            }
            _ => None,
        };
        let all = self.tasks.iter().enumerate().filter_map(|(n, t)| Some((n, press(t)?)));
        // The first of equals: equal calls give equal actions.
        all.fold(None, |best: Option<(usize, f64)>, x| match best {
            Some(b) if b.1 >= x.1 => Some(b),
            _ => Some(x),
        })
        .map(|b| b.0)
    }

    fn wake(&self, now: f64) -> Option<f64> {
        let held_up = self.most_pressing(now).map(|_| now + 0.01);
        let others = self.tasks.iter().filter_map(|t| match t.state {
            State::Waiting(at) if at > now && at.is_finite() => Some(at),
            State::Running { since, .. } => Some(since + t.spec.most_s),
            _ => None,
        });
        held_up.into_iter().chain(others).min_by(f64::total_cmp)
    }

    /// Tasks that wait past their deadline now, or run since longer than they usually take: by how much they wait.
    pub fn overdue(&self, now: f64) -> Vec<(TaskId, f64)> {
        let late = |t: &Task| match t.state {
            State::Waiting(at) => (now - at > t.spec.deadline_s).then_some(now - at),
            State::Running { since, wanted } => {
                (now - since > 10.0 * t.spec.takes_s.max(0.01)).then_some(now - wanted)
            }
        };
        self.tasks.iter().enumerate().filter_map(|(n, t)| Some((TaskId(n), late(t)?))).collect()
    }
}

#[cfg(test)]
mod tests;
