//! Decides when background tasks run. All tasks share a budget of time and bytes, so that together they take
//! no more than a configured share of the process. Within the budget, the most urgent task runs next. Its
//! urgency is the weight of its class times its wait in units of its deadline, so that no task starves. A
//! task past its deadline may overdraw the budget. A task that fails is retried after an exponential,
//! randomized backoff. A run that exceeds its timeout is cancelled.

mod budget;
mod config;
mod task;

pub use config::SchedulerConfig;
pub use task::{RunResult, TaskClass, TaskCommand, TaskCounters, TaskId, TaskSpec};

use budget::{Budget, Cost};
use nanorand::{Rng, WyRand};
use task::{Task, TaskState};

/// Interval at which the scheduler is polled while a task waits for the budget.
const BUDGET_POLL_S: f64 = 0.01;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Scheduler of the background tasks of a process.
pub struct Scheduler {
    config: SchedulerConfig,
    tasks: Vec<Task>,
    budget: Budget,
    running: usize,
    rng: WyRand,
}

impl Scheduler {
    /// Creates a scheduler without tasks. `seed` initializes the random number generator and should differ
    /// between nodes.
    pub fn new(config: SchedulerConfig, seed: u64) -> Scheduler {
        Scheduler {
            config,
            tasks: Vec::new(),
            budget: Budget::new(config),
            running: 0,
            rng: WyRand::new_seed(seed),
        }
    }

    /// Adds a task. A periodic task first becomes due after a random part of its interval, so that nodes do
    /// not run it at the same time.
    pub fn add(&mut self, now: f64, spec: TaskSpec) -> TaskId {
        let first_due_at =
            spec.interval_s.map_or(f64::INFINITY, |interval_s| now + interval_s * self.random_fraction());
        self.tasks.push(Task::new(spec, first_due_at));
        TaskId(self.tasks.len() - 1)
    }

    fn random_fraction(&mut self) -> f64 {
        self.rng.generate::<u32>() as f64 / u32::MAX as f64
    }

    /// Returns the totals of a task since it was added.
    pub fn counters(&self, id: TaskId) -> TaskCounters {
        self.tasks[id.0].counters
    }

    /// Makes a task due now. A task that is running then runs once more after its present run. A backoff
    /// after a failure is not shortened.
    pub fn request(&mut self, now: f64, id: TaskId) {
        let task = &mut self.tasks[id.0];
        match &mut task.state {
            TaskState::Running { .. } => task.run_again = true,
            TaskState::Waiting { due_at } if task.consecutive_failures == 0 => {
                *due_at = due_at.min(now);
            }
            TaskState::Waiting { .. } => {}
        }
    }

    /// Records the result of a run. The result of a run that was cancelled before is ignored.
    pub fn run_ended(&mut self, now: f64, id: TaskId, result: RunResult) {
        let task = &mut self.tasks[id.0];
        if !matches!(task.state, TaskState::Running { .. }) {
            return;
        }
        let actual = Cost { time_s: result.took_s, bytes: result.bytes };
        self.budget.settle(task.estimate(), actual);
        task.update_estimate(actual);
        task.counters.took_s += result.took_s;
        self.schedule_next(now, id, result.succeeded);
    }

    fn schedule_next(&mut self, now: f64, id: TaskId, succeeded: bool) {
        self.running -= 1;
        let jitter = self.random_fraction();
        let task = &mut self.tasks[id.0];
        task.consecutive_failures = if succeeded { 0 } else { task.consecutive_failures + 1 };
        task.counters.failed += u64::from(!succeeded);
        let run_again = std::mem::take(&mut task.run_again);
        let due_at = if !succeeded {
            let backoff_s = backoff_s(&self.config, task.consecutive_failures);
            now + backoff_s * (0.5 + 0.5 * jitter)
        } else if run_again {
            now
        } else {
            task.spec.interval_s.map_or(f64::INFINITY, |interval_s| now + interval_s)
        };
        task.state = TaskState::Waiting { due_at };
    }

    /// Returns the commands to carry out now, and the time of the next poll; `None` if nothing is scheduled.
    pub fn poll_commands(&mut self, now: f64) -> (Vec<TaskCommand>, Option<f64>) {
        self.budget.refill(now);
        let mut commands = Vec::new();
        self.cancel_timed_out(now, &mut commands);
        self.start_most_urgent(now, &mut commands);
        (commands, self.next_wake(now))
    }

    fn cancel_timed_out(&mut self, now: f64, commands: &mut Vec<TaskCommand>) {
        for index in 0..self.tasks.len() {
            let task = &mut self.tasks[index];
            let TaskState::Running { since, .. } = task.state else { continue };
            let timeout_s = task.spec.timeout_s;
            if now < since + timeout_s {
                continue;
            }
            let id = TaskId(index);
            commands.push(TaskCommand::Cancel(id));
            task.counters.timed_out += 1;
            let beyond_estimate_s = (now - since).min(timeout_s) - task.spec.estimated_s;
            self.budget.charge_time(beyond_estimate_s.max(0.0));
            self.schedule_next(now, id, false);
        }
    }

    fn start_most_urgent(&mut self, now: f64, commands: &mut Vec<TaskCommand>) {
        while self.running < self.config.max_concurrent {
            let Some(id) = self.most_urgent(now) else { break };
            let task = &mut self.tasks[id.0];
            let TaskState::Waiting { due_at } = task.state else { break };
            let is_late = now > due_at + task.spec.deadline_s;
            if !self.budget.allows(task.estimate(), is_late) {
                break;
            }
            task.counters.runs += 1;
            task.counters.late += u64::from(is_late);
            task.counters.max_wait_s = task.counters.max_wait_s.max(now - due_at);
            task.state = TaskState::Running { since: now, due_at };
            self.budget.reserve(task.estimate());
            self.running += 1;
            commands.push(TaskCommand::Run(id));
        }
    }

    /// Returns the due task with the highest urgency, and of equally urgent ones the one that was added
    /// first, which keeps the choice deterministic.
    fn most_urgent(&self, now: f64) -> Option<TaskId> {
        let due_tasks =
            self.tasks.iter().enumerate().filter_map(|(index, task)| Some((index, task.urgency(now)?)));
        let most_urgent = due_tasks.reduce(|best, other| if best.1 >= other.1 { best } else { other })?;
        Some(TaskId(most_urgent.0))
    }

    fn next_wake(&self, now: f64) -> Option<f64> {
        let waits_for_budget = self.most_urgent(now).map(|_| now + BUDGET_POLL_S);
        let timers = self.tasks.iter().filter_map(|task| task.wake_at(now));
        waits_for_budget.into_iter().chain(timers).min_by(f64::total_cmp)
    }

    /// Returns the tasks that have waited past their deadline or run far longer than estimated, each with the
    /// seconds since it became due.
    pub fn overdue(&self, now: f64) -> Vec<(TaskId, f64)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter_map(|(index, task)| Some((TaskId(index), task.overdue_s(now)?))).collect()
    }
}

/// Backoff in seconds after a number of consecutive failures, before jitter.
fn backoff_s(config: &SchedulerConfig, consecutive_failures: u32) -> f64 {
    let doublings = (consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
    (config.min_backoff_s * f64::from(1u32 << doublings)).min(config.max_backoff_s)
}

#[cfg(test)]
mod tests;
