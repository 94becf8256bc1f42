//! Tests of the core: single cases here and in `processes_and_tenants`; `simulation` runs random sequences of
//! events.

mod processes_and_tenants;
mod simulation;

use super::*;
use nickelgw::interface::{Deployment, Idempotency, IdempotencyScope, ModelRoute};
use nickelgw_protocol::list::{self, EndpointEntry, EndpointList, EngineState};
use test_case::test_case;

const RESERVATION_LIMIT_S: f64 = 0.5;
const IDEMPOTENCY_WINDOW_S: f64 = 3.0;
/// Idempotency by route number.
const IDEMPOTENCY: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::Keyed { scope: IdempotencyScope::Zone, window_s: IDEMPOTENCY_WINDOW_S },
    Idempotency::NonIdempotent,
];

fn deployment() -> Deployment {
    let route = |idempotency| ModelRoute {
        ttft_objective_s: 0.5,
        ttft_objective_per_token_s: 0.0,
        tpot_objective_s: 0.05,
        idempotency,
    };
    Deployment {
        node: 0,
        node_count: 1,
        seed: 7,
        zone: 0,
        tick_s: 0.004,
        routes: IDEMPOTENCY.map(route).to_vec(),
        tenant_quotas: vec![1000.0; 2],
        max_attempts: 6,
        decode_engines_prefill: true,
        reservation_limit_s: RESERVATION_LIMIT_S,
        connect_timeout_s: 0.0,
        cross_cell_price: 0.0,
        cross_zone_price: 0.0,
        can_cancel: true,
        can_probe: true,
        must_poll_endpoints: false,
        max_retry_after_s: Some(2.0),
        slow_start_initial_share: 0.3,
        warmup_s: 5.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
    }
}

fn list(revision: u64, states: &[EngineState]) -> EndpointList {
    let entry = |(n, &state): (usize, &EngineState)| EndpointEntry {
        id: format!("e{n}"),
        address: format!("127.0.0.1:{n}"),
        zone: if n % 4 < 2 { "a" } else { "b" }.into(),
        cell: 0,
        role: if n % 2 == 0 { list::EngineRole::Prefill } else { list::EngineRole::Decode },
        memory_tokens: 1e5,
        state,
        started_at: None,
        tls_name: None,
    };
    EndpointList { revision, engines: states.iter().enumerate().map(entry).collect() }
}

fn core(max_open_requests: usize) -> NodeCore {
    core_with(max_open_requests, deployment())
}

fn core_with(max_open_requests: usize, deployment: Deployment) -> NodeCore {
    let config = CoreConfig {
        incarnation: "n0".into(),
        started_at_unix_s: 0.0,
        zones: vec!["a".into(), "b".into()],
        max_open_requests,
        stream_idle_timeout_s: 2.0,
        release_timeout_s: RESERVATION_LIMIT_S / 2.0,
        orphan_cleanup_window_s: (0.0, -1.0),
        retry_after_s: 1.0,
        grants: None,
        fair_share: None,
        tenant_max_open: vec![None],
    };
    let mut core = NodeCore::new(deployment, config);
    core.update_endpoints(0.0, &list(1, &[EngineState::Active; 8]));
    core
}

fn admitted(route: usize) -> AdmittedRequest {
    AdmittedRequest {
        name: None,
        route,
        tenant: Some(0),
        arrived_at: None,
        timeout_s: 2.0,
        unary_timeout_s: None,
        prompt_tokens: 200.0,
        prefix_tokens: 0.0,
        session: "s".into(),
        prefix: None,
        is_background: false,
    }
}

fn result(outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome, ..AttemptResult::default() }
}

/// Polls the core and returns the attempts that it starts.
fn dispatched(core: &mut NodeCore, now: f64) -> Vec<AttemptRequest> {
    let started = |command| match command {
        Command::StartAttempt(attempt) => Some(attempt),
        _ => None,
    };
    core.poll_commands(now).commands.into_iter().filter_map(started).collect()
}

