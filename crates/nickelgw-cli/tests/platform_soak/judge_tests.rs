//! Tests of the judge: which findings count, which are inconclusive, and that all of them are reported.

use crate::clients::{may_be_unread, shutdown_clients};
use crate::fleet::was_read;
use crate::judge::{judge, too_many_inconclusive, Finding, Judgement, RunRecord, Verdict};
use crate::lateness::Lateness;
use nickelgw_test_servers::platform::{Outcome, RequestTable, Role, RuleLimits, Violation};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn finding_counts_unless_harness_lateness_at_that_time_explains_it() {
    assert_eq!(judge(Some(ms(1)), ms(49)), Judgement::Counts);
    assert_eq!(judge(Some(ms(100)), ms(50)), Judgement::Inconclusive);
    assert_eq!(
        judge(Some(ms(101)), ms(50)),
        Judgement::Counts,
        "excess is more than the lateness at both ends can explain"
    );
    assert_eq!(
        judge(None, ms(5000)),
        Judgement::Counts,
        "lateness cannot explain a finding without a time limit"
    );
}

#[test]
fn lateness_is_taken_from_the_time_span_of_the_finding() {
    let (lateness, start) = (Lateness::default(), Instant::now());
    lateness.record(start + ms(100), ms(60));
    lateness.record(start + ms(120), ms(60));
    assert_eq!(lateness.max_between(start, start + ms(99)), Duration::ZERO);
    assert_eq!(lateness.max_between(start + ms(150), start + ms(900)), ms(60));
    assert_eq!(lateness.max_between(start + ms(181), start + ms(900)), Duration::ZERO);
    assert_eq!(lateness.total_of(ms(50)), ms(80), "overlapping samples count once");
}

/// The former judge dropped five runs, one of them with 901 violations, since the harness had been late at
/// some time.
#[test]
fn all_findings_are_written_and_one_that_counts_fails_the_run() {
    let (lateness, started_at) = (Lateness::default(), Instant::now());
    lateness.record(started_at + ms(1000), ms(400));
    let finding = |at: u64, excess: Option<u64>| Finding {
        what: format!("at {at}"),
        request: None,
        from: started_at + ms(at),
        until: started_at + ms(at + 10),
        excess: excess.map(ms),
    };
    let findings = [finding(1200, Some(30)), finding(2000, Some(30)), finding(1200, None)];
    let run = RunRecord { seed: 1, run: 0, started_at, lateness: &lateness, faults: &[] };
    let mut written = Vec::new();
    let judgements = run.report(&findings, &mut written);
    assert_eq!(judgements, [Judgement::Inconclusive, Judgement::Counts, Judgement::Counts]);
    let written = String::from_utf8(written).unwrap();
    assert!((0..3).all(|line| written.lines().nth(line).unwrap().contains("\"seed\":1")), "{written}");
    assert_eq!(run.former_verdict(&findings), "void");
    assert_eq!(Verdict::new(&judgements, 0.0), Verdict::Failed);
}

/// A request that the node had read and refused counted as unread if its response was lost.
#[test]
fn request_is_read_whether_it_was_admitted_or_refused() {
    let line =
        |message: &str| format!("2026-12-03T09:06:32.1Z DEBUG nickelgw_platform::clients: {message}\n");
    let refused = line("request received at=0.5 request=s0x2 connection=7")
        + &line("request not admitted at=0.5 request=s0x2 reason=NodeFull");
    assert!(was_read(&refused, "s0x2"));
    assert!(was_read(&line("request received at=0.5 connection=7 request=s0x2"), "s0x2"));
    assert!(!was_read(&refused, "s0x"), "a prefix of an ID is another request");
    assert!(!was_read(&line("response sent at=0.5 request=s0x2"), "s0x2"));
}

