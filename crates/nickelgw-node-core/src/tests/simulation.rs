//! Property tests of the core with simulated engines and clients: under random sequences of events, each
//! command is checked against the rules.

use super::*;
use crate::guard::Violation;
use crate::AttemptRequest;
use nickelgw::interface::Outcome;
use nickelgw_protocol::list::EngineState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// A decode attempt that may have run.
#[derive(Clone, Copy)]
struct PossibleRun {
    attempt: u32,
    dispatched_at: f64,
    zone: usize,
}

/// A request as its client and its engines see it.
#[derive(Default)]
struct SimulatedRequest {
    route: usize,
    deadline: f64,
    answers: Vec<FinalAnswer>,
    client_disconnected: bool,
    possible_runs: Vec<PossibleRun>,
    in_flight: BTreeSet<u32>,
    /// Whether a cancelled attempt may still run.
    may_still_run: bool,
    response_started: bool,
}

struct Simulation {
    core: NodeCore,
    /// Whether a cancelled attempt ends at its engine.
    can_cancel: bool,
    now: f64,
    requests: BTreeMap<RequestId, SimulatedRequest>,
    attempts: Vec<AttemptRequest>,
    /// Open reservations by name, with their request and the time at which its latest attempt ended.
    reservations: BTreeMap<String, (RequestId, f64)>,
    release_calls: Vec<ReleaseCallId>,
    probes: Vec<String>,
    wake_at: Option<f64>,
}

fn zone_of(engine: &Endpoint) -> usize {
    usize::from(engine.id[1..].parse::<usize>().unwrap() % 4 >= 2)
}

impl Simulation {
    fn new(can_cancel: bool) -> Self {
        Simulation {
            core: core_with(64, Deployment { can_cancel, ..deployment() }),
            can_cancel,
            now: 0.0,
            requests: BTreeMap::new(),
            attempts: Vec::new(),
            reservations: BTreeMap::new(),
            release_calls: Vec::new(),
            probes: Vec::new(),
            wake_at: None,
        }
    }

    fn request(&mut self, id: RequestId) -> &mut SimulatedRequest {
        self.requests.get_mut(&id).unwrap()
    }

    fn poll(&mut self) {
        let batch = self.core.poll_commands(self.now);
        self.wake_at = batch.wake_at;
        for command in batch.commands {
            self.apply(command);
        }
        for (name, (request, idle_since)) in &self.reservations {
            let is_idle = self.requests[request].in_flight.is_empty();
            assert!(!is_idle || self.now < idle_since + RESERVATION_LIMIT_S, "{name} not released in time");
        }
    }

    fn apply(&mut self, command: Command) {
        match command {
            Command::StartAttempt(attempt) => self.start_attempt(attempt),
            Command::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Command::Answer { request, answer } => self.record_answer(request, answer),
            Command::Release(call) => {
                self.reservations.remove(&*call.reservation.name);
                self.release_calls.push(call.id);
            }
            Command::Probe(engine) => self.probes.push(engine.id.clone()),
            Command::PollEndpoints | Command::ReleaseOrphans(_) => {}
        }
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        let is_cancelled = |other: &AttemptRequest| (other.request, other.attempt) == (request, attempt);
        if let Some(index) = self.attempts.iter().position(is_cancelled) {
            let cancelled = self.attempts.swap_remove(index);
            let may_still_run = !self.can_cancel;
            self.request(request).may_still_run |= may_still_run;
            self.end_attempt(cancelled, AttemptOutcome::Cancelled);
        }
    }

    fn record_answer(&mut self, request: RequestId, answer: FinalAnswer) {
        let now = self.now;
        let answered = self.request(request);
        let is_first = answered.answers.is_empty() && !answered.client_disconnected;
        assert!(is_first, "answered twice, or after the client disconnected");
        assert!(answered.response_started || now <= answered.deadline + 1e-9, "answered after the deadline");
        let is_rejected = matches!(answer, FinalAnswer::Rejected { .. });
        // A prefill counts until it has ended.
        let nothing_ran =
            answered.possible_runs.is_empty() && answered.in_flight.is_empty() && !answered.may_still_run;
        let is_retry_safe = nothing_ran || IDEMPOTENCY[answered.route] == Idempotency::Idempotent;
        assert!(!is_rejected || is_retry_safe, "rejected although an attempt may have run");
        answered.answers.push(answer);
    }