fn next_attempt(core: &mut NodeCore, now: f64) -> AttemptRequest {
    dispatched(core, now).into_iter().next().expect("the core starts an attempt")
}

#[test]
fn request_is_prefilled_handed_over_and_streamed() {
    let mut core = core(4);
    let request = core.accept_request(1.0, &admitted(0)).unwrap();
    // The prefill engine chosen by hash is probed first; the request waits for it at most a 32nd of its
    // objective.
    core.poll_commands(1.0);
    let prefill = next_attempt(&mut core, 1.02);
    assert_eq!(prefill.kind, AttemptKind::Prefill);
    core.attempt_ended(1.1, request, prefill.attempt, result(AttemptOutcome::Prefilled));
    let decode = next_attempt(&mut core, 1.1);
    let AttemptKind::Decode { reservation: Some(reservation), .. } = &decode.kind else {
        panic!("expected a decode attempt with a reservation")
    };
    assert_eq!((&*reservation.name, &reservation.prefill_engine), (prefill.name.as_str(), &prefill.engine));
    assert!(core.response_started(1.2, request, decode.attempt));
    core.attempt_ended(1.5, request, decode.attempt, result(AttemptOutcome::Completed));
    let commands = core.poll_commands(1.5).commands;
    assert_eq!(commands, vec![Command::Answer { request, answer: FinalAnswer::Completed }]);
    assert!(core.is_quiet());
}

#[test]
fn broken_stream_gets_one_error_and_no_retry() {
    let mut core = core(4);
    let request = core.accept_request(1.0, &admitted(0)).unwrap();
    core.poll_commands(1.0);
    let prefill = next_attempt(&mut core, 1.02);
    core.attempt_ended(1.1, request, prefill.attempt, result(AttemptOutcome::Prefilled));
    let decode = next_attempt(&mut core, 1.1);
    assert!(core.response_started(1.2, request, decode.attempt));
    core.attempt_ended(1.3, request, decode.attempt, result(AttemptOutcome::ConnectionLost));
    let broken = FinalAnswer::Failed(FailureReason::StreamBroken);
    assert_eq!(core.poll_commands(1.3).commands, vec![Command::Answer { request, answer: broken }]);
    assert!(!core.response_started(1.4, request, decode.attempt) && core.is_quiet());
}

#[test]
fn unary_answer_must_be_complete_by_its_deadline() {
    let mut core = core(4);
    let request =
        core.accept_request(1.0, &AdmittedRequest { unary_timeout_s: Some(3.0), ..admitted(0) }).unwrap();
    core.poll_commands(1.0);
    let prefill = next_attempt(&mut core, 1.02);
    core.attempt_ended(1.1, request, prefill.attempt, result(AttemptOutcome::Prefilled));
    let decode = next_attempt(&mut core, 1.1);
    assert!(core.response_started(1.2, request, decode.attempt));
    let wake = core.poll_commands(1.2).wake_at.unwrap();
    assert!(wake < 4.0);
    let commands = core.poll_commands(wake).commands;
    assert!(commands.contains(&Command::Answer {
        request,
        answer: FinalAnswer::Failed(FailureReason::DeadlineExceeded)
    }));
    assert!(commands.contains(&Command::CancelAttempt { request, attempt: decode.attempt }));
    core.attempt_ended(wake, request, decode.attempt, result(AttemptOutcome::Cancelled));
    assert!(core.poll_commands(wake).commands.is_empty() && core.is_quiet());
}

