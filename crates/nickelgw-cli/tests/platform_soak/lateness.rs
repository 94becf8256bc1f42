//! How late the soak test's own tasks and threads run, over time. What they measure of others is no more
//! precise than that.

use nickelgw_test_servers::platform::lock;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Samples with less lateness are discarded.
const MIN_KEPT: Duration = Duration::from_millis(5);
/// Number of tasks that sample the executor of engines, proxies and clients. There are several since it has
/// several threads.
const SAMPLING_TASKS: usize = 4;

/// When a sampler was due to wake up, and how much later it did.
#[derive(Clone, Copy)]
struct Sample {
    due_at: Instant,
    late: Duration,
}

/// Samples since the run began.
#[derive(Default)]
pub struct Lateness(Mutex<Vec<Sample>>);

impl Lateness {
    /// Samples the executor, and a thread like the one that injects faults, until the returned value and all
    /// its clones are dropped.
    pub fn measure() -> Arc<Lateness> {
        let lateness = Arc::new(Lateness::default());
        for _ in 0..SAMPLING_TASKS {
            smol::spawn(sample_executor(Arc::downgrade(&lateness))).detach();
        }
        let sampled = Arc::downgrade(&lateness);
        spawn(move || sample_thread(&sampled));
        lateness
    }

    fn samples(&self) -> MutexGuard<'_, Vec<Sample>> {
        lock(&self.0)
    }

    /// Records that a sampler due at `due_at` woke up `late` after that.
    pub fn record(&self, due_at: Instant, late: Duration) {
        if late >= MIN_KEPT {
            self.samples().push(Sample { due_at, late });
        }
    }

    /// Returns the greatest lateness of the run.
    pub fn max(&self) -> Duration {
        self.samples().iter().map(|sample| sample.late).max().unwrap_or_default()
    }

    /// Returns the greatest lateness of the samples that overlap this time span.
    pub fn max_between(&self, from: Instant, until: Instant) -> Duration {
        let overlaps = |sample: &&Sample| sample.due_at <= until && sample.due_at + sample.late >= from;
        self.samples().iter().filter(overlaps).map(|sample| sample.late).max().unwrap_or_default()
    }

    /// Returns the total time during which any sampler was late by `min` or more.
    pub fn total_of(&self, min: Duration) -> Duration {
        let mut spans: Vec<(Instant, Instant)> = self
            .samples()
            .iter()
            .filter(|sample| sample.late >= min)
            .map(|sample| (sample.due_at, sample.due_at + sample.late))
            .collect();
        spans.sort_unstable();
        let mut counted_until: Option<Instant> = None;
        let mut total = Duration::ZERO;
        for (from, until) in spans {
            let from = counted_until.map_or(from, |counted| counted.max(from));
            total += until.saturating_duration_since(from);
            counted_until = Some(counted_until.map_or(until, |counted| counted.max(until)));
        }
        total
    }
}

async fn sample_executor(lateness: Weak<Lateness>) {
    loop {
        let due_at = Instant::now() + SAMPLE_INTERVAL;
        smol::Timer::at(due_at).await;
        let Some(lateness) = lateness.upgrade() else { return };
        lateness.record(due_at, due_at.elapsed());
    }
}

fn sample_thread(lateness: &Weak<Lateness>) {
    loop {
        let due_at = Instant::now() + SAMPLE_INTERVAL;
        sleep(SAMPLE_INTERVAL);
        let Some(lateness) = lateness.upgrade() else { return };
        lateness.record(due_at, due_at.elapsed());
    }
}
