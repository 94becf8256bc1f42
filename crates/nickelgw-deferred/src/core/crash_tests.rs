//! Property test of the queue under random sequences of operations, failing writes and process crashes.

use super::tests::{answer, limits, record};
use super::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
enum Op {
    Enqueue(u8),
    Start,
    AttemptFails {
        ran: bool,
    },
    Complete,
    Flush,
    /// The next write fails and is retried after all other pending writes.
    DiskFails,
    Crash,
    Wait {
        tenths_s: u8,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..3u8).prop_map(Op::Enqueue),
        Just(Op::Start),
        any::<bool>().prop_map(|ran| Op::AttemptFails { ran }),
        Just(Op::Complete),
        Just(Op::Flush),
        Just(Op::DiskFails),
        Just(Op::Crash),
        (0..40u8).prop_map(|tenths_s| Op::Wait { tenths_s }),
    ]
}

fn retry_policy(record: &DeferredRecord) -> Option<RetryPolicy> {
    Some(match record.tenant.as_str() {
        "never" => RetryPolicy::Never,
        "deduped" => RetryPolicy::Within { window_s: 20.0 },
        _ => RetryPolicy::Always,
    })
}

/// Stored records, and the pending writes in order.
#[derive(Default)]
struct Disk {
    stored: BTreeMap<Ticket, Vec<u8>>,
    pending: VecDeque<RecordWrite>,
}

impl Disk {
    fn flush(&mut self, queue: &mut DeferredQueue) {
        while let Some(write) = self.pending.pop_front() {
            match write.bytes {
                Some(bytes) => drop(self.stored.insert(write.ticket, bytes)),
                None => drop(self.stored.remove(&write.ticket)),
            }
            queue.write_finished(write.ticket, write.version, true);
        }
    }

    fn fail(&mut self, queue: &DeferredQueue) {
        let is_retried =
            |write: &RecordWrite| write.bytes.is_none() || queue.is_latest(write.ticket, write.version);
        let retried = self.pending.pop_front().filter(is_retried);
        self.pending.extend(retried);
    }

    fn crash(&mut self, now: f64) -> DeferredQueue {
        self.pending.clear();
        let mut queue = DeferredQueue::new(limits());
        let found: Vec<_> = self.stored.clone().into_iter().collect();
        for write in queue.restore(now, found.into_iter(), retry_policy) {
            queue.write_finished(write.ticket, write.version, true);
            self.pending.push_back(write);
        }
        queue
    }
}

/// A request whose ticket was given to the client.
struct Accepted {
    ticket: Ticket,
    tenant: &'static str,
    deadline: f64,
}

