//! Runs what the scheduler of background work names, on the node's own thread; what a run takes of it is what its polls
//! take.

use crate::Clock;
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

/// How a run ended.
pub struct Done {
    pub bytes: f64,
    pub done: bool,
}

type Work = Rc<dyn Fn() -> Pin<Box<dyn Future<Output = Done>>>>;

pub struct Background {
    scheduler: RefCell<Scheduler>,
    works: RefCell<Vec<(&'static str, Work)>>,
    runs: RefCell<HashMap<TaskId, Task<()>>>,
    bell: (Sender<()>, Receiver<()>),
    ex: Rc<LocalExecutor<'static>>,
    clock: Clock,
}

/// Adds up the time that a future's polls take.
struct Timed<F> {
    inner: Pin<Box<F>>,
    took: Rc<Cell<f64>>,
}

impl<F: Future> Future for Timed<F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let began = Instant::now();
        let p = self.inner.as_mut().poll(cx);
        self.took.set(self.took.get() + began.elapsed().as_secs_f64());
        p
    }
}

impl Background {
    pub fn new(ex: Rc<LocalExecutor<'static>>, clock: Clock, seed: u64) -> Rc<Background> {
        Rc::new(Background {
            scheduler: RefCell::new(Scheduler::new(SchedulerConfig::default(), seed)),
            works: RefCell::default(),
            runs: RefCell::default(),
            bell: bounded(1),
            ex,
            clock,
        })
    }

    pub fn add<F: Future<Output = Done> + 'static>(
        &self,
        name: &'static str,
        spec: TaskSpec,
        work: impl Fn() -> F + 'static,
    ) -> TaskId {
        let id = self.scheduler.borrow_mut().add(self.clock.now(), spec);
        self.works.borrow_mut().push((name, Rc::new(move || Box::pin(work()))));
        id
    }

    /// Names of tasks that are overdue, and how long each has waited.
    pub fn overdue(&self) -> Vec<(&'static str, f64)> {
        let works = self.works.borrow();
        let late = self.scheduler.borrow().overdue(self.clock.now());
        late.into_iter().filter_map(|(id, s)| Some((works.get(id.0)?.0, s))).collect()
    }

    /// Seconds that all runs have taken so far.
    pub fn took_s(&self) -> f64 {
        let s = self.scheduler.borrow();
        (0..self.works.borrow().len()).map(|n| s.counters(TaskId(n)).took_s).sum()
    }

    pub async fn run(self: Rc<Self>) {
        loop {
            let (todo, wake) = self.scheduler.borrow_mut().poll_commands(self.clock.now());
            for d in todo {
                match d {
                    TaskCommand::Run(id) => self.begin(id),
                    TaskCommand::Cancel(id) => {
                        let run = self.runs.borrow_mut().remove(&id);
                        drop(run);
                        tracing::warn!(task = self.works.borrow()[id.0].0, "background work was given up");
                    }
                }
            }
            let wait = wake.map_or(1.0, |w| (w - self.clock.now()).clamp(0.001, 1.0));
            crate::within(wait, self.bell.1.recv()).await;
        }
    }

    fn begin(self: &Rc<Self>, id: TaskId) {
        let work = self.works.borrow()[id.0].1.clone();
        let (me, took) = (self.clone(), Rc::new(Cell::new(0.0)));
        let run = self.ex.spawn(async move {
            let end = Timed { inner: Box::pin(work()), took: took.clone() }.await;
            let result = RunResult { took_s: took.get(), bytes: end.bytes, succeeded: end.done };
            me.scheduler.borrow_mut().run_ended(me.clock.now(), id, result);
            let _ = me.bell.0.try_send(());
            // Its own handle: it is at its end.
            if let Some(run) = me.runs.borrow_mut().remove(&id) {
                run.detach();
            }
        });
        self.runs.borrow_mut().insert(id, run);
    }
}