// A prefill whose answer was lost may have made a reservation that no attempt will claim.
#[test_case(AttemptOutcome::TimedOut, true; "no answer")]
#[test_case(AttemptOutcome::ConnectionLost, true; "connection lost")]
#[test_case(AttemptOutcome::ErrorStatus(500), true; "failed")]
#[test_case(AttemptOutcome::Rejected, false; "rejected, it never ran")]
#[test_case(AttemptOutcome::ConnectFailed, false; "connect failed, it never ran")]
fn reservation_of_a_failed_prefill_is_released(outcome: AttemptOutcome, is_released: bool) {
    let mut core = core(4);
    let request = core.accept_request(1.0, &admitted(0)).unwrap();
    core.poll_commands(1.0);
    let prefill = next_attempt(&mut core, 1.02);
    core.attempt_ended(1.1, request, prefill.attempt, result(outcome));
    let commands = core.poll_commands(1.1).commands;
    let releases_it = |command: &Command| matches!(command, Command::Release(call) if *call.reservation.name == *prefill.name);
    assert_eq!(commands.iter().any(releases_it), is_released);
}

#[test]
fn requests_over_the_open_limit_are_rejected() {
    let mut core = core(2);
    let first = core.accept_request(1.0, &admitted(0)).unwrap();
    core.accept_request(1.0, &admitted(0)).unwrap();
    assert_eq!(core.accept_request(1.0, &admitted(0)), Err(RejectReason::NodeFull));
    core.client_disconnected(1.1, first);
    assert!(core.accept_request(1.1, &admitted(0)).is_ok());
    assert_eq!((core.counters.denied, core.counters.disconnected), (1, 1));
}

#[test]
fn older_endpoint_list_is_ignored() {
    let mut core = core(2);
    core.update_endpoints(1.0, &list(5, &[EngineState::Removed; 8]));
    core.update_endpoints(1.1, &list(4, &[EngineState::Active; 8]));
    core.accept_request(1.2, &admitted(0)).unwrap();
    let attempts = dispatched(&mut core, 1.3).len();
    assert_eq!((core.revision(), attempts), (Some(5), 0));
}

#[test]
fn shutdown_rejects_requests_that_are_safe_to_retry_and_fails_the_others() {
    let mut core = core(8);
    let (prefilling, reserved, decoding) = (
        core.accept_request(1.0, &admitted(0)),
        core.accept_request(1.0, &admitted(2)),
        core.accept_request(1.0, &admitted(2)),
    );
    let mut attempts = Vec::new();
    for round in 0..20 {
        attempts.extend(dispatched(&mut core, 1.0 + 0.01 * f64::from(round)));
    }
    let attempt_of = |request: &Result<RequestId, RejectReason>| {
        attempts.iter().find(|attempt| Ok(attempt.request) == *request).unwrap()
    };
    core.attempt_ended(
        1.3,
        reserved.clone().unwrap(),
        attempt_of(&reserved).attempt,
        result(AttemptOutcome::Prefilled),
    );
    core.attempt_ended(
        1.3,
        decoding.clone().unwrap(),
        attempt_of(&decoding).attempt,
        result(AttemptOutcome::Prefilled),
    );
    // One decode engine rejects its attempt, which proves that the attempt has not run.
    for attempt in dispatched(&mut core, 1.3) {
        if Ok(attempt.request) == reserved {
            core.attempt_ended(1.31, attempt.request, attempt.attempt, result(AttemptOutcome::Rejected));
        }
    }
    core.fail_all_open(1.32);
    let commands = core.poll_commands(1.32).commands;
    let answer = |request: &Result<RequestId, RejectReason>| {
        commands.iter().find_map(|command| match command {
            Command::Answer { request: answered, answer } if Ok(*answered) == *request => Some(*answer),
            _ => None,
        })
    };
    let rejected = Some(FinalAnswer::Rejected { retry_after_s: Some(1.0) });
    assert_eq!((answer(&prefilling), answer(&reserved)), (rejected, rejected));
    assert_eq!(answer(&decoding), Some(FinalAnswer::Failed(FailureReason::ShuttingDown)));
    assert!(
        commands.iter().any(|command| matches!(command, Command::Release(_))),
        "the reservation is released"
    );
    assert_eq!((core.accept_request(1.4, &admitted(0)), core.open()), (Err(RejectReason::ShuttingDown), 0));
}
