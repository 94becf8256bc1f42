use super::*;
use test_case::test_case;

fn endpoint(id: usize) -> Rc<Endpoint> {
    Rc::new(Endpoint { id: format!("e{id}"), address: format!("10.0.0.1:{id}"), tls_name: None })
}

fn reservation(engine: usize) -> Reservation {
    Reservation { name: "r".into(), prefill_engine: endpoint(engine), named_after_request: true }
}

fn id(owner: u64) -> ReservationId {
    ReservationId { owner, prefill: 0 }
}

/// Returns a scheduler with this number of releases, all of reservations at engine 0.
fn scheduler(releases: u64) -> ReleaseScheduler {
    let mut scheduler = ReleaseScheduler::new(1);
    (0..releases).for_each(|owner| scheduler.enqueue(0.0, id(owner), reservation(0)));
    scheduler
}

/// Polls the scheduler, which can choose from this number of engines.
fn poll(scheduler: &mut ReleaseScheduler, now: f64, engines: usize) -> Vec<ReleaseCall> {
    scheduler.poll(now, |_| true, |_| (0..engines).map(endpoint).collect())
}

#[test]
fn engine_that_does_not_answer_gets_one_call_at_a_time() {
    let mut scheduler = scheduler(1000);
    let mut calls_made = 0;
    for step in 0..1000u32 {
        let now = f64::from(step) * 0.005;
        let calls = poll(&mut scheduler, now, 1);
        calls_made += calls.len();
        assert!(calls.len() <= 1);
        for call in calls {
            scheduler.call_ended(now + 0.25, call.id, ReleaseOutcome::Unanswered);
        }
    }
    assert!((5..=20).contains(&calls_made), "{calls_made} calls in five seconds");
}

#[test]
fn limit_on_calls_in_flight_grows_with_answers() {
    let mut scheduler = scheduler(100);
    let mut in_flight = Vec::new();
    for (step, expected) in [1, 2, 4, 4].into_iter().enumerate() {
        let now = 0.002 * step as f64;
        for call in std::mem::take(&mut in_flight) {
            scheduler.call_ended(now, call, ReleaseOutcome::Confirmed);
        }
        in_flight = poll(&mut scheduler, now, 1).into_iter().map(|call| call.id).collect();
        assert_eq!(in_flight.len(), expected);
    }
}

#[test]
fn overdue_call_is_hedged_elsewhere_on_a_new_connection() {
    let mut scheduler = scheduler(1);
    let first = poll(&mut scheduler, 0.0, 2).remove(0);
    assert_eq!((first.connection, &*first.endpoint.id), (ReleaseConnection::Any, "e0"));
    assert!(poll(&mut scheduler, 0.04, 2).is_empty());
    assert_eq!(scheduler.wake_at(0.04), Some(HEDGE_DELAY_S));
    let second = poll(&mut scheduler, 0.051, 2).remove(0);
    assert_eq!((second.connection, &*second.endpoint.id), (ReleaseConnection::New, "e1"));
    assert_eq!(scheduler.call_ended(0.06, second.id, ReleaseOutcome::Confirmed), Some((id(0), true)));
    assert_eq!(scheduler.call_ended(0.25, first.id, ReleaseOutcome::Unanswered), None);
    assert!(poll(&mut scheduler, 0.3, 2).is_empty());
}

/// Guards against a release that is not confirmed because all its hedged calls use new connections, while the
/// same engine confirms other releases on open ones.
#[test_case(0.1, ReleaseConnection::Any; "engine answered just now")]
#[test_case(1.0, ReleaseConnection::New; "engine answered long ago")]
fn hedged_call_uses_an_open_connection_of_an_engine_that_just_answered(
    enqueued_at: f64,
    expected: ReleaseConnection,
) {
    let mut scheduler = ReleaseScheduler::new(1);
    scheduler.enqueue(0.0, id(0), reservation(1));
    let answered = scheduler.poll(0.0, |_| true, |_| vec![endpoint(1)]).remove(0);
    scheduler.call_ended(0.001, answered.id, ReleaseOutcome::Confirmed);
    scheduler.enqueue(enqueued_at, id(1), reservation(0));
    poll(&mut scheduler, enqueued_at, 2);
    let hedged = poll(&mut scheduler, enqueued_at + 0.051, 2).remove(0);
    assert_eq!((hedged.connection, &*hedged.endpoint.id), (expected, "e1"));
}

