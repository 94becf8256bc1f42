//! Tests of deferred requests: accepted by a node that reaches no engine, and run when capacity returns.

use crate::test_fleet::{exclusive, served_fraction, FleetPlan, Node, TestFleet, ZONES};
use nickelgw_test_servers::engine_config::EngineConfig;
use nickelgw_test_servers::recorder::unix_now;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const TENANTS: &str = "\
    tenant { name: 'big' key: 'key-of-big' quota_per_s: 1000 }\n\
    tenant { name: 'one' key: 'key-of-one' quota_per_s: 1000 }\n\
    tenant { name: 'two' key: 'key-of-two' quota_per_s: 1000 }\n\
    tenant { name: 'live' key: 'key-of-live' quota_per_s: 1000 }\n\
    model_route { model: 'booking' first_token_target_ms: 1000 route_timeout_ms: 4000 repeat: NON_RETRIABLE }\n\
    parked { file: 'FILE' most_running: 4 }\n";
/// Number of requests that are deferred.
const REQUESTS: usize = 500;
/// All deferred requests must have a final answer within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// A deferred request, with the ticket under which its answer can be fetched.
struct DeferredRequest {
    tenant: &'static str,
    model: &'static str,
    ticket: String,
}

/// A node's response to a call with a ticket.
#[derive(Clone, Debug, PartialEq)]
struct TicketAnswer {
    status: u16,
    body: Value,
}

/// Sends 500 requests of three tenants, 90% of them of one tenant.
fn defer_requests(node: &Node) -> Vec<DeferredRequest> {
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let tenant = match number {
            0..450 => "big",
            450..475 => "one",
            _ => "two",
        };
        let model = if number % 2 == 0 { "chat" } else { "booking" };
        let body = json!({"model": model, "offline_within_s": 300,
            "messages": [{"role": "user", "content": format!("check {number}")}]});
        let key = format!("key-of-{tenant}");
        let (status, answer) = node.call("POST", "/v1/chat/completions", &key, &body.to_string());
        assert_eq!(status, 202, "{answer}");
        requests.push(DeferredRequest { tenant, model, ticket: answer["id"].as_str().unwrap().to_string() });
    }
    requests
}

fn fetch(node: &Node, request: &DeferredRequest) -> TicketAnswer {
    let path = format!("/v1/parked/{}", request.ticket);
    let (status, body) = node.call("GET", &path, &format!("key-of-{}", request.tenant), "");
    TicketAnswer { status, body }
}

/// Waits for each ticket's final answer, and checks that a second call gets the same answer.
fn final_answers(node: &Node, requests: &[DeferredRequest]) -> Vec<TicketAnswer> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut answers = Vec::new();
    for request in requests {
        let answer = loop {
            let answer = fetch(node, request);
            if answer.status != 202 {
                break answer;
            }
            assert!(
                Instant::now() < deadline,
                "ticket {} of tenant {} has no final answer after {ANSWER_TIMEOUT:?}",
                request.ticket,
                request.tenant
            );
            thread::sleep(Duration::from_millis(20));
        };
        assert_eq!(fetch(node, request), answer, "the second call for a ticket got another answer");
        answers.push(answer);
    }
    answers
}

/// Returns the times (Unix time) at which each ticket's request ran.
fn runs_by_ticket(fleet: &TestFleet) -> BTreeMap<String, Vec<f64>> {
    let mut runs: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for line in fleet.record.entries().iter().filter(|line| line["ev"] == "ran") {
        if let Some(ticket) = line["req"].as_str().and_then(|id| id.strip_prefix("parked-")) {
            runs.entry(ticket.to_string()).or_default().push(line["t"].as_f64().unwrap());
        }
    }
    runs
}

/// Plan of a fleet with one node in each zone and the tenants of these tests.
fn tenant_plan(engine: EngineConfig) -> FleetPlan<'static> {
    FleetPlan { nodes: 1, more_settings: TENANTS, engine, ..FleetPlan::default() }
}

fn silence_all(fleet: &TestFleet, for_s: f64) {
    ZONES.iter().for_each(|zone| fleet.silence_zone(zone, for_s));
}

