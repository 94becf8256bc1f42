use super::*;

pub(super) fn limits() -> DeferredLimits {
    DeferredLimits {
        max_records: 100,
        max_bytes: 10_000,
        max_records_per_tenant: 60,
        max_wait_s: 1000.0,
        retention_s: 50.0,
        max_answer_bytes: 100,
        max_attempts: 3,
    }
}

pub(super) fn record(tenant: &str, queued_at: f64, deadline: f64) -> DeferredRecord {
    DeferredRecord {
        tenant: tenant.into(),
        model: "chat".into(),
        body: b"{}".to_vec(),
        queued_at,
        deadline,
        first_attempt_at: None,
        failed_attempts: 0,
        state: DeferredState::Queued,
    }
}

fn enqueue(queue: &mut DeferredQueue, ticket: Ticket, tenant: &str, at: f64) {
    let write = queue.enqueue(at, ticket, record(tenant, at, at + 100.0)).unwrap();
    queue.write_finished(ticket, write.version, true);
}

pub(super) fn answer() -> DeferredAnswer {
    DeferredAnswer { status: 200, body: b"well".to_vec() }
}

#[test]
fn request_runs_and_answer_is_reported_only_once_written_to_disk() {
    let mut queue = DeferredQueue::new(limits());
    let write = queue.enqueue(0.0, 1, record("t", 0.0, 100.0)).unwrap();
    assert_eq!(queue.next_runnable(0.0, |_| 1.0, |_| Some(RetryPolicy::Never)), None);
    queue.write_finished(1, write.version, false);
    assert!(
        queue.is_empty() && queue.status(1, "t").is_none(),
        "a request that could not be stored was never accepted"
    );
    enqueue(&mut queue, 2, "t", 0.0);
    assert_eq!(queue.next_runnable(0.0, |_| 1.0, |_| Some(RetryPolicy::Never)).unwrap().ticket, 2);
    let write = queue.complete(1.0, 2, answer());
    assert_eq!(queue.status(2, "t"), Some(DeferredStatus::Running), "the answer is not on disk yet");
    queue.write_finished(2, write.version, true);
    assert_eq!(queue.status(2, "t"), Some(DeferredStatus::Finished(&answer())));
    assert_eq!(queue.status(2, "another"), None);
}

#[test]
fn tenants_are_served_by_weight_and_each_oldest_request_first() {
    let mut queue = DeferredQueue::new(limits());
    for index in 0..50u32 {
        enqueue(&mut queue, 1000 - Ticket::from(index), "many", f64::from(index) / 100.0);
    }
    for n in 0..10 {
        enqueue(&mut queue, 2000 + n, "few", 1.0);
        enqueue(&mut queue, 3000 + n, "heavy", 1.0);
    }
    let weight = |tenant: &str| if tenant == "heavy" { 2.0 } else { 1.0 };
    let mut order = Vec::new();
    for _ in 0..20 {
        let ticket = queue.next_runnable(2.0, weight, |_| Some(RetryPolicy::Always)).unwrap().ticket;
        order.push((queue.record(ticket).unwrap().tenant.clone(), ticket));
    }
    let count = |tenant: &str| order.iter().filter(|run| run.0 == tenant).count();
    assert_eq!((count("many"), count("few"), count("heavy")), (5, 5, 10));
    let many: Vec<Ticket> = order.iter().filter(|run| run.0 == "many").map(|run| run.1).collect();
    assert!(
        many.is_sorted_by(|earlier, later| earlier > later),
        "the oldest request has the highest ticket: {many:?}"
    );
}

/// Five nodes can each run one request. A tenant that queues at all five competes at one of them with a
/// tenant that queues only there.
#[test]
fn tenant_queued_at_five_nodes_gets_no_more_than_one_queued_at_a_single_node() {
    let mut queue = DeferredQueue::new(limits());
    for n in 0..40 {
        enqueue(&mut queue, n, "here", 0.0);
        enqueue(&mut queue, 100 + n, "everywhere", 0.0);
    }
    let weight = |tenant: &str| local_weight(1.0, 40, if tenant == "here" { 0 } else { 4 * 40 });
    let mut tenants = Vec::new();
    for _ in 0..30 {
        let ticket = queue.next_runnable(1.0, weight, |_| Some(RetryPolicy::Always)).unwrap().ticket;
        tenants.push(queue.record(ticket).unwrap().tenant.clone());
    }
    let here = tenants.iter().filter(|tenant| *tenant == "here").count();
    assert_eq!(here, 25, "5 of 6 runs: requests that the other tenant queued elsewhere lower its weight");
}

#[test]
fn full_queue_rejects_request_and_stores_nothing_of_it() {
    let small = DeferredLimits { max_records: 3, max_records_per_tenant: 2, ..limits() };
    let mut queue = DeferredQueue::new(small);
    enqueue(&mut queue, 1, "a", 0.0);
    enqueue(&mut queue, 2, "a", 0.0);
    assert_eq!(queue.enqueue(0.0, 3, record("a", 0.0, 9.0)), Err(DeferredRejection::TenantLimit));
    enqueue(&mut queue, 4, "b", 0.0);
    assert_eq!(queue.enqueue(0.0, 5, record("b", 0.0, 9.0)), Err(DeferredRejection::TooManyRecords));
    assert_eq!((queue.len(), queue.status(5, "b")), (3, None));
    let mut queue = DeferredQueue::new(DeferredLimits { max_bytes: 200, ..limits() });
    let big = DeferredRecord { body: vec![0; 300], ..record("a", 0.0, 9.0) };
    assert_eq!(queue.enqueue(0.0, 1, big), Err(DeferredRejection::TooManyBytes));
    assert_eq!(queue.enqueue(0.0, 1, record("a", 0.0, 2000.0)), Err(DeferredRejection::WaitTooLong));
    assert_eq!(queue.counters.rejected, 2);
}

