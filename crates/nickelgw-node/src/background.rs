//! Runs the tasks that the background scheduler selects, on the node's own thread. The cost of a run is the
//! time spent in polls of its future.

use crate::clock::{within, Clock};
use async_channel::{bounded, Receiver, Sender};
use nickelgw_background_tasks::core::{RunResult, Scheduler, SchedulerConfig, TaskCommand, TaskId, TaskSpec};
use smol::{LocalExecutor, Task};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Shortest and longest sleep before the scheduler is polled again.
const MIN_SLEEP_S: f64 = 0.001;
const MAX_SLEEP_S: f64 = 1.0;

/// Result of one run of a background task.
pub struct TaskResult {
    /// Number of bytes that the run processed.
    pub bytes: f64,
    /// Whether the run did its work.
    pub succeeded: bool,
}

type StartRun = Rc<dyn Fn() -> Pin<Box<dyn Future<Output = TaskResult>>>>;

struct RegisteredTask {
    name: &'static str,
    start_run: StartRun,
}

/// The node's background tasks.
pub struct Background {
    scheduler: RefCell<Scheduler>,
    /// Indexed by [`TaskId`].
    tasks: RefCell<Vec<RegisteredTask>>,
    runs: RefCell<HashMap<TaskId, Task<()>>>,
    wakeup: (Sender<()>, Receiver<()>),
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
}

/// Future that sums the time spent in polls of the inner future.
struct PollTimed<F> {
    inner: Pin<Box<F>>,
    poll_time_s: Rc<Cell<f64>>,
}

impl<F: Future> Future for PollTimed<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let started_at = Instant::now();
        let poll = self.inner.as_mut().poll(cx);
        self.poll_time_s.set(self.poll_time_s.get() + started_at.elapsed().as_secs_f64());
        poll
    }
}

impl Background {
    /// Creates a scheduler without tasks.
    pub fn new(executor: Rc<LocalExecutor<'static>>, clock: Clock, seed: u64) -> Rc<Background> {
        Rc::new(Background {
            scheduler: RefCell::new(Scheduler::new(SchedulerConfig::default(), seed)),
            tasks: RefCell::default(),
            runs: RefCell::default(),
            wakeup: bounded(1),
            executor,
            clock,
        })
    }

    /// Registers a task. `start_run` creates the future of one run.
    pub fn add<F: Future<Output = TaskResult> + 'static>(
        &self,
        name: &'static str,
        spec: TaskSpec,
        start_run: impl Fn() -> F + 'static,
    ) {
        self.scheduler.borrow_mut().add(self.clock.now(), spec);
        let start_run: StartRun = Rc::new(move || Box::pin(start_run()));
        self.tasks.borrow_mut().push(RegisteredTask { name, start_run });
    }

    /// Returns the name of each overdue task and how many seconds it has waited.
    pub fn overdue(&self) -> Vec<(&'static str, f64)> {
        let tasks = self.tasks.borrow();
        let overdue = self.scheduler.borrow().overdue(self.clock.now());
        overdue.into_iter().filter_map(|(id, waited_s)| Some((tasks.get(id.0)?.name, waited_s))).collect()
    }

    /// Returns the total time in seconds that all runs have taken on the node's thread so far.
    pub fn total_run_time_s(&self) -> f64 {
        let scheduler = self.scheduler.borrow();
        (0..self.tasks.borrow().len()).map(|n| scheduler.counters(TaskId(n)).took_s).sum()
    }

    /// Runs tasks until dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let (commands, wake_at) = self.scheduler.borrow_mut().poll_commands(self.clock.now());
            for command in commands {
                match command {
                    TaskCommand::Run(id) => self.start(id),
                    TaskCommand::Cancel(id) => self.cancel(id),
                }
            }
            let sleep_s = wake_at
                .map_or(MAX_SLEEP_S, |wake_at| (wake_at - self.clock.now()).clamp(MIN_SLEEP_S, MAX_SLEEP_S));
            within(sleep_s, self.wakeup.1.recv()).await;
        }
    }

    fn cancel(&self, id: TaskId) {
        let run = self.runs.borrow_mut().remove(&id);
        drop(run);
        tracing::warn!(task = self.tasks.borrow()[id.0].name, "background task cancelled");
    }

    fn start(self: &Rc<Self>, id: TaskId) {
        let start_run = self.tasks.borrow()[id.0].start_run.clone();
        let (background, poll_time_s) = (self.clone(), Rc::new(Cell::new(0.0)));
        let run = self.executor.spawn(async move {
            let timed = PollTimed { inner: Box::pin(start_run()), poll_time_s: poll_time_s.clone() };
            let result = timed.await;
            background.run_ended(id, poll_time_s.get(), &result);
        });
        self.runs.borrow_mut().insert(id, run);
    }

    fn run_ended(&self, id: TaskId, took_s: f64, result: &TaskResult) {
        let now = self.clock.now();
        let run = RunResult { took_s, bytes: result.bytes, succeeded: result.succeeded };
        self.scheduler.borrow_mut().run_ended(now, id, run);
        let _ = self.wakeup.0.try_send(());
        // The run itself calls this. Its handle is detached, because dropping the handle would cancel the run.
        if let Some(run) = self.runs.borrow_mut().remove(&id) {
            run.detach();
        }
    }
}