/// Sends live traffic for four seconds. Returns the share of it that was served within the target.
fn served_live(fleet: &Arc<TestFleet>) -> f64 {
    let started_at = unix_now();
    let traffic = fleet.start_tenant_traffic(30.0, Some("key-of-live"));
    thread::sleep(Duration::from_secs(4));
    served_fraction(&traffic.stop(), started_at, unix_now())
}

/// Asserts that another tenant's ticket and one that does not exist get the same response.
fn assert_tickets_are_private(node: &Node, request: &DeferredRequest) {
    let foreign = DeferredRequest { tenant: "one", model: "chat", ticket: request.ticket.clone() };
    let unknown = DeferredRequest { tenant: "one", model: "chat", ticket: "0".repeat(32) };
    assert_eq!(
        (fetch(node, &foreign).status, fetch(node, &foreign)),
        (404, fetch(node, &unknown)),
        "the response for another tenant's ticket must be that for an unknown ticket"
    );
}

#[test]
fn deferred_requests_run_by_tenant_weights_in_capacity_that_live_traffic_leaves() {
    let _exclusive = exclusive();
    // Prefill engines have capacity for twice the live traffic.
    let engine = EngineConfig {
        mean_output_tokens: 4,
        prefill_base_s: 0.05,
        decode_step_s: 0.004,
        slots: 1,
        ..EngineConfig::default()
    };
    let fleet = Arc::new(TestFleet::new("parked", tenant_plan(engine)));
    let node = &fleet.nodes[0];
    // The same live traffic before any request is deferred.
    let served_before = served_live(&fleet);
    silence_all(&fleet, 120.0);
    let requests = defer_requests(node);
    assert!(
        requests.iter().all(|request| fetch(node, request).status == 202),
        "a request has ended though no engine could be reached"
    );
    assert_tickets_are_private(node, &requests[0]);
    silence_all(&fleet, 0.0);
    fleet.wait_until("all nodes use all zones again", || {
        ZONES.iter().all(|zone| fleet.all_weights_are(&ZONES, zone, 1.0))
    });
    let served_during = served_live(&fleet);
    let ran_during = runs_by_ticket(&fleet).len();
    let answers = final_answers(node, &requests);
    let runs = runs_by_ticket(&fleet);
    // Of the requests that run first, each of the three tenants has a third, as long as all tenants have
    // requests waiting.
    let mut by_first_run: Vec<(f64, &str)> =
        requests.iter().map(|request| (runs[&request.ticket][0], request.tenant)).collect();
    by_first_run.sort_by(|left, right| left.0.total_cmp(&right.0));
    let of_first = |tenant: &str| by_first_run[..60].iter().filter(|run| run.1 == tenant).count();
    let first_runs = [of_first("big"), of_first("one"), of_first("two")];
    let succeeded = answers.iter().filter(|answer| answer.status == 200).count();
    println!(
        "first 60 runs by tenant: {first_runs:?}; live traffic served in target: {served_during:.3} during the runs, \
         {served_before:.3} before; {ran_during} deferred requests ran meanwhile; {succeeded} of 500 succeeded"
    );
    assert!(
        first_runs.iter().all(|count| (18..=22).contains(count)),
        "first 60 runs by tenant: {first_runs:?}"
    );
    assert_eq!(succeeded, 500);
    assert!(runs.values().all(|times| times.len() == 1));
    assert!(
        served_during >= served_before - 0.02,
        "live traffic served in target: {served_during} during the runs, {served_before} before"
    );
    fleet.assert_no_violations();
}

/// Asserts that a request's final answer agrees with the number of times that it ran.
fn assert_final_answer(request: &DeferredRequest, answer: &TicketAnswer, runs: usize) {
    if request.model != "booking" {
        assert!(answer.status == 200 && runs >= 1, "{answer:?}");
        return;
    }
    assert!(runs <= 1, "{} ran {runs} times", request.ticket);
    assert!(answer.status == 200 || answer.status == 502, "{answer:?}");
    // A request that succeeded has run.
    assert!(answer.status == 502 || runs == 1);
}

