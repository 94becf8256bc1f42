use super::engine_table::Phase;
use super::hash::hash;
use super::prefix_affinity::RECENT_ARRIVALS;
use super::request_table::{Attempt, AttemptState, DecodeStart, Request, Stage};
use super::*;
use test_case::test_case;

const NOW: f64 = 100.0;

fn deployment(repeat: Idempotency) -> Deployment {
    let route = |pace_s| ModelRoute {
        ttft_objective_s: 1.0,
        ttft_objective_per_token_s: 1e-5,
        tpot_objective_s: pace_s,
        idempotency: repeat,
    };
    Deployment {
        node: 0,
        node_count: 2,
        seed: 7,
        zone: 0,
        tick_s: 0.004,
        routes: vec![route(0.08), route(0.05)],
        tenant_quotas: vec![1.0],
        max_attempts: 6,
        decode_engines_prefill: false,
        reservation_limit_s: 0.5,
        connect_timeout_s: 0.0,
        cross_cell_price: 0.04,
        cross_zone_price: 0.01,
        can_cancel: true,
        can_probe: true,
        must_poll_endpoints: false,
        max_retry_after_s: Some(2.0),
        slow_start_initial_share: 0.3,
        warmup_s: 10.0,
        overload_multiple: 3.0,
        overload_window_s: 2.0,
    }
}

fn entry(id: &str, role: EngineRole, zone: u32, cell: u32) -> EngineEntry {
    EngineEntry {
        id: id.into(),
        zone,
        cell,
        role,
        memory_tokens: 100_000.0,
        lifecycle: Lifecycle::Active,
        started_at: None,
    }
}

/// Two readers (0 and 1) and three writers: 2 beside reader 0, 3 in its zone, 4 in another.
fn router(repeat: Idempotency) -> Router {
    let mut r = Router::new(deployment(repeat));
    let lines = [
        entry("r0", EngineRole::Prefill, 0, 0),
        entry("r1", EngineRole::Prefill, 0, 1),
        entry("w2", EngineRole::Decode, 0, 0),
        entry("w3", EngineRole::Decode, 0, 1),
        entry("w4", EngineRole::Decode, 1, 2),
    ];
    r.update_endpoints(NOW, &lines, true);
    // All have just reported that they are idle.
    r.engines.iter_mut().for_each(|e| e.reported_at = NOW);
    r
}

fn request(stage: Stage) -> Request {
    Request {
        stage,
        arrived_at: NOW,
        ttft_deadline: NOW + 1.0,
        deadline: NOW + 5.0,
        prompt_tokens: 2000.0,
        session_hash: 1,
        ..Request::default()
    }
}

fn arrival() -> IncomingRequest {
    IncomingRequest {
        route: 0,
        tenant: None,
        deadline: NOW + 5.0,
        prompt_tokens: 2000.0,
        prefix_tokens: 0.0,
        session: "s".into(),
        prefix: None,
        is_background: false,
    }
}

/// Puts an inference into the router's tables.
fn insert(r: &mut Router, inf: Request) -> usize {
    let affinity_engines = r.affinity_engines(&inf);
    r.requests.insert(Request { affinity_engines: affinity_engines, ..inf }).0 as usize
}

/// An attempt of that phase, in flight at the engine.
fn attempt(r: &mut Router, engine: usize, phase: Phase) -> Attempt {
    r.engines[engine].attempts_in_flight += 1;
    Attempt {
        engine,
        phase,
        state: AttemptState::InFlight,
        dispatched_at: NOW,
        requests_ahead: 0.0,
        expected_s: 0.1,
    }
}

fn ending(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        outcome,
        elapsed_s: 0.1,
        request_finished: false,
        cached_tokens: 0.0,
        reservation_missing: false,
    }
}

fn engines_of(decisions: &Decisions) -> Vec<u32> {
    decisions.dispatches.iter().map(|s| s.engine.0).collect()
}

#[test]
fn an_arrival_goes_to_a_matured_reader_at_once() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, request(Stage::Queued));
    assert!(engines_of(&r.decide(NOW)).iter().all(|&e| e < 2));
}

#[test]
fn the_queue_goes_by_pace_then_arrival() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, request(Stage::Queued));
    insert(&mut r, Request { arrived_at: NOW - 0.1, ..request(Stage::Queued) });
    insert(&mut r, Request { route: 1, ..request(Stage::Queued) });
    let order: Vec<u32> = r.decide(NOW).dispatches.iter().map(|s| s.request.0).collect();
    assert_eq!(order, [2, 1, 0]);
}

#[test]
fn nothing_is_sent_while_no_reader_has_matured() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, request(Stage::Queued));
    r.engines.iter_mut().for_each(|e| e.available_at = NOW + 0.3);
    assert!(r.decide(NOW).dispatches.is_empty());
}

#[test]
fn a_matured_reader_takes_the_oldest_below_theta() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { ttft_deadline: NOW - 1.0, ..request(Stage::Queued) });
    assert_eq!(r.decide(NOW).dispatches.len(), 1);
}

#[test_case(0.0, 1; "free memory takes it")]
#[test_case(0.999, 0; "no free tokens hold it")]
fn the_budget_is_capped_by_free_tokens(held: f64, attempts: usize) {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { over_quota: true, ..request(Stage::Queued) });
    for e in &mut r.engines[..2] {
        e.reported_load.memory_share = Some(held);
    }
    assert_eq!(r.decide(NOW).dispatches.len(), attempts);
}