/// Guards against a release that waits for a silent engine, while an engine that failed its call at first answers
/// others by now.
#[test]
fn engine_that_has_answered_since_a_failed_call_is_called_again() {
    let mut scheduler = scheduler(1);
    let silent = poll(&mut scheduler, 0.0, 2).remove(0);
    let refused = poll(&mut scheduler, 0.051, 2).remove(0);
    scheduler.call_ended(0.052, refused.id, ReleaseOutcome::Unanswered);
    assert!(poll(&mut scheduler, 0.15, 2).is_empty(), "engine 1 has not answered since");
    scheduler.enqueue(0.15, id(1), reservation(1));
    let other = scheduler.poll(0.15, |_| true, |_| vec![endpoint(1)]).remove(0);
    scheduler.call_ended(0.151, other.id, ReleaseOutcome::Confirmed);
    let again = poll(&mut scheduler, 0.152, 2).remove(0);
    assert_eq!((again.connection, &*again.endpoint.id), (ReleaseConnection::Any, "e1"));
    assert_eq!(scheduler.call_ended(0.153, again.id, ReleaseOutcome::Confirmed), Some((id(0), true)));
    scheduler.call_ended(0.25, silent.id, ReleaseOutcome::Unanswered);
}

/// Guards against releases that begin with a call to an engine whose last call failed, while others answer.
#[test]
fn engine_whose_last_call_failed_is_called_after_the_others() {
    let mut scheduler = scheduler(1);
    let failed = poll(&mut scheduler, 0.0, 1).remove(0);
    scheduler.call_ended(0.01, failed.id, ReleaseOutcome::Unanswered);
    scheduler.enqueue(1.0, id(1), reservation(0));
    let calls = scheduler.poll(1.0, |wanted| wanted == id(1), |_| (0..2).map(endpoint).collect());
    assert_eq!(calls[0].endpoint.id, "e1");
}

/// A release that was not confirmed at first goes to an engine that has just answered.
#[test]
fn repeated_call_goes_to_an_engine_that_has_just_answered() {
    let mut scheduler = scheduler(1);
    let failed = poll(&mut scheduler, 0.0, 1).remove(0);
    scheduler.enqueue(0.0, id(1), reservation(2));
    let answered = scheduler.poll(0.0, |_| true, |_| vec![endpoint(2)]).remove(0);
    scheduler.call_ended(0.01, answered.id, ReleaseOutcome::Confirmed);
    scheduler.call_ended(0.01, failed.id, ReleaseOutcome::Unanswered);
    assert_eq!(poll(&mut scheduler, ENDPOINTS_VALID_S, 3)[0].endpoint.id, "e2");
}

/// No open connection responds, and there is no other engine.
#[test]
fn engine_is_called_on_a_new_connection_after_an_idle_one_failed() {
    let mut scheduler = scheduler(1);
    let first = poll(&mut scheduler, 0.0, 1).remove(0);
    assert_eq!(scheduler.call_ended(0.25, first.id, ReleaseOutcome::Unanswered), None);
    let second = poll(&mut scheduler, 0.25, 1).remove(0);
    assert_eq!(second.connection, ReleaseConnection::New);
    assert_eq!(
        scheduler.call_ended(0.5, second.id, ReleaseOutcome::Unanswered),
        Some((id(0), false)),
        "the release returns to the ledger, which retries it"
    );
}

/// Guards against calls that all use new connections, which are established too late on a busy machine, while
/// open connections would answer.
#[test]
fn idle_connections_are_tried_again_after_a_new_one_failed() {
    let mut scheduler = scheduler(3);
    let mut now = 0.0;
    let mut connections = Vec::new();
    for _ in 0..3 {
        now += 1.0;
        let call = poll(&mut scheduler, now, 1).remove(0);
        connections.push(call.connection);
        scheduler.call_ended(now + 0.25, call.id, ReleaseOutcome::Unanswered);
    }
    assert_eq!(connections, [ReleaseConnection::Any, ReleaseConnection::New, ReleaseConnection::Any]);
}

