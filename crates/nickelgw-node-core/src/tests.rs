use super::*;
use nickelgw::interface::{IdempotencyScope, ModelRoute};
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_protocol::list::{EndpointEntry, EngineState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

mod between;

const HOLD_S: f64 = 0.5;
const MEMORY_S: f64 = 3.0;
const REPEATS: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::Keyed { scope: IdempotencyScope::Zone, window_s: MEMORY_S },
    Idempotency::NonIdempotent,
];

fn deployment() -> Deployment {
    let route = |repeat| ModelRoute {
        ttft_objective_s: 0.5,
        ttft_objective_per_token_s: 0.0,
        tpot_objective_s: 0.05,
        idempotency: repeat,
    };
    Deployment {
        node: 0,
        node_count: 1,
        seed: 7,
        zone: 0,
        tick_s: 0.004,
        routes: REPEATS.map(route).to_vec(),
        tenant_quotas: vec![1000.0; 2],
        max_attempts: 6,
        decode_engines_prefill: true,
        reservation_limit_s: HOLD_S,
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
    let line = |(n, &state): (usize, &EngineState)| EndpointEntry {
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
    EndpointList { revision, engines: states.iter().enumerate().map(line).collect() }
}

fn core(most_open: usize) -> NodeCore {
    core_of(most_open, deployment())
}

fn core_of(most_open: usize, deployment: Deployment) -> NodeCore {
    let figures = CoreConfig {
        incarnation: "n0".into(),
        started_at_unix_s: 0.0,
        zones: vec!["a".into(), "b".into()],
        max_open_requests: most_open,
        stream_idle_timeout_s: 2.0,
        release_timeout_s: HOLD_S / 2.0,
        orphan_cleanup_window_s: (0.0, -1.0),
        retry_after_s: 1.0,
        grants: None,
        fair_share: None,
        tenant_max_open: vec![None],
    };
    let mut c = NodeCore::new(deployment, figures);
    c.update_endpoints(0.0, &list(1, &[EngineState::Active; 8]));
    c
}

fn ask(route: usize) -> AdmittedRequest {
    AdmittedRequest {
        name: None,
        route,
        tenant: Some(0),
        timeout_s: 2.0,
        unary_timeout_s: None,
        prompt_tokens: 200.0,
        prefix_tokens: 0.0,
        session: "s".into(),
        prefix: None,
        is_background: false,
    }
}

fn end(cause: AttemptOutcome) -> AttemptResult {
    AttemptResult { outcome: cause, ..AttemptResult::default() }
}

#[derive(Default)]
struct Seen {
    route: usize,
    due: f64,
    answers: Vec<(f64, FinalAnswer)>,
    left: bool,
    /// Writes that may have run: number, when sent, and the writer's zone.
    ran: Vec<(u32, f64, usize)>,
    live: BTreeSet<u32>,
    /// One that was called off may yet go on.
    goes_on: bool,
    begun: bool,
}

/// Plays engines and clients, and checks each action against the rules as it comes.
struct World {
    core: NodeCore,
    /// Whether a send that is called off has ended.
    cancel: bool,
    now: f64,
    seen: BTreeMap<RequestId, Seen>,
    out: Vec<AttemptRequest>,
    /// States that wait, and since when no send was out for them.
    states: BTreeMap<String, (RequestId, f64)>,
    calls: Vec<ReservationId>,
    probes: Vec<String>,
    wake: Option<f64>,
}

fn zone_of(eng: &Endpoint) -> usize {
    usize::from(eng.id[1..].parse::<usize>().unwrap() % 4 >= 2)
}

impl World {
    fn new(cancel: bool) -> Self {
        World {
            core: core_of(64, Deployment { can_cancel: cancel, ..deployment() }),
            cancel,
            now: 0.0,
            seen: BTreeMap::new(),
            out: Vec::new(),
            states: BTreeMap::new(),
            calls: Vec::new(),
            probes: Vec::new(),
            wake: None,
        }
    }

    fn act(&mut self) {
        let actions = self.core.poll_commands(self.now);
        self.wake = actions.wake_at;
        for d in actions.commands {
            match d {
                Command::StartAttempt(o) => self.sent(o),
                Command::CancelAttempt { request: ticket, attempt: send } => {
                    let found = self.out.iter().position(|o| (o.request, o.attempt) == (ticket, send));
                    if let Some(n) = found {
                        let o = self.out.swap_remove(n);
                        self.seen.get_mut(&ticket).unwrap().goes_on |= !self.cancel;
                        self.end(o, AttemptOutcome::Cancelled);
                    }
                }
                Command::Answer { ticket, answer } => {
                    let s = self.seen.get_mut(&ticket).unwrap();
                    assert!(s.answers.is_empty() && !s.left, "answered twice, or after the client left");
                    assert!(s.begun || self.now <= s.due + 1e-9, "answered after the client's time");
                    let shed = matches!(answer, FinalAnswer::Rejected { .. });
                    // A read counts until it has ended.
                    let over = s.ran.is_empty() && s.live.is_empty() && !s.goes_on;
                    let harmless = over || REPEATS[s.route] == Idempotency::Idempotent;
                    assert!(!shed || harmless, "shed though it may have run");
                    s.answers.push((self.now, answer));
                }
                Command::Release { reservation_id: call, reservation: state, .. } => {
                    self.states.remove(&*state.name);
                    self.calls.push(call);
                }
                Command::Probe(p) => self.probes.push(p.id.clone()),
                Command::PollEndpoints | Command::ReleaseOrphans(_) => {}
            }
        }
        for (name, (t, since)) in &self.states {
            let idle = self.seen[t].live.is_empty();
            assert!(!idle || self.now < since + HOLD_S, "{name} is pinned");
        }
    }

    fn sent(&mut self, o: AttemptRequest) {
        let s = self.seen.get_mut(&o.request).unwrap();
        assert!(s.answers.is_empty() && !s.left, "sent after the final answer");
        assert!(s.live.is_empty(), "sent beside one that is out");
        if let AttemptKind::Decode { reservation: state, .. } = &o.kind {
            match (REPEATS[s.route], s.ran.first().copied()) {
                (Idempotency::NonIdempotent, Some(_)) => panic!("a non-retriable inference is sent again"),
                (Idempotency::Keyed { .. }, Some((_, at, zone))) => {
                    assert!(zone == zone_of(&o.engine) && self.now < at + MEMORY_S, "outside group or span");
                }
                _ => {}
            }
            if let Some(state) = state {
                assert!(self.states.contains_key(&*state.name), "a state let go is sent on");
            }
            // Until an outcome proves otherwise it may have run.
            s.ran.push((o.attempt, self.now, zone_of(&o.engine)));
        }
        s.live.insert(o.attempt);
        self.out.push(o);
    }

    fn end(&mut self, o: AttemptRequest, cause: AttemptOutcome) {
        let s = self.seen.get_mut(&o.request).unwrap();
        s.live.remove(&o.attempt);
        let proven =
            matches!(cause.outcome(), Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotDelivered);
        if proven {
            s.ran.retain(|r| r.0 != o.attempt);
        }
        if o.kind == AttemptKind::Prefill && cause == AttemptOutcome::Prefilled {
            self.states.insert(o.name.clone(), (o.request, self.now));
        }
        for v in self.states.values_mut().filter(|v| v.0 == o.request) {
            v.1 = self.now;
        }
        self.core.attempt_ended(self.now, o.request, o.attempt, end(cause));
    }

    /// Time passes by the core's own wake-ups, as a shell would have it.
    fn pass(&mut self, dt: f64) {
        let until = self.now + dt;
        while let Some(w) = self.wake.filter(|&w| w < until) {
            self.now = w.max(self.now + 1e-4);
            self.act();
        }
        self.now = self.now.max(until);
        self.act();
    }

    fn step(&mut self, (what, pick, dt): (u8, usize, f64)) {
        self.pass(dt);
        let n = pick % self.out.len().max(1);
        match what {
            0..=2 => {
                if let Ok(t) = self.core.accept_request(self.now, &ask(pick % 3)) {
                    let due = self.now + 2.0;
                    self.seen.insert(t, Seen { route: pick % 3, due, ..Seen::default() });
                }
            }
            3 => {
                let t = self.seen.keys().nth(pick % self.seen.len().max(1)).copied();
                if let Some(t) = t.filter(|t| self.seen[t].answers.is_empty()) {
                    self.seen.get_mut(&t).unwrap().left = true;
                    self.core.client_disconnected(self.now, t);
                }
            }
            4..=9 if !self.out.is_empty() => {
                let o = self.out.swap_remove(n);
                let read = o.kind == AttemptKind::Prefill;
                let cause = match (what, read) {
                    (4..=6, true) => AttemptOutcome::Prefilled,
                    (4..=6, false) => AttemptOutcome::Completed,
                    (7, _) => [
                        AttemptOutcome::Rejected,
                        AttemptOutcome::ConnectFailed,
                        AttemptOutcome::ReservationNotFound,
                    ][pick % 3],
                    (8, _) => {
                        [AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::Malformed]
                            [pick % 3]
                    }
                    _ => AttemptOutcome::ErrorStatus(500),
                };
                if cause == AttemptOutcome::Completed
                    && self.core.response_started(self.now, o.request, o.attempt)
                {
                    self.begun(&o);
                }
                // Heard twice, it counts once.
                let twice = (o.request, o.attempt);
                self.end(o, cause);
                self.core.attempt_ended(self.now, twice.0, twice.1, end(AttemptOutcome::ConnectionLost));
            }
            10 if !self.out.is_empty() => {
                let o = self.out[n].clone();
                if self.core.response_started(self.now, o.request, o.attempt) {
                    self.begun(&o);
                }
            }
            11 => {
                let pool =
                    [EngineState::Active, EngineState::Active, EngineState::Draining, EngineState::Removed];
                let states: Vec<EngineState> = (0..8).map(|k| pool[(pick >> (2 * k)) % 4]).collect();
                let revision = self.core.revision().unwrap() + 1;
                self.core.update_endpoints(self.now, &list(revision, &states));
            }
            12 => {
                let cause =
                    [AttemptOutcome::Completed, AttemptOutcome::TimedOut, AttemptOutcome::Rejected][pick % 3];
                for id in std::mem::take(&mut self.probes) {
                    self.core.probe_finished(self.now, &id, cause, None);
                }
            }
            14 if pick % 40 == 0 => self.core.fail_all_open(self.now),
            13 => {
                for c in std::mem::take(&mut self.calls) {
                    self.core.release_finished(self.now, c, pick % 3 != 0);
                }
            }
            _ => {}
        }
        self.act();
    }

    fn begun(&mut self, o: &AttemptRequest) {
        self.seen.get_mut(&o.request).unwrap().begun = true;
        if let AttemptKind::Decode { reservation: Some(s), .. } = &o.kind {
            self.states.remove(&*s.name);
        }
    }

    /// All that is out comes to an end, and time passes.
    fn finish(&mut self) {
        for k in 0..400 {
            while let Some(o) = self.out.pop() {
                self.end(o, AttemptOutcome::ConnectionLost);
            }
            for c in std::mem::take(&mut self.calls) {
                self.core.release_finished(self.now, c, true);
            }
            self.pass(0.01);
            if k > 250 && self.out.is_empty() && self.calls.is_empty() {
                break;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn every_order_of_events_keeps_the_rules(
        steps in prop::collection::vec((0u8..15, any::<usize>(), 0.0..0.2f64), 1..160),
        cancel in any::<bool>(),
    ) {
        let mut w = World::new(cancel);
        steps.iter().for_each(|s| w.step(*s));
        w.finish();
        for (t, s) in &w.seen {
            prop_assert_eq!(s.answers.len() + usize::from(s.left), 1, "{:?}", t);
        }
        prop_assert!(w.core.is_quiet(), "something is kept for requests that are over");
        let broken = w.core.guard.counts().keys().find(|v| **v != Violation::ReservationOverdue);
        prop_assert_eq!(broken, None);
        prop_assert_eq!(w.core.open(), 0);
        prop_assert!(w.states.is_empty());
        let t = w.core.counters;
        prop_assert_eq!(t.accepted, t.completed + t.rejected + t.failed + t.disconnected);
    }

    #[test]
    fn equal_calls_give_equal_actions(
        steps in prop::collection::vec((0u8..14, any::<usize>(), 0.0..0.1f64), 1..60),
    ) {
        let run = || {
            let mut w = World::new(true);
            steps.iter().for_each(|s| w.step(*s));
            let sends: Vec<String> = w.out.iter().map(|o| format!("{} {}", o.name, o.engine.id)).collect();
            (sends, w.core.counters, w.wake.map(f64::to_bits))
        };
        prop_assert_eq!(run(), run());
    }
}

fn first_send(c: &mut NodeCore, now: f64) -> AttemptRequest {
    let found = c.poll_commands(now).commands.into_iter().find_map(|d| {
        if let Command::StartAttempt(o) = d {
            Some(o)
        } else {
            None
        }
    });
    found.expect("a send")
}

#[test]
fn the_ordinary_way_reads_moves_and_streams() {
    let mut c = core(4);
    let t = c.accept_request(1.0, &ask(0)).unwrap();
    // The hashed reader is asked for its load first, and waited for no longer than a 32nd of the target.
    c.poll_commands(1.0);
    let read = first_send(&mut c, 1.02);
    assert_eq!(read.kind, AttemptKind::Prefill);
    c.attempt_ended(1.1, t, read.attempt, end(AttemptOutcome::Prefilled));
    let write = first_send(&mut c, 1.1);
    let AttemptKind::Decode { reservation: Some(state), .. } = &write.kind else {
        panic!("the state goes to a writer")
    };
    assert_eq!((&*state.name, &state.prefill_engine), (read.name.as_str(), &read.engine));
    assert!(c.response_started(1.2, t, write.attempt));
    c.attempt_ended(1.5, t, write.attempt, end(AttemptOutcome::Completed));
    let todo = c.poll_commands(1.5).commands;
    assert_eq!(todo, vec![Command::Answer { ticket: t, answer: FinalAnswer::Completed }]);
    assert!(c.is_quiet());
}

#[test]
fn a_stream_that_breaks_gets_one_error_and_nothing_more() {
    let mut c = core(4);
    let t = c.accept_request(1.0, &ask(0)).unwrap();
    c.poll_commands(1.0);
    let read = first_send(&mut c, 1.02);
    c.attempt_ended(1.1, t, read.attempt, end(AttemptOutcome::Prefilled));
    let write = first_send(&mut c, 1.1);
    assert!(c.response_started(1.2, t, write.attempt));
    c.attempt_ended(1.3, t, write.attempt, end(AttemptOutcome::ConnectionLost));
    let broken = FinalAnswer::Failed(FailureReason::StreamBroken);
    assert_eq!(c.poll_commands(1.3).commands, vec![Command::Answer { ticket: t, answer: broken }]);
    assert!(!c.response_started(1.4, t, write.attempt) && c.is_quiet());
}

#[test]
fn an_answer_that_is_not_streamed_must_be_whole_in_time() {
    let mut c = core(4);
    let t = c.accept_request(1.0, &AdmittedRequest { unary_timeout_s: Some(3.0), ..ask(0) }).unwrap();
    c.poll_commands(1.0);
    let read = first_send(&mut c, 1.02);
    c.attempt_ended(1.1, t, read.attempt, end(AttemptOutcome::Prefilled));
    let write = first_send(&mut c, 1.1);
    assert!(c.response_started(1.2, t, write.attempt));
    let wake = c.poll_commands(1.2).wake_at.unwrap();
    assert!(wake < 4.0);
    let todo = c.poll_commands(wake).commands;
    assert!(todo.contains(&Command::Answer {
        ticket: t,
        answer: FinalAnswer::Failed(FailureReason::DeadlineExceeded)
    }));
    assert!(todo.contains(&Command::CancelAttempt { request: t, attempt: write.attempt }));
    c.attempt_ended(wake, t, write.attempt, end(AttemptOutcome::Cancelled));
    assert!(c.poll_commands(wake).commands.is_empty() && c.is_quiet());
}

// A read whose answer was lost has left a state that nobody will fetch.
#[test_case(AttemptOutcome::TimedOut, true; "no answer")]
#[test_case(AttemptOutcome::ConnectionLost, true; "connection lost")]
#[test_case(AttemptOutcome::ErrorStatus(500), true; "failed")]
#[test_case(AttemptOutcome::Rejected, false; "turned away, it never began")]
#[test_case(AttemptOutcome::ConnectFailed, false; "never sent")]
fn what_a_failed_read_left_is_let_go(cause: AttemptOutcome, let_go: bool) {
    let mut c = core(4);
    let t = c.accept_request(1.0, &ask(0)).unwrap();
    c.poll_commands(1.0);
    let read = first_send(&mut c, 1.02);
    c.attempt_ended(1.1, t, read.attempt, end(cause));
    let todo = c.poll_commands(1.1).commands;
    let named =
        |d: &Command| matches!(d, Command::Release { reservation: state, .. } if *state.name == *read.name);
    assert_eq!(todo.iter().any(named), let_go);
}

#[test]
fn no_more_is_taken_than_may_be_open() {
    let mut c = core(2);
    let first = c.accept_request(1.0, &ask(0)).unwrap();
    c.accept_request(1.0, &ask(0)).unwrap();
    assert_eq!(c.accept_request(1.0, &ask(0)), Err(RejectReason::NodeFull));
    c.client_disconnected(1.1, first);
    assert!(c.accept_request(1.1, &ask(0)).is_ok());
    assert_eq!((c.counters.denied, c.counters.disconnected), (1, 1));
}

#[test]
fn an_older_list_is_one_that_was_overtaken() {
    let mut c = core(2);
    c.update_endpoints(1.0, &list(5, &[EngineState::Removed; 8]));
    c.update_endpoints(1.1, &list(4, &[EngineState::Active; 8]));
    c.accept_request(1.2, &ask(0)).unwrap();
    let sends =
        c.poll_commands(1.3).commands.iter().filter(|d| matches!(d, Command::StartAttempt(_))).count();
    assert_eq!((c.revision(), sends), (Some(5), 0));
}

#[test]
fn when_the_grace_is_over_each_gets_the_answer_that_is_true_of_it() {
    let mut c = core(8);
    let (read, held, written) =
        (c.accept_request(1.0, &ask(0)), c.accept_request(1.0, &ask(2)), c.accept_request(1.0, &ask(2)));
    let mut sends = Vec::new();
    for k in 0..20 {
        let todo = c.poll_commands(1.0 + 0.01 * f64::from(k)).commands;
        sends.extend(todo.into_iter().filter_map(|d| {
            if let Command::StartAttempt(o) = d {
                Some(o)
            } else {
                None
            }
        }));
    }
    let of = |t: &Result<RequestId, RejectReason>| sends.iter().find(|o| Ok(o.request) == *t).unwrap();
    c.attempt_ended(1.3, held.clone().unwrap(), of(&held).attempt, end(AttemptOutcome::Prefilled));
    c.attempt_ended(1.3, written.clone().unwrap(), of(&written).attempt, end(AttemptOutcome::Prefilled));
    let writes = c.poll_commands(1.3).commands;
    for d in &writes {
        // One writer has proved that it has not run.
        if let Command::StartAttempt(o) = d {
            if Ok(o.request) == held {
                c.attempt_ended(1.31, o.request, o.attempt, end(AttemptOutcome::Rejected));
            }
        }
    }
    c.fail_all_open(1.32);
    let todo = c.poll_commands(1.32).commands;
    let answer = |t: &Result<RequestId, RejectReason>| {
        todo.iter().find_map(|d| match d {
            Command::Answer { ticket, answer } if Ok(*ticket) == *t => Some(*answer),
            _ => None,
        })
    };
    let shed = Some(FinalAnswer::Rejected { retry_after_s: Some(1.0) });
    assert_eq!((answer(&read), answer(&held)), (shed, shed));
    assert_eq!(answer(&written), Some(FinalAnswer::Failed(FailureReason::ShuttingDown)));
    assert!(todo.iter().any(|d| matches!(d, Command::Release { .. })), "what waited is let go of");
    assert_eq!((c.accept_request(1.4, &ask(0)), c.open()), (Err(RejectReason::ShuttingDown), 0));
}