#[test]
fn an_oversized_prompt_goes_alone_to_an_idle_reader() {
    let mut r = router(Idempotency::Idempotent);
    let huge = Request {
        prompt_tokens: 90_000.0,
        ttft_deadline: NOW + 9.0,
        deadline: NOW + 20.0,
        ..request(Stage::Queued)
    };
    insert(&mut r, huge);
    assert_eq!(r.decide(NOW).dispatches.len(), 1);
}

#[test]
fn kept_text_outweighs_a_short_wait() {
    let mut r = router(Idempotency::Idempotent);
    let i = insert(&mut r, request(Stage::Queued));
    r.prefill_cost = PrefillCost::new(0.001, 0.1);
    let home = r.requests[i].affinity_engines[0];
    r.engines[home].available_at = NOW + 0.01;
    assert_eq!(r.choose_prefill_engine(NOW, i, &[0, 1]), Some(home));
}

#[test]
fn all_nodes_agree_on_the_hashed_reader() {
    let (a, mut b) = (router(Idempotency::Idempotent), router(Idempotency::Idempotent));
    b.random = WyRand::new_seed(99);
    let inf = request(Stage::Queued);
    assert_eq!(a.affinity_engines(&inf), b.affinity_engines(&inf));
}

/// In zones of two or three readers, two for a prefix scattered it over the zone, and little was kept.
#[test_case(2, 0.9, 1; "a small zone keeps even a popular one at one reader")]
#[test_case(6, 0.9, 3; "a larger one at half its readers")]
#[test_case(6, 0.07, 2; "by its part of the arrivals")]
#[test_case(6, 0.0, 2; "a rare one at two")]
fn a_prefix_is_at_as_many_readers_as_its_part_needs(readers: usize, part: f64, named: usize) {
    let mut r = router(Idempotency::Idempotent);
    for k in 2..readers {
        r.update_endpoints(NOW, &[entry(&format!("more{k}"), EngineRole::Prefill, 0, 0)], false);
    }
    r.averages.mean_prompt_tokens = 2000.0;
    for index in 0..RECENT_ARRIVALS {
        let is_same = (index as f64) < part * RECENT_ARRIVALS as f64;
        r.affinity.record_arrival(if is_same { 9 } else { 100 + index as u64 });
    }
    let mut seen: Vec<usize> = Vec::new();
    for session in (1..60).map(|k| hash("s", k)) {
        seen.push(
            r.affinity_engines(&Request { session_hash: session, prefix_hash: 9, ..request(Stage::Queued) })
                [0],
        );
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), named);
}

/// One reader for each of a few texts left some readers idle and others overrun.
#[test_case(3, 2; "few texts have two")]
#[test_case(60, 2; "as do many")]
fn a_text_has_two_readers(texts: u64, named: usize) {
    let mut r = router(Idempotency::Idempotent);
    (2..6).for_each(|k| {
        r.update_endpoints(NOW, &[entry(&format!("more{k}"), EngineRole::Prefill, 0, 0)], false)
    });
    r.averages.mean_prompt_tokens = 2000.0;
    (0..RECENT_ARRIVALS as u64).for_each(|index| r.affinity.record_arrival(100 + index % texts));
    let first = |session| {
        r.affinity_engines(&Request { session_hash: session, prefix_hash: 9, ..request(Stage::Queued) })[0]
    };
    let mut seen: Vec<usize> = (1..60).map(|k| first(hash("s", k))).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), named);
}

#[test]
fn what_is_too_late_to_start_is_shed_unread() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { deadline: NOW + 0.02, ..request(Stage::Queued) });
    let decisions = r.decide(NOW);
    assert_eq!((decisions.rejected.len(), decisions.dispatches.len()), (1, 0));
    assert!(
        matches!(
            decisions.reasons[..],
            [(RequestHandle(0), RejectionReason::TooLate { admitting: 2, prefill_engines: 2, .. })]
        ),
        "{:?}",
        decisions.reasons
    );
}

/// Overload: late work read for full writers made fresh work late too.
#[test_case(0.5, 0; "room")]
#[test_case(1.0, 1; "full")]
fn with_full_writers_a_missed_target_is_shed(load: f64, shed: usize) {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { ttft_deadline: NOW - 0.1, ..request(Stage::Queued) });
    for e in &mut r.engines[2..] {
        e.reported_load.memory_share = Some(load);
    }
    assert_eq!(r.decide(NOW).rejected.len(), shed);
}

#[test_case(&[], 2; "the reader's cell")]
#[test_case(&[2], 3; "then its zone")]
#[test_case(&[2, 3], 4; "then elsewhere")]
fn the_migrator_sends_at_once_to_the_nearest_free_writer(full: &[usize], engine: u32) {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { reservation: Some(0), ..request(Stage::Reserved) });
    full.iter().for_each(|&e| r.engines[e].reported_load.memory_share = Some(1.0));
    assert_eq!(engines_of(&r.decide(NOW)), [engine]);
}

/// A day with a cut zone left states pinned at readers that a writer could not reach.
#[test]
fn a_state_not_found_is_let_go() {
    let mut r = router(Idempotency::Idempotent);
    let s = attempt(&mut r, 2, Phase::Decode);
    insert(&mut r, Request { reservation: Some(0), attempts: vec![s], ..request(Stage::Decoding) });
    r.attempt_finished(
        NOW,
        RequestHandle(0),
        0,
        AttemptEnd { reservation_missing: true, ..ending(Outcome::Rejected) },
        None,
    );
    assert_eq!((r.decisions.released.len(), r.requests[0].stage), (1, Stage::Queued));
}

