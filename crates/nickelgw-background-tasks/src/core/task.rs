//! A background task and its state.

use super::budget::Cost;

/// How important a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskClass {
    /// Something is owed: reservations to release, writes that are waited for.
    Required,
    /// The node decides worse without it: endpoint lists, probes, certificates.
    Maintenance,
    /// Nice to have: reports, compaction.
    Idle,
}

impl TaskClass {
    fn weight(self) -> f64 {
        match self {
            TaskClass::Required => 100.0,
            TaskClass::Maintenance => 10.0,
            TaskClass::Idle => 1.0,
        }
    }
}

/// What the scheduler is told of a task.
#[derive(Clone, Copy, Debug)]
pub struct TaskSpec {
    /// How important it is.
    pub class: TaskClass,
    /// It runs again so long after its last end; none: only when it is requested.
    pub interval_s: Option<f64>,
    /// How long it may wait once it is wanted; then it may overdraw the budget.
    pub deadline_s: f64,
    /// A run that takes longer is cancelled.
    pub timeout_s: f64,
    /// First estimate of the time that a run takes; it follows the runs.
    pub estimated_s: f64,
    /// First estimate of the bytes that a run transfers; it follows the runs.
    pub estimated_bytes: f64,
}

/// Identifies a task, in the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub usize);

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskCommand {
    /// Begin a run.
    Run(TaskId),
    /// Cancel the run, which has timed out: whatever it still reports is ignored.
    Cancel(TaskId),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunResult {
    /// Time that it took of the process.
    pub took_s: f64,
    /// Bytes that it transferred.
    pub bytes: f64,
    /// False: it is tried again after a backoff.
    pub succeeded: bool,
}

/// Runs of a task since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskCounters {
    /// Runs that began.
    pub runs: u64,
    /// Runs that failed, the cancelled ones included.
    pub failed: u64,
    /// Runs that timed out and were cancelled.
    pub timed_out: u64,
    /// Runs that began after their deadline.
    pub late: u64,
    /// Longest wait of all runs.
    pub max_wait_s: f64,
    /// Time that all runs took.
    pub took_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TaskState {
    /// Until this time the task is not wanted; infinite where it is only run on request.
    Waiting { wanted_at: f64 },
    Running {
        since: f64,
        /// Since when it had been wanted.
        wanted_at: f64,
    },
}

/// Share of a run's deviation by which the estimates follow.
const ESTIMATE_GAIN: f64 = 0.3;
/// Urgency of a task that has just become wanted, as a part of its deadline waited.
const INITIAL_URGENCY: f64 = 0.1;
/// Shortest deadline that counts for the urgency.
const MIN_DEADLINE_S: f64 = 1e-3;
/// A run that takes so many times its estimate is overdue.
const OVERDUE_FACTOR: f64 = 10.0;
/// Shortest estimate that counts for that.
const MIN_ESTIMATE_S: f64 = 0.01;

pub(super) struct Task {
    pub(super) spec: TaskSpec,
    pub(super) state: TaskState,
    /// It was requested while it ran.
    pub(super) run_again: bool,
    pub(super) consecutive_failures: u32,
    pub(super) counters: TaskCounters,
}

impl Task {
    pub(super) fn new(spec: TaskSpec, wanted_at: f64) -> Task {
        Task {
            spec,
            state: TaskState::Waiting { wanted_at },
            run_again: false,
            consecutive_failures: 0,
            counters: TaskCounters::default(),
        }
    }

    pub(super) fn estimate(&self) -> Cost {
        Cost { time_s: self.spec.estimated_s, bytes: self.spec.estimated_bytes }
    }

    pub(super) fn update_estimate(&mut self, actual: Cost) {
        self.spec.estimated_s += ESTIMATE_GAIN * (actual.time_s - self.spec.estimated_s);
        self.spec.estimated_bytes += ESTIMATE_GAIN * (actual.bytes - self.spec.estimated_bytes);
    }

    /// Weight of the class times the wait in units of the deadline, so that no task waits for ever. None: it is not wanted.
    pub(super) fn urgency(&self, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Waiting { wanted_at } if wanted_at <= now => {
                let deadlines_waited = (now - wanted_at) / self.spec.deadline_s.max(MIN_DEADLINE_S);
                Some(self.spec.class.weight() * (INITIAL_URGENCY + deadlines_waited))
            }
            TaskState::Waiting { .. } | TaskState::Running { .. } => None,
        }
    }

    /// When the task next needs the scheduler, the budget aside.
    pub(super) fn wake_at(&self, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Waiting { wanted_at } => {
                (wanted_at > now && wanted_at.is_finite()).then_some(wanted_at)
            }
            TaskState::Running { since, .. } => Some(since + self.spec.timeout_s),
        }
    }

    /// How long it has waited, if that is past its deadline, or if its run takes far longer than usual.
    pub(super) fn overdue_s(&self, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Waiting { wanted_at } => {
                (now - wanted_at > self.spec.deadline_s).then_some(now - wanted_at)
            }
            TaskState::Running { since, wanted_at } => {
                let usual_s = self.spec.estimated_s.max(MIN_ESTIMATE_S);
                (now - since > OVERDUE_FACTOR * usual_s).then_some(now - wanted_at)
            }
        }
    }
}