    fn start_attempt(&mut self, attempt: AttemptRequest) {
        let now = self.now;
        let request = self.requests.get_mut(&attempt.request).unwrap();
        let is_open = request.answers.is_empty() && !request.client_disconnected;
        assert!(is_open, "attempt after the final answer");
        assert!(request.in_flight.is_empty(), "attempt while another is in flight");
        if let AttemptKind::Decode { reservation, .. } = &attempt.kind {
            let zone = zone_of(&attempt.engine);
            match (IDEMPOTENCY[request.route], request.possible_runs.first()) {
                (Idempotency::NonIdempotent, Some(_)) => panic!("a non-idempotent request is retried"),
                (Idempotency::Keyed { .. }, Some(first)) => {
                    let in_window = now < first.dispatched_at + IDEMPOTENCY_WINDOW_S;
                    assert!(first.zone == zone && in_window, "retry outside the idempotency scope or window");
                }
                _ => {}
            }
            if let Some(reservation) = reservation {
                let is_reserved = self.reservations.contains_key(&*reservation.name);
                assert!(is_reserved, "a decode attempt claims a released reservation");
            }
            // The attempt may have run until its outcome proves otherwise.
            request.possible_runs.push(PossibleRun { attempt: attempt.attempt, dispatched_at: now, zone });
        }
        request.in_flight.insert(attempt.attempt);
        self.attempts.push(attempt);
    }

    fn end_attempt(&mut self, attempt: AttemptRequest, outcome: AttemptOutcome) {
        let request = self.requests.get_mut(&attempt.request).unwrap();
        request.in_flight.remove(&attempt.attempt);
        let never_ran =
            matches!(outcome.outcome(), Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotDelivered);
        if never_ran {
            request.possible_runs.retain(|run| run.attempt != attempt.attempt);
        }
        if attempt.kind == AttemptKind::Prefill && outcome == AttemptOutcome::Prefilled {
            self.reservations.insert(attempt.name.clone(), (attempt.request, self.now));
        }
        let of_request = self.reservations.values_mut().filter(|held| held.0 == attempt.request);
        of_request.for_each(|held| held.1 = self.now);
        self.core.attempt_ended(self.now, attempt.request, attempt.attempt, result(outcome));
    }

    /// Advances the time and polls at the core's own wake-ups, as a shell does.
    fn advance(&mut self, elapsed_s: f64) {
        let until = self.now + elapsed_s;
        while let Some(wake_at) = self.wake_at.filter(|&wake_at| wake_at < until) {
            self.now = wake_at.max(self.now + 1e-4);
            self.poll();
        }
        self.now = self.now.max(until);
        self.poll();
    }

    fn step(&mut self, (event, pick, elapsed_s): (u8, usize, f64)) {
        self.advance(elapsed_s);
        let index = pick % self.attempts.len().max(1);
        match event {
            0..=2 => self.send_request(pick % 3),
            3 => self.disconnect_client(pick),
            4..=9 if !self.attempts.is_empty() => self.end_attempt_twice(event, index, pick),
            10 if !self.attempts.is_empty() => {
                let attempt = self.attempts[index].clone();
                if self.core.response_started(self.now, attempt.request, attempt.attempt) {
                    self.response_started(&attempt);
                }
            }
            11 => self.update_endpoints(pick),
            12 => self.finish_probes(pick),
            14 if pick % 40 == 0 => self.core.fail_all_open(self.now),
            13 => self.finish_release_calls(pick % 3 != 0),
            _ => {}
        }
        self.poll();
    }

    fn send_request(&mut self, route: usize) {
        if let Ok(id) = self.core.accept_request(self.now, &admitted(route)) {
            let deadline = self.now + 2.0;
            self.requests.insert(id, SimulatedRequest { route, deadline, ..SimulatedRequest::default() });
        }
    }

    fn disconnect_client(&mut self, pick: usize) {
        let id = self.requests.keys().nth(pick % self.requests.len().max(1)).copied();
        if let Some(id) = id.filter(|id| self.requests[id].answers.is_empty()) {
            self.request(id).client_disconnected = true;
            self.core.client_disconnected(self.now, id);
        }
    }