/// A state given up while a send was out stayed pinned when that send ended.
#[test]
fn letting_go_is_said_again_when_the_last_send_ends() {
    let mut r = router(Idempotency::Idempotent);
    let s = attempt(&mut r, 2, Phase::Decode);
    insert(&mut r, Request { reservation: Some(0), attempts: vec![s], ..request(Stage::Finished) });
    r.attempt_finished(NOW, RequestHandle(0), 0, ending(Outcome::Cancelled), None);
    assert_eq!((r.decisions.released.len(), r.decisions.closed.len()), (1, 1));
}

#[test]
fn a_state_with_no_writer_is_not_kept() {
    let mut r = router(Idempotency::Idempotent);
    let read = Attempt { state: AttemptState::Finished, ..attempt(&mut r, 0, Phase::Prefill) };
    let held = Request {
        reservation: Some(0),
        reserved_since: NOW - 0.3,
        attempts: vec![read],
        ..request(Stage::Reserved)
    };
    insert(&mut r, held);
    r.engines[2..].iter_mut().for_each(|e| e.lifecycle = Lifecycle::Draining);
    let decisions = r.decide(NOW);
    assert_eq!((decisions.rejected.len(), decisions.released.len()), (1, 1));
}

fn missed(r: &mut Router, engine: usize, outcome: Outcome) -> usize {
    let s = Attempt { dispatched_at: NOW - 0.25, ..attempt(r, engine, Phase::Decode) };
    let held = Request { reservation: Some(0), reserved_since: NOW - 0.25, ..request(Stage::Decoding) };
    let i = insert(r, Request { attempts: vec![s], ..held });
    r.attempt_finished(NOW, RequestHandle(i as u32), 0, ending(outcome), None);
    i
}

/// Fleet days with a zone lost: the state's time began anew with each connection that did not come up.
#[test_case(Outcome::ConnectFailed, 0.25, 0.25; "never up, where the time runs on")]
#[test_case(Outcome::ConnectFailed, 0.0, 0.0; "where a send counts from its order")]
#[test_case(Outcome::Rejected, 0.25, 0.0; "it was there")]
fn what_never_came_up_is_no_send_for_a_held_state(outcome: Outcome, connect_s: f64, runs_s: f64) {
    let mut r =
        Router::new(Deployment { connect_timeout_s: connect_s, ..deployment(Idempotency::Idempotent) });
    r.update_endpoints(
        NOW,
        &[entry("r0", EngineRole::Prefill, 0, 0), entry("w1", EngineRole::Decode, 0, 0)],
        true,
    );
    let i = missed(&mut r, 1, outcome);
    assert_eq!(r.requests[i].reserved_since, NOW - runs_s);
}

/// The writers of the zone were tried one by one, though the first had shown that the way there was shut.
#[test_case(0.8, 4; "another zone while there is time for it to fail")]
#[test_case(0.6, 9; "else it is let go of at once")]
fn after_a_send_that_never_came_up(hold_limit_s: f64, to: u32) {
    let d = Deployment {
        connect_timeout_s: 0.25,
        reservation_limit_s: hold_limit_s,
        ..deployment(Idempotency::Idempotent)
    };
    let mut r = router(Idempotency::Idempotent);
    r.limits = Limits::new(&d);
    r.engines[2].zone = 0;
    missed(&mut r, 2, Outcome::ConnectFailed);
    let decisions = r.decide(NOW);
    assert_eq!(engines_of(&decisions), if to == 9 { vec![] } else { vec![to] });
    assert_eq!(decisions.released.len(), (to == 9) as usize);
}

/// Calls that let go were tried at the first engines listed, all in the zone that was cut off.
#[test]
fn a_call_that_any_engine_takes_goes_to_one_heard_lately() {
    let mut r = router(Idempotency::Idempotent);
    (r.engines[0].unreachable_at, r.engines[3].unreachable_at) = (NOW, NOW);
    (r.engines[1].last_response_at, r.engines[4].last_response_at) = (NOW - 2.0, NOW - 1.0);
    let at = |r: &Router| r.engines_by_last_response("r0", 3).iter().map(|e| e.0).collect::<Vec<_>>();
    assert_eq!(at(&r), [4, 1, 2]);
    r.engines[0].last_response_at = NOW + 1.0;
    assert_eq!(at(&r), [0, 4, 1], "the reader meant, while it is heard");
}

/// A rolling restart on sockets found a reader that failed at once tried five times within 2 ms, for the text that it
/// was taken to keep, until no send was left.
#[test]
fn a_reader_that_failed_it_is_not_tried_again_before_others() {
    let mut r = router(Idempotency::Idempotent);
    let mut inf =
        Request { prompt_tokens: 9000.0, prefix_tokens: 6000.0, prefix_hash: 3, ..request(Stage::Queued) };
    inf.affinity_engines = vec![0, 1];
    let home = insert(&mut r, inf);
    r.requests[home].affinity_engines = vec![0, 1];
    assert_eq!(r.choose_prefill_engine(NOW, home, &[0, 1]), Some(0), "its text is kept there");
    let s = attempt(&mut r, 0, Phase::Prefill);
    r.requests[home].attempts.push(s);
    r.attempt_finished(NOW, RequestHandle(0), 0, ending(Outcome::EngineError), None);
    assert_eq!(r.choose_prefill_engine(NOW, home, &[0, 1]), Some(1));
}