#[test]
fn node_killed_five_times_runs_no_non_idempotent_request_twice_and_keeps_each_answer() {
    let _exclusive = exclusive();
    let engine = EngineConfig {
        mean_output_tokens: 6,
        prefill_base_s: 0.02,
        decode_step_s: 0.01,
        slots: 2,
        ..EngineConfig::default()
    };
    let fleet = Arc::new(TestFleet::new("killed", tenant_plan(engine)));
    let node = &fleet.nodes[0];
    silence_all(&fleet, 120.0);
    let requests = defer_requests(node);
    silence_all(&fleet, 0.0);
    let mut early_answers: BTreeMap<&str, TicketAnswer> = BTreeMap::new();
    for gap_ms in [700, 1310, 930, 1570, 1130] {
        thread::sleep(Duration::from_millis(gap_ms));
        for request in &requests {
            let answer = fetch(node, request);
            if answer.status != 202 {
                let before = early_answers.entry(&request.ticket).or_insert_with(|| answer.clone());
                assert_eq!(*before, answer, "a ticket got another answer than before");
            }
        }
        node.kill();
        node.start();
    }
    let answers = final_answers(node, &requests);
    let runs = runs_by_ticket(&fleet);
    for (request, answer) in requests.iter().zip(&answers) {
        if let Some(before) = early_answers.get(request.ticket.as_str()) {
            assert_eq!(before, answer, "a ticket got another answer than before the kill");
        }
        assert_final_answer(request, answer, runs.get(&request.ticket).map_or(0, Vec::len));
    }
    let count = |status: u16| answers.iter().filter(|answer| answer.status == status).count();
    println!(
        "{} succeeded, {} ended because they may have run; the answers of {} were seen before a kill",
        count(200),
        count(502),
        early_answers.len()
    );
    assert!(count(502) <= 40, "more requests ended as possibly run than were running at the kills");
}

/// Sends a request that may be deferred for `within_s` seconds.
fn try_defer(node: &Node, tenant: &str, within_s: &str) -> TicketAnswer {
    let body = format!(
        r#"{{"model":"chat","offline_within_s":{within_s},"messages":[{{"role":"user","content":"check"}}]}}"#
    );
    let (status, body) = node.call("POST", "/v1/chat/completions", &format!("key-of-{tenant}"), &body);
    TicketAnswer { status, body }
}

/// A request beyond the tenant's limit or the node's limit of deferred requests must be rejected with an
/// error code. After a restart with a damaged file of deferred requests, the node must accept requests again.
#[test]
fn full_queue_is_reported_and_damaged_file_does_not_keep_the_node_from_serving() {
    let _exclusive = exclusive();
    let more_settings =
        TENANTS.replace("most_running: 4", "most_records: 3 most_records_tenant: 2 longest_wait_ms: 60000");
    let plan = FleetPlan { nodes: 1, more_settings: &more_settings, ..FleetPlan::default() };
    let fleet = Arc::new(TestFleet::new("bounds", plan));
    let node = &fleet.nodes[0];
    silence_all(&fleet, 60.0);
    let error_code = |answer: &TicketAnswer| answer.body["error"]["code"].as_str().unwrap_or("").to_string();
    for invalid in ["-1", "\"soon\"", "3600"] {
        assert_eq!(try_defer(node, "big", invalid).status, 400, "{invalid}");
    }
    assert_eq!(try_defer(node, "nobody", "30").status, 401);
    let first = try_defer(node, "big", "2");
    assert_eq!((first.status, try_defer(node, "big", "30").status), (202, 202));
    let third = try_defer(node, "big", "30");
    assert_eq!((third.status, error_code(&third).as_str()), (429, "parked_tenant_full"));
    assert_eq!(try_defer(node, "one", "30").status, 202, "another tenant's request is accepted");
    let fourth = try_defer(node, "one", "30");
    assert_eq!((fourth.status, error_code(&fourth).as_str()), (503, "parked_full"));
    // The first request's time passes without an engine, which ends it.
    let expired =
        DeferredRequest { tenant: "big", model: "chat", ticket: first.body["id"].as_str().unwrap().into() };
    fleet.wait_until("the expired request has ended", || fetch(node, &expired).status == 504);
    node.kill();
    let file = node.deferred_file();
    let intact = std::fs::read(&file).unwrap();
    std::fs::write(&file, &intact[..intact.len() / 3]).unwrap();
    node.start();
    assert_eq!(fetch(node, &expired).status, 404, "a ticket in a damaged file must be unknown");
    let after = try_defer(node, "one", "30");
    assert_eq!(after.status, 202, "{}\n{}", after.body, node.log());
}