    /// Ends an attempt twice: the core must ignore the second end.
    fn end_attempt_twice(&mut self, event: u8, index: usize, pick: usize) {
        let attempt = self.attempts.swap_remove(index);
        let outcome = random_outcome(event, pick, attempt.kind == AttemptKind::Prefill);
        if outcome == AttemptOutcome::Completed
            && self.core.response_started(self.now, attempt.request, attempt.attempt)
        {
            self.response_started(&attempt);
        }
        let (request, number) = (attempt.request, attempt.attempt);
        self.end_attempt(attempt, outcome);
        self.core.attempt_ended(self.now, request, number, result(AttemptOutcome::ConnectionLost));
    }

    fn response_started(&mut self, attempt: &AttemptRequest) {
        self.request(attempt.request).response_started = true;
        if let AttemptKind::Decode { reservation: Some(reservation), .. } = &attempt.kind {
            self.reservations.remove(&*reservation.name);
        }
    }

    fn update_endpoints(&mut self, pick: usize) {
        let pool = [EngineState::Active, EngineState::Active, EngineState::Draining, EngineState::Removed];
        let states: Vec<EngineState> = (0..8).map(|n| pool[(pick >> (2 * n)) % 4]).collect();
        let revision = self.core.revision().unwrap() + 1;
        self.core.update_endpoints(self.now, &list(revision, &states));
    }

    fn finish_probes(&mut self, pick: usize) {
        let outcomes = [AttemptOutcome::Completed, AttemptOutcome::TimedOut, AttemptOutcome::Rejected];
        for id in std::mem::take(&mut self.probes) {
            self.core.probe_finished(self.now, &id, outcomes[pick % 3], None);
        }
    }

    fn finish_release_calls(&mut self, confirmed: bool) {
        let outcome = if confirmed { ReleaseOutcome::Confirmed } else { ReleaseOutcome::Unanswered };
        for call in std::mem::take(&mut self.release_calls) {
            self.core.release_finished(self.now, call, outcome);
        }
    }

    /// Ends all attempts in flight, confirms all release calls, and lets time pass.
    fn finish(&mut self) {
        for round in 0..400 {
            while let Some(attempt) = self.attempts.pop() {
                self.end_attempt(attempt, AttemptOutcome::ConnectionLost);
            }
            self.finish_release_calls(true);
            self.advance(0.01);
            if round > 250 && self.attempts.is_empty() && self.release_calls.is_empty() {
                break;
            }
        }
    }
}

fn random_outcome(event: u8, pick: usize, is_prefill: bool) -> AttemptOutcome {
    let never_ran =
        [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::ReservationNotFound];
    let may_have_run = [AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::Malformed];
    match (event, is_prefill) {
        (4..=6, true) => AttemptOutcome::Prefilled,
        (4..=6, false) => AttemptOutcome::Completed,
        (7, _) => never_ran[pick % 3],
        (8, _) => may_have_run[pick % 3],
        _ => AttemptOutcome::ErrorStatus(500),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn random_sequences_of_events_break_no_rule(
        steps in prop::collection::vec((0u8..15, any::<usize>(), 0.0..0.2f64), 1..160),
        can_cancel in any::<bool>(),
    ) {
        let mut simulation = Simulation::new(can_cancel);
        steps.iter().for_each(|step| simulation.step(*step));
        simulation.finish();
        for (id, request) in &simulation.requests {
            let endings = request.answers.len() + usize::from(request.client_disconnected);
            prop_assert_eq!(endings, 1, "{:?}", id);
        }
        let core = &simulation.core;
        prop_assert!(core.is_quiet(), "state of finished requests is left in the core");
        let mut violations = core.guard.counts().keys();
        let broken = violations.find(|violation| **violation != Violation::ReservationOverdue);
        prop_assert_eq!(broken, None);
        prop_assert_eq!(core.open(), 0);
        prop_assert!(simulation.reservations.is_empty());
        let counters = core.counters;
        let ended = counters.completed + counters.rejected + counters.failed + counters.disconnected;
        prop_assert_eq!(counters.accepted, ended);
    }

    #[test]
    fn equal_events_give_equal_commands(
        steps in prop::collection::vec((0u8..14, any::<usize>(), 0.0..0.1f64), 1..60),
    ) {
        let run = || {
            let mut simulation = Simulation::new(true);
            steps.iter().for_each(|step| simulation.step(*step));
            let attempts = simulation.attempts.iter();
            let attempts: Vec<String> =
                attempts.map(|attempt| format!("{} {}", attempt.name, attempt.engine.id)).collect();
            (attempts, simulation.core.counters, simulation.wake_at.map(f64::to_bits))
        };
        prop_assert_eq!(run(), run());
    }
}