/// The churn day on sockets found a reader 15 s old, with five waiting at it, drawing the texts that its hash named.
#[test_case(None, 0.0, 1000.0; "long there: as its hash says")]
#[test_case(Some(NOW - 5.0), 0.0, 2000.0; "fresh: nothing")]
#[test_case(Some(NOW - 5.0), 800.0, 1968.0; "fresh, and found to keep it once")]
fn a_reader_is_taken_to_keep_what_it_was_found_to(started_at: Option<f64>, found: f64, unkept: f64) {
    let mut r = router(Idempotency::Idempotent);
    r.update_endpoints(
        NOW,
        &[EngineEntry { started_at, ..entry("fresh", EngineRole::Prefill, 0, 0) }],
        false,
    );
    let e = r.engines.index_of("fresh").unwrap();
    let s = attempt(&mut r, e, Phase::Prefill);
    let i = insert(&mut r, Request { attempts: vec![s], ..request(Stage::Prefilling) });
    r.requests[i].affinity_engines = vec![e, 0];
    if found > 0.0 {
        r.attempt_finished(
            NOW,
            RequestHandle(i as u32),
            0,
            AttemptEnd { cached_tokens: found, ..ending(Outcome::Prefilled) },
            None,
        );
    }
    assert!((r.uncached_tokens(e, i) - unkept).abs() < 1.0, "{}", r.uncached_tokens(e, i));
}

const ZONE: Idempotency = Idempotency::Keyed { scope: IdempotencyScope::Zone, window_s: 5.0 };
const ALL: Idempotency = Idempotency::Keyed { scope: IdempotencyScope::All, window_s: 5.0 };

#[test_case(Idempotency::Idempotent, Outcome::ConnectionLost, true; "retriable may always")]
#[test_case(Idempotency::NonIdempotent, Outcome::ConnectionLost, false; "non retriable that may have run")]
#[test_case(Idempotency::NonIdempotent, Outcome::ConnectFailed, true; "non retriable that never ran")]
#[test_case(Idempotency::NonIdempotent, Outcome::Rejected, true; "non retriable turned away")]
#[test_case(ZONE, Outcome::EngineError, true; "deduped within its span")]
fn sending_again_keeps_to_the_kind(repeat: Idempotency, outcome: Outcome, again: bool) {
    let mut r = router(repeat);
    let s = attempt(&mut r, 2, Phase::Decode);
    insert(&mut r, Request { reservation: Some(0), attempts: vec![s], ..request(Stage::Decoding) });
    r.attempt_finished(NOW, RequestHandle(0), 0, ending(outcome), None);
    assert_eq!(r.requests[0].stage == Stage::Reserved, again);
    assert_eq!(r.decisions.failed.len(), usize::from(!again));
}

#[test_case(NOW, 3, 0.0, true; "inside the group")]
#[test_case(NOW, 4, 0.0, false; "outside the group")]
#[test_case(NOW + 4.5, 3, 0.0, false; "after it forgets")]
#[test_case(NOW + 3.9, 3, 0.0, true; "well within the span")]
#[test_case(NOW + 3.9, 3, 0.5, false; "a connection may come up after it")]
fn deduped_stays_in_its_group_and_span(now: f64, engine: usize, connect: f64, allowed: bool) {
    let mut r = router(ZONE);
    r.limits.connect_timeout_s = connect;
    insert(
        &mut r,
        Request {
            reservation: Some(0),
            first_decode: Some(DecodeStart { engine: 2, at: NOW }),
            ..request(Stage::Reserved)
        },
    );
    assert_eq!(r.may_retry(now, 0, Some(engine)), allowed);
}

/// A hunt found a deduped inference read again in another cell after its state was lost.
#[test_case(ZONE, false; "readers may lie outside the group")]
#[test_case(ALL, true; "every engine is in the group")]
fn a_deduped_prompt_is_read_again_only_inside_its_group(repeat: Idempotency, allowed: bool) {
    let mut r = router(repeat);
    insert(
        &mut r,
        Request { first_decode: Some(DecodeStart { engine: 2, at: NOW }), ..request(Stage::Queued) },
    );
    assert_eq!(r.decide(NOW).dispatches.len() == 1, allowed);
}

#[test_case(Idempotency::Idempotent, true)]
#[test_case(ALL, true)]
#[test_case(ZONE, false)]
#[test_case(Idempotency::NonIdempotent, false)]
fn giving_up_sheds_only_what_may_be_repeated(repeat: Idempotency, shed: bool) {
    let mut r = router(repeat);
    let s = attempt(&mut r, 2, Phase::Decode);
    insert(&mut r, Request { attempts: vec![s], ..request(Stage::Decoding) });
    r.reject_or_fail(0, RejectionReason::NoAttemptLeft);
    assert_eq!((r.decisions.rejected.len() == 1, r.decisions.failed.len() == 1), (shed, !shed));
    assert_eq!(r.decisions.cancelled, [(RequestHandle(0), 0)]);
}

#[test]
fn the_last_answer_comes_before_the_time_is_up() {
    let mut r = router(Idempotency::Idempotent);
    let s = attempt(&mut r, 0, Phase::Prefill);
    insert(&mut r, Request { attempts: vec![s], deadline: NOW + 0.003, ..request(Stage::Prefilling) });
    assert_eq!(r.decide(NOW).rejected.len(), 1);
}

#[test]
fn a_client_that_left_is_owed_nothing() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, request(Stage::Queued));
    r.client_disconnected(RequestHandle(0));
    assert!(r.decide(NOW).dispatches.is_empty());
}

#[test]
fn a_broken_stream_is_over() {
    let mut r = router(Idempotency::NonIdempotent);
    let s = attempt(&mut r, 2, Phase::Decode);
    insert(&mut r, Request { attempts: vec![s], ..request(Stage::Streaming) });
    r.attempt_finished(
        NOW,
        RequestHandle(0),
        0,
        AttemptEnd { request_finished: true, ..ending(Outcome::ConnectionLost) },
        None,
    );
    assert_eq!((r.decisions.closed.len(), r.decisions.failed.len()), (1, 0));
}

