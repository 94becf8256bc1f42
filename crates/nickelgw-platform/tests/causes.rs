//! Tests of the table of causes, with log lines as nodes write them.

#[path = "../examples/causes.rs"]
#[allow(dead_code)]
mod causes;

use causes::{CauseTable, LogContents};
use nickelgw::interface::RejectionReason;
use test_case::test_case;

const ACCEPTED: &str = "DEBUG nickelgw_platform::node: request accepted at=1.0 request=a route=2 timeout_s=6.4 ttft_objective_s=0.9 prompt_tokens=4000.0 body_bytes=16000\n";
const PREFILL_STARTED: &str = "DEBUG nickelgw_platform::node::commands: attempt started at=1.1 request=a attempt=0 engine=r1 prefill=true requests_ahead=3.0 expected_s=0.2 engine_age_s=inf unreachable_s=-0.2\n";
const PREFILL_STARTED_AT_YOUNG_ENGINE: &str = "DEBUG nickelgw_platform::node::commands: attempt started at=1.1 request=a attempt=0 engine=r2 prefill=true requests_ahead=0.0 expected_s=0.2 engine_age_s=2.5 unreachable_s=0.0\n";
const PREFILL_FINISHED: &str = "DEBUG nickelgw_platform::node::commands: prefill finished at=1.8 request=a engine=r1 cached_tokens=9.0\n";
const DECODE_STARTED: &str = "DEBUG nickelgw_platform::node::commands: attempt started at=1.8 request=a attempt=1 engine=w1 prefill=false requests_ahead=0.0 expected_s=0.1 engine_age_s=inf unreachable_s=-1.0\n";
const STREAM_STARTED: &str = "DEBUG nickelgw_platform::node::attempts: stream started at=1.85 request=a\n";
const STREAM_STARTED_LATE: &str =
    "DEBUG nickelgw_platform::node::attempts: stream started at=2.4 request=a\n";
const STREAM_FINISHED: &str = "DEBUG nickelgw_platform::node::attempts: stream finished at=3.0 request=a\n";
const DEADLINE_EXCEEDED: &str =
    "DEBUG nickelgw_platform::node::commands: request rejected at=7.4 request=a reason=DeadlineExceeded\n";
const CONNECT_FAILED: &str = "DEBUG nickelgw_platform::node::commands: attempt ended at=1.4 request=a attempt=0 engine=r1 outcome=ConnectFailed\n";

fn table(log: &[&str]) -> CauseTable {
    let mut contents = LogContents::default();
    contents.add(&log.concat());
    let mut table = CauseTable { warmup_s: 13.0, ..CauseTable::default() };
    contents.requests.values().for_each(|request| table.add(request));
    table
}

#[test]
fn request_that_starts_within_its_objective_and_finishes_is_served_and_has_no_cause() {
    let table = table(&[
        ACCEPTED,
        PREFILL_STARTED,
        PREFILL_FINISHED,
        DECODE_STARTED,
        "not a line of ours\n",
        STREAM_STARTED,
        STREAM_FINISHED,
    ]);
    assert_eq!((table.accepted.get(&2), table.served.get(&2), table.rows.len()), (Some(&1), Some(&1), 0));
}

#[test_case("never dispatched: ObjectiveUnlikely", "some not admitting", &["DEBUG nickelgw_platform::node::commands: request rejected at=1.1 request=a reason=ObjectiveUnlikely { admitting: 31, prefill_engines: 73, prefill_wait_s: 0.4, prefill_s: 0.7, decode_wait_s: 0.0 }\n"])]
#[test_case("never dispatched: ObjectiveUnlikely", "some not admitting", &["DEBUG nickelgw_platform::node::commands: request rejected at=1.1 request=a reason=ObjectiveUnlikely { open: 31, readers: 73, reader_s: 0.4, prefill_s: 0.7, writer_s: 0.0 }\n"]; "fields by their former names")]
#[test_case("never dispatched: TooLate", "all admitting", &["DEBUG nickelgw_platform::node::commands: request rejected at=1.1 request=a reason=TooLate { admitting: 9, prefill_engines: 9, prefill_wait_s: 7.0, decode_wait_s: 0.0 }\n"])]
#[test_case("attempt failed: no response at a prefill engine", "healthy", &[PREFILL_STARTED, DEADLINE_EXCEEDED])]
#[test_case("attempt failed: no response at a prefill engine", "warming up", &[PREFILL_STARTED_AT_YOUNG_ENGINE, DEADLINE_EXCEEDED])]
#[test_case("attempt failed: ConnectFailed at a prefill engine", "unreachable", &[PREFILL_STARTED, CONNECT_FAILED, DEADLINE_EXCEEDED])]
#[test_case("started late: queue and prefill at the engine", "healthy", &[PREFILL_STARTED, PREFILL_FINISHED, DECODE_STARTED, STREAM_STARTED_LATE, STREAM_FINISHED])]
#[test_case("prefilled, no decode engine: DeadlineExceeded", "healthy", &[PREFILL_STARTED, PREFILL_FINISHED, DEADLINE_EXCEEDED])]
#[test_case("never dispatched: client disconnected", "", &["DEBUG nickelgw_platform::node: client disconnected at=1.2 request=a\n"])]
#[test_case("never dispatched: node ended", "", &[])]
fn request_not_served_within_its_objective_has_one_cause(cause: &str, engines: &str, log: &[&str]) {
    let table = table(&[&[ACCEPTED], log].concat());
    let rows: Vec<_> = table
        .rows
        .iter()
        .map(|((cause, engines), counts)| (cause.as_str(), *engines, counts.get(&2).copied()))
        .collect();
    assert_eq!(rows, [(cause, engines, Some(1))]);
}

/// Uses the reason as the decision module prints it, so that the test fails if its name or a field is
/// renamed.
#[test]
fn rejection_reason_is_understood_as_it_is_logged() {
    let reason = RejectionReason::TooLate {
        admitting: 0,
        prefill_engines: 9,
        prefill_wait_s: 7.0,
        decode_wait_s: 0.0,
    };
    let line = format!(
        "DEBUG nickelgw_platform::node::commands: request rejected at=1.1 request=a reason={reason:?}\n"
    );
    let table = table(&[ACCEPTED, &line]);
    let row = ("never dispatched: TooLate".to_string(), "none admitting");
    assert!(table.rows.contains_key(&row), "{:?}", table.rows);
}

#[test]
fn client_whose_timeout_is_below_the_objective_is_counted_separately() {
    let impatient = ACCEPTED.replace("timeout_s=6.4", "timeout_s=0.4");
    let table = table(&[&impatient, PREFILL_STARTED, DEADLINE_EXCEEDED]);
    let cause = &table.rows.keys().next().unwrap().0;
    assert_eq!(
        cause,
        "attempt failed: no response at a prefill engine, client's timeout below the objective"
    );
}