#[test]
fn slow_answers_halve_the_limit_on_calls_in_flight() {
    let mut health = EngineHealth::default();
    (0..3).for_each(|_| health.call_answered(1.0, 0.999));
    let limit_at = |health: &mut EngineHealth| {
        let mut started = 0;
        while health.is_available(2.0) {
            health.call_started(2.0);
            started += 1;
        }
        (0..started).for_each(|_| health.call_answered(2.03, 2.0));
        started
    };
    assert_eq!(limit_at(&mut health), 4);
    health.call_started(1.0);
    health.call_answered(1.2, 1.0);
    assert_eq!(limit_at(&mut health), 2);
}

/// If an attempt ends while the call is in flight, the engine's answer may describe the state before that
/// end.
#[test]
fn answer_to_an_earlier_round_is_ignored() {
    let mut scheduler = scheduler(1);
    let earlier = poll(&mut scheduler, 0.0, 1).remove(0);
    scheduler.enqueue(0.01, id(0), reservation(0));
    assert_eq!(scheduler.call_ended(0.02, earlier.id, ReleaseOutcome::Confirmed), None);
    let call = poll(&mut scheduler, 0.02, 1).remove(0);
    assert_eq!(scheduler.call_ended(0.03, call.id, ReleaseOutcome::Confirmed), Some((id(0), true)));
}

#[test]
fn refused_release_goes_back_to_the_ledger() {
    let mut scheduler = scheduler(1);
    let call = poll(&mut scheduler, 0.0, 3).remove(0);
    assert_eq!(scheduler.call_ended(0.01, call.id, ReleaseOutcome::Refused), Some((id(0), false)));
}

#[test]
fn release_that_finds_no_engine_goes_back_to_the_ledger() {
    let mut scheduler = scheduler(2);
    assert!(poll(&mut scheduler, 0.0, 0).is_empty());
    assert!(scheduler.take_timed_out(MAX_WAIT_S - 0.01).is_empty());
    assert_eq!(scheduler.take_timed_out(MAX_WAIT_S), [id(0), id(1)]);
    assert_eq!(scheduler.wake_at(MAX_WAIT_S), None);
}

#[test]
fn release_that_is_no_longer_wanted_makes_no_call() {
    let mut scheduler = scheduler(1);
    assert!(scheduler.poll(0.0, |_| false, |_| vec![endpoint(0)]).is_empty());
    assert_eq!(scheduler.wake_at(0.0), None);
}

/// Engine time of a call on a new connection and on an open one, in seconds.
const NEW_CONNECTION_S: f64 = 0.02;
const OPEN_CONNECTION_S: f64 = 0.0005;
const CALL_TIMEOUT_S: f64 = 0.25;
const STEP_S: f64 = 0.005;

/// A call at a simulated engine.
struct SimulatedCall {
    node: usize,
    call: ReleaseCall,
    ends_at: f64,
    outcome: ReleaseOutcome,
}

/// Nodes that release reservations at engines. Each engine processes one call after the other, and finishes
/// calls whose callers no longer wait.
struct SimulatedFleet {
    nodes: Vec<ReleaseScheduler>,
    /// Time until which each engine is busy.
    busy_until: Vec<f64>,
    /// Number of idle connections by node and engine.
    idle: HashMap<(usize, String), usize>,
    calls: Vec<SimulatedCall>,
    calls_made: usize,
    unconfirmed: usize,
    is_reachable: bool,
}

impl SimulatedFleet {
    /// Creates a fleet with one engine for every two nodes and this number of releases at each node.
    fn new(nodes: usize, releases: u64) -> SimulatedFleet {
        let engines = nodes / 2;
        let mut schedulers: Vec<ReleaseScheduler> =
            (0..nodes).map(|node| ReleaseScheduler::new(node as u64)).collect();
        for (node, scheduler) in schedulers.iter_mut().enumerate() {
            for owner in 0..releases {
                scheduler.enqueue(0.0, id(owner), reservation((node + owner as usize) % engines));
            }
        }
        SimulatedFleet {
            nodes: schedulers,
            busy_until: vec![0.0; engines],
            idle: HashMap::new(),
            calls: Vec::new(),
            calls_made: 0,
            unconfirmed: nodes * releases as usize,
            is_reachable: false,
        }
    }