#[test_case(Lifecycle::Draining)]
#[test_case(Lifecycle::Removed)]
fn nothing_new_goes_to_an_engine_that_leaves(lifecycle: Lifecycle) {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, request(Stage::Queued));
    r.engines[..2].iter_mut().for_each(|e| e.lifecycle = lifecycle);
    assert!(r.decide(NOW).dispatches.is_empty());
}

#[test]
fn a_full_list_drops_what_it_leaves_out() {
    let mut r = router(Idempotency::Idempotent);
    r.update_endpoints(NOW, &[entry("r1", EngineRole::Prefill, 0, 1)], true);
    assert_eq!(r.engines.iter().filter(|e| e.lifecycle == Lifecycle::Active).count(), 1);
}

#[test]
fn a_restart_voids_what_was_known() {
    let mut r = router(Idempotency::Idempotent);
    r.record_load(NOW - 2.0, 0, EngineLoad { queue_len: Some(9.0), ..EngineLoad::default() });
    r.update_endpoints(
        NOW,
        &[EngineEntry { started_at: Some(NOW - 1.0), ..entry("r0", EngineRole::Prefill, 0, 0) }],
        false,
    );
    assert_eq!(
        (r.engines[0].reported_load, r.engines[0].reported_at),
        (EngineLoad::default(), f64::NEG_INFINITY)
    );
}

/// A fleet of nodes with 40 readers, of which 24 have just started, all with quick news of each other.
fn fleet(nodes: u32) -> Vec<Router> {
    let readers = (0..40).map(|k| EngineEntry {
        started_at: (k >= 16).then_some(NOW - 0.1),
        ..entry(&format!("r{k}"), EngineRole::Prefill, 0, 0)
    });
    let lines: Vec<EngineEntry> = readers.chain([entry("w", EngineRole::Decode, 0, 0)]).collect();
    let node = |n: u32| {
        let quotas = vec![400.0];
        let d = Deployment {
            node: n,
            node_count: nodes,
            seed: n as u64,
            tenant_quotas: quotas,
            ..deployment(Idempotency::Idempotent)
        };
        let mut r = Router::new(d);
        r.update_endpoints(NOW, &lines, true);
        r.engines.iter_mut().for_each(|e| e.reported_at = NOW);
        r
    };
    (0..nodes).map(node).collect()
}

/// With 350 nodes a turn was 36 ms in 3 s and most nodes had nothing to send in it: fresh readers got a tenth of
/// what they may, old ones all the rest. Each fresh reader gets its part, and of all nodes together no more
/// than the rule allows of an even part of what the fleet is promised to take: with the window of 2 s, a cold
/// share of 0.3 and a multiple of 3, 18 of the 20 a reader's even part comes to, and what chance adds to one.
#[test_case(350, 2, |_| 1, false; "even traffic")]
#[test_case(350, 2, |n| if n % 10 == 0 { 6 } else { 1 }, false; "uneven traffic")]
#[test_case(350, 40, |_| 1, true; "a rush of retries while all others are full")]
#[test_case(2, 400, |_| 1, false; "two nodes")]
fn all_nodes_together_keep_to_the_cold_allowance(
    nodes: u32,
    each: usize,
    weight: fn(u32) -> usize,
    full: bool,
) {
    let mut attempts = [0; 40];
    for (n, r) in fleet(nodes).iter_mut().enumerate() {
        for k in 0..each * weight(n as u32) {
            // In the window's course; what was taken before is done with.
            let now = NOW + 0.01 + 2.0 * k as f64 / (each * weight(n as u32)) as f64;
            let session = format!("{n} {k}");
            let waits = if full { 5.0 } else { 0.0 };
            for (e, engine) in r.engines.iter_mut().enumerate().take(40) {
                (engine.available_at, engine.reported_at) = (if e < 16 { now + waits } else { now }, now);
                engine.reported_wait_s = engine.available_at - now;
            }
            r.admit_request(now, &IncomingRequest { session, deadline: now + 5.0, ..arrival() });
            for s in r.decide(now).dispatches {
                attempts[s.engine.0 as usize] += 1;
            }
        }
    }
    let fresh = &attempts[16..];
    let mean = fresh.iter().sum::<i32>() as f64 / fresh.len() as f64;
    assert!(mean <= 18.0 && fresh.iter().all(|&n| n <= 18 + 13), "{fresh:?}");
    // Turns left them a tenth of their part.
    assert!(mean >= 6.0, "{fresh:?}");
}

/// The first reader of a zone to come back drew all that its zone's texts named.
#[test]
fn the_only_reader_of_a_zone_takes_an_even_part() {
    let mut r = router(Idempotency::Idempotent);
    r.engines[1].zone = 1;
    let lines: Vec<EngineEntry> =
        (0..30).map(|k| entry(&format!("m{k}"), EngineRole::Prefill, 1, 0)).collect();
    r.update_endpoints(NOW, &lines, false);
    r.engines[0].started_at = NOW - 0.1;
    r.update_averages(NOW);
    let drawn = |draw| Request { slow_start_draw: Some(draw), ..request(Stage::Queued) };
    let requests: Vec<usize> = (0..1000).map(|d| insert(&mut r, drawn(d))).collect();
    let attempt = requests.iter().filter(|&&i| r.slow_start_admits(NOW, i, 0)).count();
    assert!(
        r.requests[requests[0]].affinity_engines.first() == Some(&0) && attempt > 0 && attempt < 1000 / 10
    );
}

