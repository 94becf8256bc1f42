use super::*;
use nickelgw::interface::{IdempotencyScope, ModelRoute};
use nickelgw_chat::core::grant::GrantKey;
use nickelgw_protocol::list::{Line, State};
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

fn list(revision: u64, states: &[State]) -> List {
    let line = |(n, &state): (usize, &State)| Line {
        id: format!("e{n}"),
        address: format!("127.0.0.1:{n}"),
        zone: if n % 4 < 2 { "a" } else { "b" }.into(),
        cell: 0,
        role: if n % 2 == 0 { list::Role::Read } else { list::Role::Write },
        memory_tokens: 1e5,
        state,
        started_at: None,
        tls_name: None,
    };
    List { revision, engines: states.iter().enumerate().map(line).collect() }
}

fn core(most_open: usize) -> Core {
    core_of(most_open, deployment())
}

fn core_of(most_open: usize, deployment: Deployment) -> Core {
    let figures = Figures {
        boot: "n0".into(),
        epoch_unix_s: 0.0,
        zones: vec!["a".into(), "b".into()],
        most_open,
        stream_idle_s: 2.0,
        let_go_within_s: HOLD_S / 2.0,
        sweep_s: (0.0, -1.0),
        come_back_s: 1.0,
        grants: None,
        fair: None,
        tenant_most_open: vec![None],
    };
    let mut c = Core::new(deployment, figures);
    c.list(0.0, &list(1, &[State::In; 8]));
    c
}

fn ask(route: usize) -> Ask {
    Ask {
        name: None,
        route,
        tenant: Some(0),
        timeout_s: 2.0,
        whole_within_s: None,
        prompt_tokens: 200.0,
        prefix_tokens: 0.0,
        session: "s".into(),
        prefix: None,
        spare: false,
    }
}

fn end(cause: Cause) -> End {
    End { cause, ..End::default() }
}

#[derive(Default)]
struct Seen {
    route: usize,
    due: f64,
    answers: Vec<(f64, Answer)>,
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
    core: Core,
    /// Whether a send that is called off has ended.
    cancel: bool,
    now: f64,
    seen: BTreeMap<Ticket, Seen>,
    out: Vec<Order>,
    /// States that wait, and since when no send was out for them.
    states: BTreeMap<String, (Ticket, f64)>,
    calls: Vec<ReservationId>,
    probes: Vec<String>,
    wake: Option<f64>,
}

