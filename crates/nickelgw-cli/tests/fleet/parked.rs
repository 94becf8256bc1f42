//! Offline inferences at a site that is cut off, run when capacity returns.

use crate::site::*;
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

struct One {
    tenant: &'static str,
    model: &'static str,
    ticket: String,
}

/// 500 of three tenants, one of which has 90%, at a node with no way to any engine.
fn park(node: &Node) -> Vec<One> {
    let mut all = Vec::new();
    for n in 0..500 {
        let tenant = match n {
            0..450 => "big",
            450..475 => "one",
            _ => "two",
        };
        let model = if n % 2 == 0 { "chat" } else { "booking" };
        let body = json!({"model": model, "offline_within_s": 300,
            "messages": [{"role": "user", "content": format!("check {n}")}]});
        let (status, told) =
            node.call("POST", "/v1/chat/completions", &format!("key-of-{tenant}"), &body.to_string());
        assert_eq!(status, 202, "{told}");
        all.push(One { tenant, model, ticket: told["id"].as_str().unwrap().to_string() });
    }
    all
}

fn look(node: &Node, one: &One) -> (u16, Value) {
    node.call("GET", &format!("/v1/parked/{}", one.ticket), &format!("key-of-{}", one.tenant), "")
}

/// Each ticket's one answer; a second look finds the same.
fn answers(node: &Node, all: &[One]) -> Vec<(u16, Value)> {
    let until = Instant::now() + Duration::from_secs(90);
    let mut out = Vec::new();
    for one in all {
        let got = loop {
            let got = look(node, one);
            if got.0 != 202 {
                break got;
            }
            assert!(Instant::now() < until, "{} of {} has no answer", one.ticket, one.tenant);
            thread::sleep(Duration::from_millis(20));
        };
        assert_eq!(look(node, one), got, "another answer");
        out.push(got);
    }
    out
}

/// When each ran, by ticket.
fn runs(site: &Site) -> BTreeMap<String, Vec<f64>> {
    let mut out: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for l in site.record.entries().iter().filter(|l| l["ev"] == "ran") {
        if let Some(t) = l["req"].as_str().and_then(|r| r.strip_prefix("parked-")) {
            out.entry(t.to_string()).or_default().push(l["t"].as_f64().unwrap());
        }
    }
    out
}

fn plan(engine: EngineConfig) -> Plan<'static> {
    Plan { nodes: 1, more: TENANTS, engine, ..Plan::default() }
}

fn silence(site: &Site, for_s: f64) {
    ZONES.iter().for_each(|z| site.fault(z, &json!({"fault": "silence", "for_s": for_s})));
}