#[test]
fn silence_moves_maturity_further_each_time() {
    let mut r = router(Idempotency::Idempotent);
    r.record_unreachable(NOW, 0);
    let first = r.engines[0].available_at;
    r.record_unreachable(NOW, 0);
    assert!(first > NOW && r.engines[0].available_at > first);
}

/// Lost answers at most of a fleet held it all off, and everything was shed.
#[test_case(&[2], 3; "a failing writer is passed over")]
#[test_case(&[2, 3, 4], 2; "all failing alike are used as before")]
fn failures_make_a_worse_choice_but_bar_none(failing: &[usize], engine: u32) {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { reservation: Some(0), ..request(Stage::Reserved) });
    failing.iter().for_each(|&e| r.record_failure(NOW, e));
    assert_eq!(engines_of(&r.decide(NOW)), [engine]);
}

/// Where probes queue like work, busy readers passed for dead, and what they held was called off.
#[test_case(1.0, Outcome::TimedOut, false; "a queue explains it")]
#[test_case(0.0, Outcome::TimedOut, true; "nothing explains it")]
#[test_case(0.0, Outcome::Rejected, false; "full is not silent")]
fn an_unanswered_probe_is_silence_only_without_a_queue(wait: f64, outcome: Outcome, unreachable_at: bool) {
    let mut r = router(Idempotency::Idempotent);
    (r.engines[0].reported_wait_s, r.engines[0].probed_at) = (wait, NOW - 0.25);
    r.probe_finished(NOW, "r0", outcome, None);
    assert_eq!(r.engines[0].unreachable_at == NOW, unreachable_at);
}

/// Inferences were shed on old news of full writers long after these had room, since nobody asked.
#[test]
fn news_is_asked_for_before_anything_is_shed() {
    let mut r = loose_target_in_a_rush();
    r.engines.iter_mut().for_each(|e| (e.reported_at, e.probed_at) = (NOW - 60.0, NOW - 60.0));
    let decisions = r.decide(NOW);
    assert!(decisions.rejected.is_empty() && decisions.probes.iter().any(|e| e.0 < 2));
}

/// On sockets a round of decisions comes moments after the arrival: no writer was ever asked, and an idle
/// node of 300 took its own stream for a full fleet and held what came next for seconds.
#[test]
fn an_arrival_asks_writers_however_late_the_round() {
    let mut r = router(Idempotency::Idempotent);
    r.engines.iter_mut().for_each(|e| (e.reported_at, e.probed_at) = (NOW - 60.0, NOW - 60.0));
    r.admit_request(NOW, &arrival());
    let decisions = r.decide(NOW + 0.001);
    assert!(decisions.probes.iter().any(|e| e.0 >= 2));
}

/// Sends were called off and lost their place because their engine was merely busy.
#[test_case(NOW + 0.5, 0; "heard since")]
#[test_case(0.0, 1; "unreachable and silent")]
fn only_silence_calls_a_send_off(last_response_at: f64, cancelled: usize) {
    let mut r = router(Idempotency::Idempotent);
    let s = attempt(&mut r, 0, Phase::Prefill);
    insert(&mut r, Request { attempts: vec![s], ..request(Stage::Prefilling) });
    (r.engines[0].last_response_at, r.engines[0].unreachable_at) = (last_response_at, NOW + 0.4);
    r.enforce_deadlines(NOW + 0.6);
    assert_eq!(r.decisions.cancelled.len(), cancelled);
}

/// An ageing engine kept its early maturity until it crashed: its sends only came late.
#[test]
fn an_overdue_send_counts_as_one_failure() {
    let mut r = router(Idempotency::Idempotent);
    let s = attempt(&mut r, 0, Phase::Prefill);
    insert(&mut r, Request { attempts: vec![s], ..request(Stage::Prefilling) });
    r.enforce_deadlines(NOW + 0.5);
    r.enforce_deadlines(NOW + 0.5);
    assert_eq!(r.engines[0].recent_failures, 1.0);
}

/// A time-out at an engine that answered others meanwhile counted as a fault.
#[test_case(NOW + 1.0, 0.0; "busy")]
#[test_case(NOW - 1.0, 1.0; "silent")]
fn a_timeout_counts_only_in_silence(last_response_at: f64, recent_failures: f64) {
    let mut r = router(Idempotency::Idempotent);
    let s = attempt(&mut r, 0, Phase::Prefill);
    insert(&mut r, Request { attempts: vec![s], ..request(Stage::Prefilling) });
    r.engines[0].last_response_at = last_response_at;
    r.attempt_finished(NOW + 2.0, RequestHandle(0), 0, ending(Outcome::TimedOut), None);
    assert_eq!(r.engines[0].recent_failures, recent_failures);
}

/// Readers with long queues of other nodes' reads looked matured.
#[test]
fn reported_backlog_moves_a_readers_maturity() {
    let mut r = router(Idempotency::Idempotent);
    r.record_load(NOW, 0, EngineLoad { pending_prompt_tokens: Some(50_000.0), ..EngineLoad::default() });
    assert!(r.engines[0].available_at > NOW + 0.1);
}