#[test]
fn queued_request_times_out_at_deadline_and_answer_is_removed_after_retention() {
    let mut queue = DeferredQueue::new(limits());
    enqueue(&mut queue, 1, "t", 0.0);
    assert!(queue.poll_expired(99.9).is_empty());
    let writes = queue.poll_expired(100.0);
    assert_eq!(writes.len(), 1);
    queue.write_finished(1, writes[0].version, true);
    assert!(matches!(queue.status(1, "t"), Some(DeferredStatus::Finished(answer)) if answer.status == 504));
    assert_eq!(queue.next_runnable(100.0, |_| 1.0, |_| Some(RetryPolicy::Always)), None);
    let writes = queue.poll_expired(150.0);
    assert_eq!(
        writes.iter().map(|write| (write.ticket, write.bytes.as_deref())).collect::<Vec<_>>(),
        [(1, None)]
    );
    assert_eq!((queue.status(1, "t"), queue.len()), (None, 0));
}

#[test]
fn damaged_or_orphaned_record_does_not_affect_other_records() {
    let mut queue = DeferredQueue::new(limits());
    let valid = record("t", 0.0, 100.0).encode();
    let orphaned = record("gone", 0.0, 100.0).encode();
    let found = [(1, valid), (2, vec![1, 2, 3]), (3, orphaned)];
    let writes =
        queue.restore(1.0, found.into_iter(), |record| (record.tenant == "t").then_some(RetryPolicy::Always));
    assert_eq!(writes.len(), 2);
    assert_eq!((queue.status(1, "t"), queue.status(2, "t")), (Some(DeferredStatus::Queued), None));
    queue.write_finished(3, writes[1].version, true);
    assert!(
        matches!(queue.status(3, "gone"), Some(DeferredStatus::Finished(answer)) if answer.status == 410)
    );
}

#[test]
fn reported_answer_is_not_replaced_by_a_later_answer() {
    let mut queue = DeferredQueue::new(limits());
    enqueue(&mut queue, 1, "t", 0.0);
    queue.next_runnable(1.0, |_| 1.0, |_| Some(RetryPolicy::Always)).unwrap();
    let first = queue.complete(2.0, 1, answer());
    queue.write_finished(1, first.version, true);
    let second = queue.complete(3.0, 1, DeferredAnswer { status: 200, body: b"late".to_vec() });
    assert_eq!(queue.status(1, "t"), Some(DeferredStatus::Finished(&answer())));
    assert_eq!(second, first);
}

/// On a failing disk, the write of the final answer reaches the disk before the older write that queued the
/// request again.
#[test]
fn superseded_write_neither_confirms_nor_replaces_newer_write() {
    let mut queue = DeferredQueue::new(limits());
    enqueue(&mut queue, 1, "t", 0.0);
    queue.next_runnable(50.0, |_| 1.0, |_| Some(RetryPolicy::Always)).unwrap();
    let requeued = queue.attempt_failed(60.0, 1, true, RetryPolicy::Always);
    assert!(queue.is_latest(1, requeued.version));
    let finished = &queue.poll_expired(100.0)[0];
    queue.write_finished(1, requeued.version, true);
    assert_eq!(
        queue.status(1, "t"),
        Some(DeferredStatus::Running),
        "the answer is not on disk: a crash would revoke a reported answer"
    );
    assert!(!queue.is_latest(1, requeued.version), "a retry would replace the final answer");
    queue.write_finished(1, finished.version, true);
    assert!(matches!(queue.status(1, "t"), Some(DeferredStatus::Finished(answer)) if answer.status == 504));
    assert!(
        queue.poll_expired(150.0)[0].bytes.is_none() && !queue.is_latest(1, finished.version),
        "a retry must not bring back a removed record"
    );
}

/// Decodes hexadecimal digits.
fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Records stay on disk while a node is upgraded, so later releases must read them.
#[test]
fn record_encoding_of_earlier_releases_stays_readable() {
    let queued = record("t", 1_700_000_000.25, 1_700_000_600.5);
    let running = DeferredRecord {
        first_attempt_at: Some(1_700_000_100.0),
        failed_attempts: 2,
        state: DeferredState::Running,
        ..queued.clone()
    };
    let finished = DeferredRecord {
        body: vec![],
        state: DeferredState::Finished { at: 1_700_000_200.0, answer: answer() },
        ..running.clone()
    };
    let stored = [(queued, "01740463686174027b7d00001040fc54d941000020d6fc54d941000000"), (running, "01740463686174027b7d00001040fc54d941000020d6fc54d9410100000059fc54d9410201"), (finished, "017404636861740000001040fc54d941000020d6fc54d9410100000059fc54d941020200000072fc54d941c8010477656c6c")];
    for (record, digits) in stored {
        assert_eq!(DeferredRecord::decode(&from_hex(digits)).as_ref(), Some(&record));
        assert_eq!(record.encode(), from_hex(digits));
    }
}