fn zone_of(eng: &Place) -> usize {
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
        let actions = self.core.act(self.now);
        self.wake = actions.wake_at;
        for d in actions.todo {
            match d {
                Do::Send(o) => self.sent(o),
                Do::CallOff { ticket, send } => {
                    let found = self.out.iter().position(|o| (o.ticket, o.send) == (ticket, send));
                    if let Some(n) = found {
                        let o = self.out.swap_remove(n);
                        self.seen.get_mut(&ticket).unwrap().goes_on |= !self.cancel;
                        self.end(o, Cause::CalledOff);
                    }
                }
                Do::Answer { ticket, answer } => {
                    let s = self.seen.get_mut(&ticket).unwrap();
                    assert!(s.answers.is_empty() && !s.left, "answered twice, or after the client left");
                    assert!(s.begun || self.now <= s.due + 1e-9, "answered after the client's time");
                    let shed = matches!(answer, Answer::Shed { .. });
                    // A read counts until it has ended.
                    let over = s.ran.is_empty() && s.live.is_empty() && !s.goes_on;
                    let harmless = over || REPEATS[s.route] == Idempotency::Idempotent;
                    assert!(!shed || harmless, "shed though it may have run");
                    s.answers.push((self.now, answer));
                }
                Do::Release { call, state, .. } => {
                    self.states.remove(&state.name);
                    self.calls.push(call);
                }
                Do::Probe(p) => self.probes.push(p.id.clone()),
                Do::AskList | Do::Sweep(_) => {}
            }
        }
        for (name, (t, since)) in &self.states {
            let idle = self.seen[t].live.is_empty();
            assert!(!idle || self.now < since + HOLD_S, "{name} is pinned");
        }
    }

    fn sent(&mut self, o: Order) {
        let s = self.seen.get_mut(&o.ticket).unwrap();
        assert!(s.answers.is_empty() && !s.left, "sent after the final answer");
        assert!(s.live.is_empty(), "sent beside one that is out");
        if let Work::Write { state, .. } = &o.what {
            match (REPEATS[s.route], s.ran.first().copied()) {
                (Idempotency::NonIdempotent, Some(_)) => panic!("a non-retriable inference is sent again"),
                (Idempotency::Keyed { .. }, Some((_, at, zone))) => {
                    assert!(zone == zone_of(&o.eng) && self.now < at + MEMORY_S, "outside group or span");
                }
                _ => {}
            }
            if let Some(state) = state {
                assert!(self.states.contains_key(&state.name), "a state let go is sent on");
            }
            // Until an outcome proves otherwise it may have run.
            s.ran.push((o.send, self.now, zone_of(&o.eng)));
        }
        s.live.insert(o.send);
        self.out.push(o);
    }

    fn end(&mut self, o: Order, cause: Cause) {
        let s = self.seen.get_mut(&o.ticket).unwrap();
        s.live.remove(&o.send);
        let proven =
            matches!(cause.outcome(), Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotDelivered);
        if proven {
            s.ran.retain(|r| r.0 != o.send);
        }
        if o.what == Work::Read && cause == Cause::Read {
            self.states.insert(o.name.clone(), (o.ticket, self.now));
        }
        for v in self.states.values_mut().filter(|v| v.0 == o.ticket) {
            v.1 = self.now;
        }
        self.core.ended(self.now, o.ticket, o.send, end(cause));
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
                if let Ok(t) = self.core.take(self.now, &ask(pick % 3)) {
                    let due = self.now + 2.0;
                    self.seen.insert(t, Seen { route: pick % 3, due, ..Seen::default() });
                }
            }
            3 => {
                let t = self.seen.keys().nth(pick % self.seen.len().max(1)).copied();
                if let Some(t) = t.filter(|t| self.seen[t].answers.is_empty()) {
                    self.seen.get_mut(&t).unwrap().left = true;
                    self.core.left(self.now, t);
                }
            }
            4..=9 if !self.out.is_empty() => {
                let o = self.out.swap_remove(n);
                let read = o.what == Work::Read;
                let cause = match (what, read) {
                    (4..=6, true) => Cause::Read,
                    (4..=6, false) => Cause::Completed,
                    (7, _) => [Cause::TurnedAway, Cause::NoConnection, Cause::NoState][pick % 3],
                    (8, _) => [Cause::Lost, Cause::NoAnswer, Cause::Garbled][pick % 3],
                    _ => Cause::Failed(500),
                };
                if cause == Cause::Completed && self.core.began(self.now, o.ticket, o.send) {
                    self.begun(&o);
                }
                // Heard twice, it counts once.
                let twice = (o.ticket, o.send);
                self.end(o, cause);
                self.core.ended(self.now, twice.0, twice.1, end(Cause::Lost));
            }
            10 if !self.out.is_empty() => {
                let o = self.out[n].clone();
                if self.core.began(self.now, o.ticket, o.send) {
                    self.begun(&o);
                }
            }
            11 => {
                let pool = [State::In, State::In, State::Draining, State::Gone];
                let states: Vec<State> = (0..8).map(|k| pool[(pick >> (2 * k)) % 4]).collect();
                let revision = self.core.revision().unwrap() + 1;
                self.core.list(self.now, &list(revision, &states));
            }
            12 => {
                let cause = [Cause::Completed, Cause::NoAnswer, Cause::TurnedAway][pick % 3];
                for id in std::mem::take(&mut self.probes) {
                    self.core.probed(self.now, &id, cause, None);
                }
            }
            14 if pick % 40 == 0 => self.core.end_all(self.now),
            13 => {
                for c in std::mem::take(&mut self.calls) {
                    self.core.let_go(self.now, c, pick % 3 != 0);
                }
            }
            _ => {}
        }
        self.act();
    }

    fn begun(&mut self, o: &Order) {
        self.seen.get_mut(&o.ticket).unwrap().begun = true;
        if let Work::Write { state: Some(s), .. } = &o.what {
            self.states.remove(&s.name);
        }
    }

    /// All that is out comes to an end, and time passes.
    fn finish(&mut self) {
        for k in 0..400 {
            while let Some(o) = self.out.pop() {
                self.end(o, Cause::Lost);
            }
            for c in std::mem::take(&mut self.calls) {
                self.core.let_go(self.now, c, true);
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
        let t = w.core.tally;
        prop_assert_eq!(t.taken, t.completed + t.shed + t.errored + t.left);
    }

    #[test]
    fn equal_calls_give_equal_actions(
        steps in prop::collection::vec((0u8..14, any::<usize>(), 0.0..0.1f64), 1..60),
    ) {
        let run = || {
            let mut w = World::new(true);
            steps.iter().for_each(|s| w.step(*s));
            let sends: Vec<String> = w.out.iter().map(|o| format!("{} {}", o.name, o.eng.id)).collect();
            (sends, w.core.tally, w.wake.map(f64::to_bits))
        };
        prop_assert_eq!(run(), run());
    }
}

fn first_send(c: &mut Core, now: f64) -> Order {
    let found = c.act(now).todo.into_iter().find_map(|d| if let Do::Send(o) = d { Some(o) } else { None });
    found.expect("a send")
}

#[test]
fn the_ordinary_way_reads_moves_and_streams() {
    let mut c = core(4);
    let t = c.take(1.0, &ask(0)).unwrap();
    // The hashed reader is asked for its load first, and waited for no longer than a 32nd of the target.
    c.act(1.0);
    let read = first_send(&mut c, 1.02);
    assert_eq!(read.what, Work::Read);
    c.ended(1.1, t, read.send, end(Cause::Read));
    let write = first_send(&mut c, 1.1);
    let Work::Write { state: Some(state), .. } = &write.what else { panic!("the state goes to a writer") };
    assert_eq!((&state.name, &state.reader), (&read.name, &read.eng));
    assert!(c.began(1.2, t, write.send));
    c.ended(1.5, t, write.send, end(Cause::Completed));
    let todo = c.act(1.5).todo;
    assert_eq!(todo, vec![Do::Answer { ticket: t, answer: Answer::Completed }]);
    assert!(c.is_quiet());
}

#[test]
fn a_stream_that_breaks_gets_one_error_and_nothing_more() {
    let mut c = core(4);
    let t = c.take(1.0, &ask(0)).unwrap();
    c.act(1.0);
    let read = first_send(&mut c, 1.02);
    c.ended(1.1, t, read.send, end(Cause::Read));
    let write = first_send(&mut c, 1.1);
    assert!(c.began(1.2, t, write.send));
    c.ended(1.3, t, write.send, end(Cause::Lost));
    let broken = Answer::Errored(Why::StreamBroken);
    assert_eq!(c.act(1.3).todo, vec![Do::Answer { ticket: t, answer: broken }]);
    assert!(!c.began(1.4, t, write.send) && c.is_quiet());
}

#[test]
fn an_answer_that_is_not_streamed_must_be_whole_in_time() {
    let mut c = core(4);
    let t = c.take(1.0, &Ask { whole_within_s: Some(3.0), ..ask(0) }).unwrap();
    c.act(1.0);
    let read = first_send(&mut c, 1.02);
    c.ended(1.1, t, read.send, end(Cause::Read));
    let write = first_send(&mut c, 1.1);
    assert!(c.began(1.2, t, write.send));
    let wake = c.act(1.2).wake_at.unwrap();
    assert!(wake < 4.0);
    let todo = c.act(wake).todo;
    assert!(todo.contains(&Do::Answer { ticket: t, answer: Answer::Errored(Why::TimeUp) }));
    assert!(todo.contains(&Do::CallOff { ticket: t, send: write.send }));
    c.ended(wake, t, write.send, end(Cause::CalledOff));
    assert!(c.act(wake).todo.is_empty() && c.is_quiet());
}

// A read whose answer was lost has left a state that nobody will fetch.
#[test_case(Cause::NoAnswer, true; "no answer")]
#[test_case(Cause::Lost, true; "connection lost")]
#[test_case(Cause::Failed(500), true; "failed")]
#[test_case(Cause::TurnedAway, false; "turned away, it never began")]
#[test_case(Cause::NoConnection, false; "never sent")]
fn what_a_failed_read_left_is_let_go(cause: Cause, let_go: bool) {
    let mut c = core(4);
    let t = c.take(1.0, &ask(0)).unwrap();
    c.act(1.0);
    let read = first_send(&mut c, 1.02);
    c.ended(1.1, t, read.send, end(cause));
    let todo = c.act(1.1).todo;
    let named = |d: &Do| matches!(d, Do::Release { state, .. } if state.name == read.name);
    assert_eq!(todo.iter().any(named), let_go);
}

#[test]
fn no_more_is_taken_than_may_be_open() {
    let mut c = core(2);
    let first = c.take(1.0, &ask(0)).unwrap();
    c.take(1.0, &ask(0)).unwrap();
    assert_eq!(c.take(1.0, &ask(0)), Err(Refusal::Full));
    c.left(1.1, first);
    assert!(c.take(1.1, &ask(0)).is_ok());
    assert_eq!((c.tally.refused, c.tally.left), (1, 1));
}

#[test]
fn an_older_list_is_one_that_was_overtaken() {
    let mut c = core(2);
    c.list(1.0, &list(5, &[State::Gone; 8]));
    c.list(1.1, &list(4, &[State::In; 8]));
    c.take(1.2, &ask(0)).unwrap();
    let sends = c.act(1.3).todo.iter().filter(|d| matches!(d, Do::Send(_))).count();
    assert_eq!((c.revision(), sends), (Some(5), 0));
}

#[test]
fn when_the_grace_is_over_each_gets_the_answer_that_is_true_of_it() {
    let mut c = core(8);
    let (read, held, written) = (c.take(1.0, &ask(0)), c.take(1.0, &ask(2)), c.take(1.0, &ask(2)));
    let mut sends = Vec::new();
    for k in 0..20 {
        let todo = c.act(1.0 + 0.01 * f64::from(k)).todo;
        sends.extend(todo.into_iter().filter_map(|d| if let Do::Send(o) = d { Some(o) } else { None }));
    }
    let of = |t: &Result<Ticket, Refusal>| sends.iter().find(|o| Ok(o.ticket) == *t).unwrap();
    c.ended(1.3, held.clone().unwrap(), of(&held).send, end(Cause::Read));
    c.ended(1.3, written.clone().unwrap(), of(&written).send, end(Cause::Read));
    let writes = c.act(1.3).todo;
    for d in &writes {
        // One writer has proved that it has not run.
        if let Do::Send(o) = d {
            if Ok(o.ticket) == held {
                c.ended(1.31, o.ticket, o.send, end(Cause::TurnedAway));
            }
        }
    }
    c.end_all(1.32);
    let todo = c.act(1.32).todo;
    let answer = |t: &Result<Ticket, Refusal>| {
        todo.iter().find_map(|d| match d {
            Do::Answer { ticket, answer } if Ok(*ticket) == *t => Some(*answer),
            _ => None,
        })
    };
    let shed = Some(Answer::Shed { come_back_s: Some(1.0) });
    assert_eq!((answer(&read), answer(&held)), (shed, shed));
    assert_eq!(answer(&written), Some(Answer::Errored(Why::Stopping)));
    assert!(todo.iter().any(|d| matches!(d, Do::Release { .. })), "what waited is let go of");
    assert_eq!((c.take(1.4, &ask(0)), c.open()), (Err(Refusal::Leaving), 0));
}