/// Queued inferences at a writer were not counted: it looked free.
#[test_case(EngineLoad { memory_share: Some(0.5), ..EngineLoad::default() }, 0.5)]
#[test_case(EngineLoad { memory_share: Some(0.5), queue_len: Some(25.0), ..EngineLoad::default() }, 1.0)]
#[test_case(EngineLoad { memory_share: Some(0.5), pending_prompt_tokens: Some(20_000.0), ..EngineLoad::default() }, 0.7)]
#[test_case(EngineLoad { memory_share: Some(0.5), inflight: Some(40.0), ..EngineLoad::default() }, 0.8)]
#[test_case(EngineLoad { slot_share: Some(0.6), ..EngineLoad::default() }, 0.6)]
fn a_writers_load_counts_what_waits(load: EngineLoad, share: f64) {
    let mut r = router(Idempotency::Idempotent);
    r.averages.mean_prompt_tokens = 2000.0;
    (r.engines[2].reported_load, r.engines[2].reported_at) = (load, r.averages.as_of);
    assert!((r.estimated_load(2) - share).abs() < 1e-9);
}

/// A writer last heard of when it was over-full was avoided for seconds, and inferences shed meanwhile.
#[test_case(0.0, 1.3; "fresh")]
#[test_case(60.0, 0.5; "old")]
fn an_old_report_fades_to_the_usual(age: f64, share: f64) {
    let mut r = router(Idempotency::Idempotent);
    (r.averages.as_of, r.averages.mean_stream_s, r.averages.decode.load) = (NOW + age, 5.0, 0.5);
    (r.engines[2].reported_load.memory_share, r.engines[2].reported_at) = (Some(1.3), NOW);
    assert!((r.estimated_load(2) - share).abs() < 1e-4);
}

/// A deployment without reports or probes, 300 nodes: each held what came for a quarter of a second and more, on a calm
/// day, since its one stream times the nodes filled every writer.
#[test]
fn where_nothing_is_told_one_own_stream_fills_no_writer() {
    let mut r =
        Router::new(Deployment { node_count: 300, can_probe: false, ..deployment(Idempotency::Idempotent) });
    r.update_endpoints(
        NOW,
        &[entry("r0", EngineRole::Prefill, 0, 0), entry("w1", EngineRole::Decode, 0, 0)],
        true,
    );
    r.engines[1].tokens_in_flight = 2000.0;
    r.engines[1].attempts_in_flight = 1;
    insert(&mut r, request(Stage::Queued));
    assert_eq!(engines_of(&r.decide(NOW)), [0]);
}

/// Other nodes' queues were fitted as read cost, and idle readers held back for them.
#[test]
fn long_timings_move_the_read_fit_little() {
    let (mut up, mut down) = (PrefillCost::new(0.02, 0.04), PrefillCost::new(0.02, 0.04));
    let was = up.of(2000.0);
    up.add(2000.0, was + 0.05);
    down.add(2000.0, was - 0.05);
    assert!(up.of(2000.0) - was < 0.3 * (was - down.of(2000.0)));
}

/// After a rush, queues had been fitted as read cost: readers were held back while idle, and it lasted.
#[test_case(0.0; "idle reader")]
#[test_case(5.0; "reader with a queue")]
fn only_reads_that_met_an_idle_reader_are_fitted(there: f64) {
    let mut r = router(Idempotency::Idempotent);
    let (was, s) =
        (r.prefill_cost.of(2000.0), Attempt { requests_ahead: there, ..attempt(&mut r, 0, Phase::Prefill) });
    insert(&mut r, Request { attempts: vec![s], ..request(Stage::Prefilling) });
    r.attempt_finished(
        NOW + 3.0,
        RequestHandle(0),
        0,
        AttemptEnd { elapsed_s: 3.0, ..ending(Outcome::Prefilled) },
        None,
    );
    assert_eq!(r.prefill_cost.of(2000.0) > was, there == 0.0);
}

/// After a cut zone healed, its engines stayed held off for seconds.
#[test_case(NOW - 1.0, NOW; "silence has ended")]
#[test_case(NOW - 9.0, NOW + 5.0; "errors go on")]
fn an_answer_ends_only_a_silent_hold_off(unreachable_at: f64, available_at: f64) {
    let mut r = router(Idempotency::Idempotent);
    (r.engines[0].unreachable_at, r.engines[0].last_response_at, r.engines[0].available_at) =
        (unreachable_at, NOW - 2.0, NOW + 5.0);
    r.record_response(NOW, 0);
    assert_eq!(r.engines[0].available_at, available_at);
}

/// A queued inference with a loose target, and writers that are over-full.
fn loose_target_in_a_rush() -> Router {
    let mut r = router(Idempotency::Idempotent);
    r.averages.mean_prompt_tokens = 2000.0;
    insert(&mut r, Request { ttft_deadline: NOW + 4.0, ..request(Stage::Queued) });
    r.engines[2..].iter_mut().for_each(|e| (e.reported_load.memory_share, e.reported_at) = (Some(1.2), NOW));
    r
}

/// In a rush, held inferences were admitted ever later: the time they had waited was lost for them all.
#[test]
fn pressed_what_is_not_admitted_is_shed_at_once() {
    let mut r = loose_target_in_a_rush();
    assert_eq!(r.decide(NOW).rejected.len(), 1);
}

/// A route with a looser target filled the writers until a tighter one could not be met.
#[test]
fn a_loose_target_does_not_fill_the_writers() {
    let mut r = loose_target_in_a_rush();
    assert!(r.decide(NOW).dispatches.is_empty());
}

#[test]
fn the_read_fit_learns_a_cost() {
    let mut fit = PrefillCost::new(0.02, 0.04);
    for k in 0..900 {
        let t = (k % 9) as f64;
        fit.add(1000.0 * t, 0.01 + 0.1 * t);
    }
    assert!((fit.of(5000.0) - 0.51).abs() < 0.02);
}

/// Inferences beyond a share were held until their time was up while readers stood idle.
#[test]
fn beyond_its_share_is_admitted_when_there_is_room() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { over_quota: true, ..request(Stage::Queued) });
    assert_eq!(r.decide(NOW).dispatches.len(), 1);
}