#[test]
fn what_is_parked_runs_by_tenants_parts_in_room_that_live_work_leaves() {
    let _one = alone();
    // Readers take twice what the live work is.
    let engine = EngineConfig {
        mean_output_tokens: 4,
        prefill_base_s: 0.05,
        decode_step_s: 0.004,
        slots: 1,
        ..EngineConfig::default()
    };
    let site = Arc::new(Site::new("parked", plan(engine)));
    let node = &site.nodes[0];
    // The same load, before anything is parked.
    let at = unix_now();
    let traffic = site.traffic_of(30.0, Some("key-of-live"));
    thread::sleep(Duration::from_secs(4));
    let before = served(&traffic.end(), at, unix_now());
    silence(&site, 120.0);
    let all = park(node);
    assert!(all.iter().all(|one| look(node, one).0 == 202), "nothing can have run");
    let anothers = One { tenant: "one", model: "chat", ticket: all[0].ticket.clone() };
    let unknown = One { tenant: "one", model: "chat", ticket: "0".repeat(32) };
    assert_eq!(
        (look(node, &anothers).0, look(node, &anothers)),
        (404, look(node, &unknown)),
        "no difference"
    );
    silence(&site, 0.0);
    site.wait("zones are in again", || {
        site.nodes.iter().all(|n| ZONES.iter().all(|z| n.part(z) == Some(1.0)))
    });
    let at = unix_now();
    let traffic = site.traffic_of(30.0, Some("key-of-live"));
    thread::sleep(Duration::from_secs(4));
    let during = served(&traffic.end(), at, unix_now());
    let done_meanwhile = runs(&site).len();
    let got = answers(node, &all);
    let runs = runs(&site);
    // Of the first to run, each of the three tenants has a third, as long as all have some.
    let mut order: Vec<(f64, &One)> = all.iter().map(|one| (runs[&one.ticket][0], one)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let of = |t: &str| order[..60].iter().filter(|o| o.1.tenant == t).count();
    let parts = (of("big"), of("one"), of("two"));
    let went_well = got.iter().filter(|g| g.0 == 200).count();
    println!(
        "first 60 by tenants: {parts:?}; live in time {during:.3} meanwhile, {before:.3} before; {done_meanwhile} ran \
         beside it; {went_well} of 500 answered well"
    );
    assert!([parts.0, parts.1, parts.2].iter().all(|n| (18..=22).contains(n)), "{parts:?}");
    assert_eq!(went_well, 500);
    assert!(runs.values().all(|r| r.len() == 1));
    assert!(during >= before - 0.02, "{during} beside {before}");
    let breaks = site.breaks();
    assert!(breaks.is_empty(), "{breaks:?}");
}

#[test]
fn a_node_killed_five_times_meanwhile_runs_nothing_twice_that_may_not_and_answers_each_once() {
    let _one = alone();
    let engine = EngineConfig {
        mean_output_tokens: 6,
        prefill_base_s: 0.02,
        decode_step_s: 0.01,
        slots: 2,
        ..EngineConfig::default()
    };
    let site = Arc::new(Site::new("killed", plan(engine)));
    let node = &site.nodes[0];
    silence(&site, 120.0);
    let mut all = park(node);
    silence(&site, 0.0);
    let mut seen: BTreeMap<String, (u16, Value)> = BTreeMap::new();
    for gap_ms in [700, 1310, 930, 1570, 1130] {
        thread::sleep(Duration::from_millis(gap_ms));
        for one in &all {
            let got = look(node, one);
            if got.0 != 202 {
                let before = seen.entry(one.ticket.clone()).or_insert_with(|| got.clone());
                assert_eq!(*before, got, "another answer than before");
            }
        }
        node.kill();
        node.start();
    }
    let got = answers(node, &all);
    let runs = runs(&site);
    let count = |s: u16| got.iter().filter(|g| g.0 == s).count();
    let answered_before = seen.len();
    for (one, got) in all.drain(..).zip(&got) {
        if let Some(before) = seen.get(&one.ticket) {
            assert_eq!(before, got, "another answer than before the kill");
        }
        let times = runs.get(&one.ticket).map_or(0, Vec::len);
        match one.model {
            "booking" => {
                assert!(times <= 1, "{} ran {times} times", one.ticket);
                assert!(got.0 == 200 || got.0 == 502, "{got:?}");
                // What is said to be answered has run.
                assert!(got.0 == 502 || times == 1);
            }
            _ => assert!(got.0 == 200 && times >= 1, "{got:?}"),
        }
    }
    println!(
        "{} well, {} ended as they may have run; {answered_before} seen before a kill",
        count(200),
        count(502)
    );
    assert!(count(502) <= 40, "no more than were out at the kills");
}

/// At each bound one more is refused at the door, with what is wrong and when to come back, and nothing of it is kept.
#[test]
fn a_full_place_says_so_and_a_damaged_file_keeps_no_node_from_serving() {
    let _one = alone();
    let more =
        TENANTS.replace("most_running: 4", "most_records: 3 most_records_tenant: 2 longest_wait_ms: 60000");
    let site = Arc::new(Site::new("bounds", Plan { nodes: 1, more: &more, ..Plan::default() }));
    let node = &site.nodes[0];
    silence(&site, 60.0);
    let park = |tenant: &str, within: &str| {
        let body = format!(
            r#"{{"model":"chat","offline_within_s":{within},"messages":[{{"role":"user","content":"check"}}]}}"#
        );
        let (status, told) = node.call("POST", "/v1/chat/completions", &format!("key-of-{tenant}"), &body);
        (status, told["error"]["code"].as_str().unwrap_or("").to_string(), told)
    };
    for wrong in ["-1", "\"soon\"", "3600"] {
        assert_eq!(park("big", wrong).0, 400, "{wrong}");
    }
    assert_eq!(park("nobody", "30").0, 401);
    let first = park("big", "2");
    assert_eq!((first.0, park("big", "30").0), (202, 202));
    let third = park("big", "30");
    assert_eq!((third.0, third.1.as_str()), (429, "parked_tenant_full"));
    assert_eq!(park("one", "30").0, 202, "others come in");
    let fourth = park("one", "30");
    assert_eq!((fourth.0, fourth.1.as_str()), (503, "parked_full"));
    // Its time passes with no way to any engine: it ends then.
    let one = One { tenant: "big", model: "chat", ticket: first.2["id"].as_str().unwrap().into() };
    site.wait("it is given up", || look(node, &one).0 == 504);
    node.kill();
    let file = node.parked_file();
    let sound = std::fs::read(&file).unwrap();
    std::fs::write(&file, &sound[..sound.len() / 3]).unwrap();
    node.start();
    assert_eq!(look(node, &one).0, 404, "what cannot be read is not believed");
    let anew = park("one", "30");
    assert_eq!(anew.0, 202, "{}\n{}", anew.2, node.log());
}