    fn step(&mut self, now: f64) {
        let calls = std::mem::take(&mut self.calls);
        let (ended, in_flight) = calls.into_iter().partition(|call: &SimulatedCall| call.ends_at <= now);
        self.calls = in_flight;
        ended.into_iter().for_each(|call| self.end_call(now, call));
        let engines = self.busy_until.len();
        for node in 0..self.nodes.len() {
            // Each node calls four engines, which differ between nodes.
            let choose = |prefill: &Rc<Endpoint>| -> Vec<Rc<Endpoint>> {
                let others = (0..3).map(|other| endpoint((node + 5 * other + 1) % engines));
                std::iter::once(prefill.clone()).chain(others).collect()
            };
            let scheduler = &mut self.nodes[node];
            let timed_out = scheduler.take_timed_out(now);
            timed_out
                .into_iter()
                .for_each(|release| scheduler.enqueue(now, release, reservation(node % engines)));
            let calls = scheduler.poll(now, |_| true, choose);
            calls.into_iter().for_each(|call| self.start_call(now, node, call));
        }
    }

    fn start_call(&mut self, now: f64, node: usize, call: ReleaseCall) {
        self.calls_made += 1;
        let timed_out = (now + CALL_TIMEOUT_S, ReleaseOutcome::Unanswered);
        let (ends_at, outcome) = if self.is_reachable {
            let idle = self.idle.entry((node, call.endpoint.id.clone())).or_default();
            let is_reused = call.connection == ReleaseConnection::Any && *idle > 0;
            *idle -= usize::from(is_reused);
            let engine: usize = call.endpoint.id[1..].parse().unwrap();
            let work_s = if is_reused { OPEN_CONNECTION_S } else { NEW_CONNECTION_S };
            let done_at = self.busy_until[engine].max(now) + work_s;
            self.busy_until[engine] = done_at;
            if done_at < timed_out.0 {
                (done_at, ReleaseOutcome::Confirmed)
            } else {
                timed_out
            }
        } else {
            timed_out
        };
        self.calls.push(SimulatedCall { node, call, ends_at, outcome });
    }

    fn end_call(&mut self, now: f64, ended: SimulatedCall) {
        let SimulatedCall { node, call, outcome, .. } = ended;
        if outcome == ReleaseOutcome::Confirmed {
            *self.idle.entry((node, call.endpoint.id.clone())).or_default() += 1;
        }
        match self.nodes[node].call_ended(now, call.id, outcome) {
            Some((_, true)) => self.unconfirmed -= 1,
            Some((release, false)) => self.nodes[node].enqueue(now, release, call.reservation),
            None => {}
        }
    }
}

/// Guards against repeated release calls that keep engines from answering in time for as long as they are
/// made (release-storm.md).
#[test_case(24; "24 nodes")]
#[test_case(48; "48 nodes")]
#[test_case(96; "96 nodes")]
fn releases_of_a_fleet_are_confirmed_within_a_second_after_an_outage(nodes: usize) {
    const OUTAGE_STEPS: u32 = 400;
    const RECOVERY_STEPS: u32 = 200;
    let mut fleet = SimulatedFleet::new(nodes, 40);
    (0..OUTAGE_STEPS).for_each(|step| fleet.step(f64::from(step) * STEP_S));
    let during_outage = fleet.calls_made;
    fleet.is_reachable = true;
    (OUTAGE_STEPS..OUTAGE_STEPS + RECOVERY_STEPS).for_each(|step| fleet.step(f64::from(step) * STEP_S));
    assert_eq!(fleet.unconfirmed, 0, "releases are not confirmed a second after the outage");
    let per_node_s = during_outage as f64 / nodes as f64 / (f64::from(OUTAGE_STEPS) * STEP_S);
    assert!(per_node_s < 100.0, "{per_node_s} calls a second at each node while nothing answers");
    let after = fleet.calls_made - during_outage;
    assert!(after < 2 * 40 * nodes, "{after} calls for {} releases", 40 * nodes);
}
