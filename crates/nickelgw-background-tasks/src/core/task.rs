//! Background tasks: specification, state, and estimates of their cost.

use super::budget::Cost;

/// Importance of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskClass {
    /// Work that others depend on, such as releases of reservations and writes that a request waits for.
    Required,
    /// Work that keeps the node's decisions accurate, such as endpoint lists, probes and certificates.
    Maintenance,
    /// Work that can wait, such as reports and compaction.
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

/// Specification of a task.
#[derive(Clone, Copy, Debug)]
pub struct TaskSpec {
    /// Importance of the task.
    pub class: TaskClass,
    /// Time in seconds from the end of a run until the task is due again; `None` if the task only runs on
    /// request.
    pub interval_s: Option<f64>,
    /// Time in seconds that the task may wait once it is due; after that it may overdraw the budget.
    pub deadline_s: f64,
    /// Time in seconds after which a run is cancelled.
    pub timeout_s: f64,
    /// Initial estimate of the seconds that a run takes; updated by each run.
    pub estimated_s: f64,
    /// Initial estimate of the bytes that a run transfers; updated by each run.
    pub estimated_bytes: f64,
}

/// Identifies a task; tasks are numbered in the order in which they were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub usize);

/// Command to the caller of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskCommand {
    /// Start a run of the task.
    Run(TaskId),
    /// Cancel the present run of the task, which has timed out. A result that it still reports is ignored.
    Cancel(TaskId),
}

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunResult {
    /// Seconds of the process's time that the run took.
    pub took_s: f64,
    /// Bytes that the run transferred.
    pub bytes: f64,
    /// Whether the run succeeded; if not, the task is retried after a backoff.
    pub succeeded: bool,
}

/// Totals of the runs of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskCounters {
    /// Runs that were started.
    pub runs: u64,
    /// Runs that failed, including those that timed out.
    pub failed: u64,
    /// Runs that timed out and were cancelled.
    pub timed_out: u64,
    /// Runs that began after the task's deadline.
    pub late: u64,
    /// Longest time in seconds that a run waited after the task became due.
    pub max_wait_s: f64,
    /// Total seconds that all completed runs took.
    pub took_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TaskState {
    /// Waits until `due_at`, then for the budget. `due_at` is infinite if the task only runs on request.
    Waiting { due_at: f64 },
    Running {
        since: f64,
        /// When the task had become due for this run.
        due_at: f64,
    },
}

/// Weight of the latest run in the moving averages of the cost estimates.
const ESTIMATE_GAIN: f64 = 0.3;
/// Urgency of a task that has just become due, as a fraction of its deadline.
const INITIAL_URGENCY: f64 = 0.1;
/// Lower bound in seconds of the deadline in the calculation of the urgency.
const MIN_DEADLINE_S: f64 = 1e-3;
/// A run is overdue once it takes more than this multiple of its estimate.
const OVERDUE_FACTOR: f64 = 10.0;
/// Lower bound in seconds of the estimate that [`OVERDUE_FACTOR`] multiplies.
const MIN_ESTIMATE_S: f64 = 0.01;

pub(super) struct Task {
    pub(super) spec: TaskSpec,
    pub(super) state: TaskState,
    /// Whether the task was requested while it was running.
    pub(super) run_again: bool,
    pub(super) consecutive_failures: u32,
    pub(super) counters: TaskCounters,
}

impl Task {
    pub(super) fn new(spec: TaskSpec, due_at: f64) -> Task {
        Task {
            spec,
            state: TaskState::Waiting { due_at },
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

    /// Weight of the class times the wait in units of the deadline, which grows without bound so that no task
    /// waits forever. `None` if the task is not due.
    pub(super) fn urgency(&self, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Waiting { due_at } if due_at <= now => {
                let deadlines_waited = (now - due_at) / self.spec.deadline_s.max(MIN_DEADLINE_S);
                Some(self.spec.class.weight() * (INITIAL_URGENCY + deadlines_waited))
            }
            TaskState::Waiting { .. } | TaskState::Running { .. } => None,
        }
    }

    /// Next time at which a timer of the task fires, ignoring the budget; `None` if the task has no timer
    /// pending.
    pub(super) fn wake_at(&self, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Waiting { due_at } => (due_at > now && due_at.is_finite()).then_some(due_at),
            TaskState::Running { since, .. } => Some(since + self.spec.timeout_s),
        }
    }

    /// Seconds since the task became due, if it has waited past its deadline or its run takes far longer than
    /// estimated; `None` if it is not overdue.
    pub(super) fn overdue_s(&self, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Waiting { due_at } => (now - due_at > self.spec.deadline_s).then_some(now - due_at),
            TaskState::Running { since, due_at } => {
                let expected_s = self.spec.estimated_s.max(MIN_ESTIMATE_S);
                (now - since > OVERDUE_FACTOR * expected_s).then_some(now - due_at)
            }
        }
    }
}