/// A queue and its disk, with the expected and the reported state of each request.
struct Harness {
    queue: DeferredQueue,
    disk: Disk,
    now: f64,
    last_ticket: Ticket,
    accepted: Vec<Accepted>,
    /// Start times of the attempts of each request that may have run.
    runs: BTreeMap<Ticket, Vec<f64>>,
    running: Vec<Ticket>,
    /// First answer reported for each request.
    reported: BTreeMap<Ticket, DeferredAnswer>,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            queue: DeferredQueue::new(limits()),
            disk: Disk::default(),
            now: 0.0,
            last_ticket: 0,
            accepted: Vec::new(),
            runs: BTreeMap::new(),
            running: Vec::new(),
            reported: BTreeMap::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Enqueue(kind) => self.enqueue(["never", "deduped", "plain"][usize::from(*kind)]),
            Op::Start => self.start(),
            Op::AttemptFails { ran } => self.fail_attempt(*ran),
            Op::Complete => {
                if let Some(ticket) = self.running.pop() {
                    self.disk.pending.push_back(self.queue.complete(self.now, ticket, answer()));
                }
            }
            Op::Flush => self.disk.flush(&mut self.queue),
            Op::DiskFails => self.disk.fail(&self.queue),
            Op::Crash => {
                self.running.clear();
                self.queue = self.disk.crash(self.now);
            }
            Op::Wait { tenths_s } => {
                self.now += f64::from(*tenths_s) / 10.0;
                self.disk.pending.extend(self.queue.poll_expired(self.now));
            }
        }
    }

    fn enqueue(&mut self, tenant: &'static str) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let deadline = self.now + 30.0;
        if let Ok(write) = self.queue.enqueue(self.now, ticket, record(tenant, self.now, deadline)) {
            self.disk.pending.push_back(write);
            self.disk.flush(&mut self.queue);
            self.accepted.push(Accepted { ticket, tenant, deadline });
        }
    }

    fn start(&mut self) {
        self.disk.flush(&mut self.queue);
        let Some(write) = self.queue.next_runnable(self.now, |_| 1.0, retry_policy) else { return };
        let ticket = write.ticket;
        self.disk.pending.push_back(write);
        self.disk.flush(&mut self.queue);
        if self.queue.record(ticket).is_some_and(|record| record.state == DeferredState::Running) {
            self.runs.entry(ticket).or_default().push(self.now);
            self.running.push(ticket);
        }
    }

    fn fail_attempt(&mut self, ran: bool) {
        let Some(ticket) = self.running.pop() else { return };
        if !ran {
            self.runs.get_mut(&ticket).map(Vec::pop);
        }
        let policy = retry_policy(self.queue.record(ticket).unwrap()).unwrap();
        self.disk.pending.push_back(self.queue.attempt_failed(self.now, ticket, ran, policy));
    }

    /// Fails all running attempts and advances the time until no request can be waiting.
    fn finish_all(&mut self) {
        self.now += 31.0;
        while !self.running.is_empty() {
            self.fail_attempt(true);
        }
        self.disk.pending.extend(self.queue.poll_expired(self.now));
        self.disk.flush(&mut self.queue);
    }

    fn check_answers_are_final(&mut self) -> Result<(), TestCaseError> {
        for Accepted { ticket, tenant, .. } in &self.accepted {
            if let Some(DeferredStatus::Finished(answer)) = self.queue.status(*ticket, tenant) {
                let before = self.reported.entry(*ticket).or_insert_with(|| answer.clone());
                prop_assert_eq!(&*before, answer, "reported answer has changed");
            }
        }
        Ok(())
    }

    fn check_all_finished(&self) -> Result<(), TestCaseError> {
        for Accepted { ticket, tenant, deadline } in &self.accepted {
            let is_finished = matches!(self.queue.status(*ticket, tenant), Some(DeferredStatus::Finished(_)));
            prop_assert!(
                is_finished || self.reported.contains_key(ticket),
                "request {ticket} of tenant {tenant:?} has not finished"
            );
            let runs = self.runs.get(ticket).cloned().unwrap_or_default();
            prop_assert!(
                *tenant != "never" || runs.len() <= 1,
                "request that may not run twice ran at {runs:?}"
            );
            prop_assert!(
                *tenant != "deduped" || runs.iter().all(|at| at - runs[0] < 20.0),
                "deduplicated request ran outside its window: {runs:?}"
            );
            prop_assert!(
                runs.iter().all(|at| at < deadline),
                "attempt began after the deadline of the request"
            );
        }
        Ok(())
    }
}

fn check_exactly_once(ops: &[Op]) -> Result<(), TestCaseError> {
    let mut harness = Harness::new();
    for op in ops {
        harness.apply(op);
        harness.check_answers_are_final()?;
    }
    harness.finish_all();
    harness.check_all_finished()?;
    harness.check_answers_are_final()?;
    harness.queue = harness.disk.crash(harness.now);
    harness.check_answers_are_final()
}

/// Guards against a failure found by the property test below. The write that queued a request again failed
/// once and its retry reached the disk after the write of the final answer. A crash then put the request back
/// into the queue, and its client was given a second answer.
#[test]
fn reported_answer_is_kept_if_an_earlier_write_failed_once() {
    use Op::*;
    let wait = || Wait { tenths_s: 39 };
    let runs = [
        Enqueue(1),
        wait(),
        wait(),
        wait(),
        wait(),
        wait(),
        wait(),
        Start,
        wait(),
        AttemptFails { ran: false },
    ];
    let ends = [wait(), DiskFails, Flush, wait(), Crash, Start, Flush];
    check_exactly_once(&[&runs[..], &ends[..]].concat()).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    /// The process may crash between any two operations and lose all pending writes. Each accepted request
    /// still finishes once and reports the same answer from then on; a request that may not run twice runs at
    /// most once; a deduplicated request runs only within its window; and no request runs after its deadline.
    #[test]
    fn accepted_request_finishes_exactly_once_after_crash_at_any_point(ops in proptest::collection::vec(op(), 1..120)) {
        check_exactly_once(&ops)?;
    }
}
