//! How late the soak's own tasks and threads run, over time: what they say of others in that time is no surer than that.

use nickelgw_test_servers::platform::lock;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Gap between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Samples that are less late are not kept.
const MIN_KEPT: Duration = Duration::from_millis(5);
/// Tasks that sample the executor that engines, proxies and clients run on: it has several threads.
const SAMPLING_TASKS: usize = 4;

/// A sampler that was to wake up at a moment, and woke up so much later.
#[derive(Clone, Copy)]
struct Sample {
    due_at: Instant,
    late: Duration,
}

/// Samples since the play began.
#[derive(Default)]
pub struct Lateness(Mutex<Vec<Sample>>);

impl Lateness {
    /// Samples the executor, and a thread like the one that injects faults, until the last owner has gone.
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

    /// A sampler that was due at this moment has woken up.
    pub fn record(&self, due_at: Instant, late: Duration) {
        if late >= MIN_KEPT {
            self.samples().push(Sample { due_at, late });
        }
    }

    /// The greatest lateness of the play.
    pub fn max(&self) -> Duration {
        self.samples().iter().map(|sample| sample.late).max().unwrap_or_default()
    }

    /// The greatest lateness that overlaps this time.
    pub fn max_between(&self, from: Instant, until: Instant) -> Duration {
        let overlaps = |sample: &&Sample| sample.due_at <= until && sample.due_at + sample.late >= from;
        self.samples().iter().filter(overlaps).map(|sample| sample.late).max().unwrap_or_default()
    }

    /// For how long anything was late by this or more.
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