/// With a part under half an inference a second the bucket never held one: all of a small tenant was shed.
#[test_case(1, false; "the first")]
#[test_case(9, true; "the ninth at once")]
fn a_small_part_of_a_quota_admits_what_chance_brings(arrivals: usize, over: bool) {
    let mut r = Router::new(Deployment { node_count: 200, ..deployment(Idempotency::Idempotent) });
    let arrival = IncomingRequest { tenant: Some(0), prompt_tokens: 900.0, ..arrival() };
    let last = (0..arrivals).map(|_| r.admit_request(NOW, &arrival)).last().unwrap();
    assert_eq!(r.requests[last.0 as usize].over_quota, over);
}

#[test]
fn beyond_its_share_comes_last() {
    let mut r = router(Idempotency::Idempotent);
    insert(&mut r, Request { over_quota: true, arrived_at: NOW - 1.0, ..request(Stage::Queued) });
    insert(&mut r, request(Stage::Queued));
    assert_eq!(r.decide(NOW).dispatches[0].request, RequestHandle(1));
}

#[test_case(false, 0; "writers that cannot read")]
#[test_case(true, 1; "writers that can")]
fn with_no_reader_a_writer_reads_where_it_can(writers_read: bool, attempts: usize) {
    let mut r = router(Idempotency::Idempotent);
    r.limits.decode_engines_prefill = writers_read;
    insert(&mut r, request(Stage::Queued));
    r.engines[..2].iter_mut().for_each(|e| e.lifecycle = Lifecycle::Removed);
    assert_eq!(r.decide(NOW).dispatches.len(), attempts);
}

#[test]
fn equal_state_gives_equal_decisions() {
    let run = || {
        let mut r = router(Idempotency::Idempotent);
        (0..9).for_each(|_| _ = insert(&mut r, request(Stage::Queued)));
        r.decide(NOW)
    };
    assert_eq!(run(), run());
}

/// Each line of a list was compared with every engine known.
#[test]
fn a_large_fleet_leaves_nothing_out_as_engines_are_replaced() {
    let mut r = router(Idempotency::Idempotent);
    for round in 0..4 {
        let id = |k: usize| format!("{}-{}", k + 500 * round, "long".repeat(50));
        let lines: Vec<_> = (0..2000).map(|k| entry(&id(k), EngineRole::Prefill, 0, 0)).collect();
        r.update_endpoints(NOW, &lines, true);
        assert_eq!(r.available_engines(Phase::Prefill).len(), 2000);
    }
    // Those that are gone make room for new ones.
    assert!(r.engines.len() <= 2000 + 500 + 5, "{}", r.engines.len());
}

#[test]
fn a_zone_left_gets_nothing_and_one_returned_to_its_part() {
    let mut r = router(Idempotency::Idempotent);
    r.engines[1].zone = 1;
    r.set_zone_weight(1, 0.0);
    assert_eq!(
        (r.available_engines(Phase::Prefill), r.available_engines(Phase::Decode)),
        (vec![0], vec![2, 3])
    );
    r.set_zone_weight(1, 0.25);
    let drawn = |d: u64| Request { slow_start_draw: Some(hash("", d)), ..request(Stage::Queued) };
    let requests: Vec<usize> = (0..4000).map(|d| insert(&mut r, drawn(d))).collect();
    let part =
        |e: usize| requests.iter().filter(|&&i| r.slow_start_admits(NOW, i, e)).count() as f64 / 4000.0;
    assert!((part(1) - 0.25).abs() < 0.03, "{}", part(1));
    assert_eq!((part(1), part(0)), (part(4), 1.0), "the same ones for all of a zone");
    let beyond = insert(&mut r, request(Stage::Queued));
    assert!(!r.slow_start_admits(NOW, beyond, 1), "what may not draw is not of the part");
}

#[test]
fn what_is_out_to_a_zone_that_is_left_goes_elsewhere() {
    let mut r = router(Idempotency::Idempotent);
    let s = Attempt { dispatched_at: NOW - 0.3, expected_s: 1.0, ..attempt(&mut r, 4, Phase::Decode) };
    insert(&mut r, Request { reservation: Some(0), attempts: vec![s], ..request(Stage::Decoding) });
    assert!(r.decide(NOW).cancelled.is_empty());
    r.set_zone_weight(1, 0.0);
    assert_eq!(r.decide(NOW).cancelled, [(RequestHandle(0), 0)]);
}

#[test]
fn a_knock_asks_that_engine_of_the_zone_with_the_oldest_news() {
    let mut r = router(Idempotency::Idempotent);
    r.engines[2].reported_at = NOW - 5.0;
    r.set_zone_weight(0, 0.0);
    r.probe_zone(NOW, 0);
    assert_eq!(r.decisions.probes, [EngineHandle(2)]);
}

/// Offline work is run in room that live work leaves.
#[test]
fn what_takes_spare_room_alone_waits_behind_the_rest_and_counts_against_no_share() {
    let mut r = router(Idempotency::Idempotent);
    let spare = r.admit_request(NOW, &IncomingRequest { tenant: Some(0), is_background: true, ..arrival() });
    let left = r.tenant_quotas.tenants[0].bucket.tokens;
    assert!(r.requests[spare.0 as usize].over_quota && left >= 2.0, "{left}");
    let live = r.admit_request(NOW, &IncomingRequest { tenant: Some(0), ..arrival() });
    let order: Vec<u32> = r.decide(NOW).dispatches.iter().map(|s| s.request.0).collect();
    assert_eq!(order.first(), Some(&live.0));
}