/// Requests that timed out at a crowded node, and retries that were lost, counted as unread.
#[test]
fn request_may_be_unread_only_if_closed_on_a_reused_connection_or_at_a_crowded_node() {
    let (new, reused, crowded, uncrowded) = (true, false, true, false);
    assert!(may_be_unread(reused, uncrowded, &Outcome::ConnectionClosed));
    assert!(may_be_unread(new, crowded, &Outcome::ConnectionClosed));
    assert!(!may_be_unread(new, uncrowded, &Outcome::ConnectionClosed), "a retry also uses a new connection");
    for outcome in [Outcome::TimedOut, Outcome::StreamBroken] {
        assert!(
            !may_be_unread(new, crowded, &outcome) && !may_be_unread(reused, uncrowded, &outcome),
            "{outcome:?}"
        );
    }
}

/// The delay between a client's connect and its first request did not depend on the seed.
#[test]
fn times_of_clients_that_connect_during_a_shutdown_depend_only_on_the_seed() {
    let accepts_for = ms(300);
    let clients = shutdown_clients(7, accepts_for);
    assert_eq!(clients, shutdown_clients(7, accepts_for));
    assert_ne!(clients, shutdown_clients(8, accepts_for));
    assert!(clients.iter().all(|client| client.connects_after <= accepts_for));
}

/// An attempt that its node wrote before the client disconnected, and that arrived late, counted as begun
/// after the disconnect.
#[test]
fn attempt_begins_when_its_node_writes_it() {
    let table = RequestTable::new(RuleLimits::default());
    let late = RuleLimits::default().disconnect_slack + ms(20);
    for id in ["before", "after"] {
        table.request_sent(id, ms(2000), false);
    }
    table.attempt_written("before");
    ["before", "after"].iter().for_each(|id| table.client_disconnected(id));
    std::thread::sleep(late);
    table.attempt_written("after");
    for id in ["before", "after"] {
        table.attempt_arrived(id, None, Role::Decode);
    }
    let violations = table.violations();
    let is_late_attempt = |violation: &Violation| matches!(violation, Violation::AttemptAfterDisconnect { id, .. } if id == "after");
    assert!(violations.len() == 1 && violations.iter().all(is_late_attempt), "{violations:?}");
    // A recorded time of writing applies to one attempt only.
    table.attempt_arrived("before", None, Role::Decode);
    assert_eq!(
        table.violations().len(),
        2,
        "it counts as begun on arrival, after the client had disconnected"
    );
}

/// The client's remaining time was judged when the attempt was written, which hid the time on the way to the
/// engine.
#[test]
fn remaining_time_is_judged_when_the_attempt_arrives() {
    let table = RequestTable::new(RuleLimits::default());
    table.request_sent("late", ms(2000), false);
    table.attempt_written("late");
    std::thread::sleep(RuleLimits::default().deadline_slack + ms(20));
    table.attempt_arrived("late", Some(ms(2000)), Role::Prefill);
    let violations = table.violations();
    assert!(matches!(violations[..], [Violation::BudgetPastDeadline { .. }]), "{violations:?}");
}

#[test]
fn run_with_only_explained_findings_is_inconclusive() {
    assert_eq!(Verdict::new(&[Judgement::Inconclusive], 0.0), Verdict::Inconclusive);
    assert_eq!(Verdict::new(&[], 0.11), Verdict::Inconclusive, "lateness hides violations too");
    assert_eq!(Verdict::new(&[], 0.1), Verdict::Passed);
    assert!(too_many_inconclusive(1, 9) && !too_many_inconclusive(1, 10));
}

/// Samplers that started before all of them were counted ended at once, so that no lateness was recorded.
#[test]
fn lateness_is_sampled_until_its_owner_is_dropped() {
    let _executor = crate::lock_executor();
    let lateness = Lateness::measure();
    let blocked_at = Instant::now();
    for _ in 0..16 {
        smol::spawn(async { std::thread::sleep(ms(200)) }).detach();
    }
    let deadline = Instant::now() + ms(10_000);
    while lateness.max_between(blocked_at, Instant::now()) <= ms(50) {
        assert!(Instant::now() < deadline, "no lateness above 50 ms was recorded within 10 s");
        std::thread::sleep(ms(10));
    }
}
