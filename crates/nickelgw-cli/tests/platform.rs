//! Tests of the `platform` command as a process: idle clients that use up its limits, restarts, malformed
//! requests, cold engines and a suspended event loop.

// Each of these tests is one long sequence of steps on the same processes.
#![allow(clippy::too_many_lines)]

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;

#[allow(dead_code)]
mod processes;

use common::*;
use processes::{connect, exchange, start_node, start_node_with, start_process, Node};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Returns a discovery service that does not answer until the returned flag is set, and then announces the
/// list `after`.
fn unavailable_discovery(after: Value) -> (Peer, Arc<AtomicBool>) {
    let up = Arc::new(AtomicBool::new(false));
    let answers = up.clone();
    let discovery =
        peer(move |request, _| match answers.load(Ordering::Relaxed) && !request.contains("since=") {
            true => PeerAction::Respond(http_response("200 OK", &after.to_string())),
            false => PeerAction::Stall,
        });
    (discovery, up)
}

/// Idle clients that use up the descriptors must not keep the node from answering, from continuing streams,
/// and from fetching the endpoint list when discovery recovers.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_unavailable() {
    const LIMIT: usize = 72;
    let (finish_first_stream, gate) = async_channel::bounded::<()>(1);
    let (first, second) = (prefill_engine(), prefill_engine());
    // The first stream stays open until the end.
    let decode = peer(move |_, post_count| {
        if post_count == 1 {
            let _ = gate.recv_blocking();
        }
        PeerAction::Respond(stream_response())
    });
    let known = endpoint_list(&[&first], &[&decode]);
    let mut after = endpoint_list(&[&first, &second], &[&decode]);
    after["instances"][0]["lifecycle"] = "draining".into();
    let (discovery, up) = unavailable_discovery(after);
    let node = start_node(1, &discovery, known, LIMIT, LIMIT);
    node.wait_until_ready();
    let mut open = connect(node.address);
    open.write_all(chat_request("ea01").as_bytes()).unwrap();
    decode.wait_for("POST");
    let (running, silent_clients) = node.start_silent_clients(200);
    sleep(Duration::from_millis(1500));
    let (before, ticks) = (Instant::now(), node.ticks());
    assert!(node.is_ready(), "the node does not answer while silent clients are connected");
    sleep(Duration::from_secs(1));
    let used = (node.ticks() - ticks) as f64 / 100.0 / before.elapsed().as_secs_f64();
    assert!(used < 0.3, "the event loop spins: it uses {used} of a core");
    let descriptors = node.descriptors();
    // At most 31 sockets belong to clients, though 200 try to connect, and 11 to the process itself and to
    // discovery.
    let sockets = descriptors.iter().filter(|target| target.starts_with("socket:")).count();
    assert!(sockets <= 31 + 11, "{sockets} sockets are open: {descriptors:?}");
    up.store(true, Ordering::Relaxed);
    let returned = Instant::now();
    let mut number = 0;
    while second.received("POST").is_empty() {
        assert!(
            returned.elapsed() < Duration::from_secs(5),
            "the list was not applied within 5 s of the recovery of discovery"
        );
        exchange(node.address, chat_request(&format!("eb{number}")).as_bytes());
        number += 1;
    }
    let before = first.received("POST").len();
    (0..3).for_each(|number| drop(exchange(node.address, chat_request(&format!("ec{number}")).as_bytes())));
    assert_eq!(first.received("POST").len(), before, "a draining engine got a request");
    finish_first_stream.send_blocking(()).unwrap();
    let response = read_response(&mut open);
    assert!(
        response.ends_with("0\r\n\r\n"),
        "the stream that was open all the time is incomplete: {response}"
    );
    running.store(false, Ordering::Relaxed);
    silent_clients.join().unwrap();
}

/// The process may open fewer descriptors than its configuration states: it must close idle connections, and
/// wait between attempts to accept instead of spinning.
#[test]
fn node_out_of_descriptors_serves_without_spinning() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(2, &silent_discovery(), endpoint_list(&[&prefill], &[&decode]), 256, 40);
    node.wait_until_ready();
    let (running, silent_clients) = node.start_silent_clients(60);
    sleep(Duration::from_millis(800));
    let (before, ticks) = (Instant::now(), node.ticks());
    let ready = (0..4).filter(|_| node.is_ready()).count();
    let remaining = Duration::from_secs(1).saturating_sub(before.elapsed());
    sleep(remaining);
    let used = (node.ticks() - ticks) as f64 / 100.0 / before.elapsed().as_secs_f64();
    assert!(ready >= 3 && used < 0.3, "ready in {ready} of 4 checks, used {used} of a core");
    running.store(false, Ordering::Relaxed);
    silent_clients.join().unwrap();
    // The silent clients have disconnected, so that the node serves again.
    sleep(Duration::from_millis(300));
    let response = exchange(node.address, chat_request("ed01").as_bytes());
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Ten nodes are killed and restarted without discovery, while silent clients and clients with requests keep
/// connecting.
#[test]
fn nine_in_ten_restarted_processes_are_ready_in_time() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let known = endpoint_list(&[&prefill], &[&decode]);
    let discovery = silent_discovery();
    let mut nodes: Vec<Node> =
        (0..10).map(|number| start_node(10 + number, &discovery, known.clone(), 128, 128)).collect();
    for node in &nodes {
        node.wait_until_ready();
    }
    let running = Arc::new(AtomicBool::new(true));
    let load: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (running, address) = (running.clone(), node.address);
            spawn(move || {
                let (mut served, mut i) = (0, 0);
                while running.load(Ordering::Relaxed) {
                    i += 1;
                    if let Ok(mut client) = TcpStream::connect(address) {
                        let _ = client.set_read_timeout(Some(Duration::from_secs(2)));
                        let sent =
                            client.write_all(chat_request(&format!("f{number}x{i}")).as_bytes()).is_ok();
                        served += usize::from(sent && read_response(&mut client).ends_with("0\r\n\r\n"));
                    }
                    sleep(Duration::from_millis(10));
                }
                served
            })
        })
        .collect();
    let silent_client_groups: Vec<_> = nodes.iter().map(|node| node.start_silent_clients(100)).collect();
    sleep(Duration::from_millis(300));
    for node in &mut nodes {
        kill_process(Pid::from_child(&node.child), Signal::KILL).unwrap();
        node.child.wait().unwrap();
    }
    let started_at = Instant::now();
    nodes.iter_mut().for_each(|node| node.child = start_process(&node.path, 128));
    let mut ready_after_s: Vec<f64> = nodes
        .iter()
        .map(|node| {
            node.wait_until_ready();
            started_at.elapsed().as_secs_f64()
        })
        .collect();
    ready_after_s.sort_by(f64::total_cmp);
    sleep(Duration::from_millis(500));
    running.store(false, Ordering::Relaxed);
    let served: Vec<usize> = load.into_iter().map(|client| client.join().unwrap()).collect();
    for (running, silent_clients) in silent_client_groups {
        running.store(false, Ordering::Relaxed);
        silent_clients.join().unwrap();
    }
    println!("nodes ready after {ready_after_s:?} s; requests served by node: {served:?}");
    assert!(ready_after_s[8] < 10.0, "times in s until the nodes were ready: {ready_after_s:?}");
    assert!(
        served.iter().all(|&count| count > 0),
        "a node did not serve with the engines of its configuration: {served:?}"
    );
}

/// Malformed bytes from a client must close only the client's own connection, and repeated ones must add only
/// one log line.
#[test]
fn malformed_bytes_close_only_their_connection_and_add_one_log_line() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let mut node = start_node(3, &silent_discovery(), endpoint_list(&[&prefill], &[&decode]), 128, 128);
    node.wait_until_ready();
    for number in 0..200 {
        let Ok(mut client) = TcpStream::connect(node.address) else { continue };
        let _ = client.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = client.write_all(&[b'a' + (number % 20) as u8; 700]);
        let _ = client.write_all(b"\r\n\r\n");
        let _ = client.read(&mut [0; 64]);
    }
    assert!(exchange(node.address, chat_request("ee01").as_bytes()).ends_with("0\r\n\r\n"));
    node.child.kill().unwrap();
    let mut log = String::new();
    node.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(log.matches("malformed message rejected").count(), 1, "{log}");
}

/// Twenty processes share eight engines of each role, six of which are warming up; an even share of the load
/// is twice what such an engine can take. The attempts and probes of all processes together to one cold
/// engine must stay within its budget of N calls, plus 2 x root of N + 2 for random variation.
#[test]
fn all_processes_together_respect_the_limit_of_a_cold_engine() {
    const NODES: u8 = 20;
    /// Requests per second that a warm engine can take.
    const ENGINE_CAPACITY: f64 = 10.0;
    /// Requests per second of all clients.
    const REQUEST_RATE: f64 = 60.0;
    let calls: Vec<Arc<std::sync::Mutex<Vec<Instant>>>> = (0..16).map(|_| Arc::default()).collect();
    let engine = |number: usize| {
        let engine_calls = calls[number].clone();
        let service_time = Duration::from_millis(20);
        peer(move |request, _| {
            engine_calls.lock().unwrap().push(Instant::now());
            sleep(service_time);
            match (request.starts_with("GET"), number < 8) {
                (true, _) => PeerAction::Respond(http_response("200 OK", "x0=0.1,x1=0")),
                (_, true) => PeerAction::Respond(http_response("202 Accepted", r#"{"cached_tokens":0}"#)),
                _ => PeerAction::Respond(stream_response()),
            }
        })
    };
    let engines: Vec<Peer> = (0..16).map(engine).collect();
    let (readers, writers): (Vec<&Peer>, Vec<&Peer>) =
        (engines[..8].iter().collect(), engines[8..].iter().collect());
    let mut known = endpoint_list(&readers, &writers);
    let unix_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    for (number, instance) in known["instances"].as_array_mut().unwrap().iter_mut().enumerate() {
        instance["startedAtMs"] = if number % 8 < 6 { unix_ms.into() } else { 0.into() };
    }
    let (started_at, discovery) = (Instant::now(), silent_discovery());
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| {
            start_node_with(40 + number, &discovery, known.clone(), 256, |config| {
                config["settings"]["balancers"] = NODES.into();
                config["settings"]["limits"]["probes"] = true.into();
            })
        })
        .collect();
    for node in &nodes {
        node.wait_until_ready();
    }
    let load: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let address = node.address;
            spawn(move || {
                let gap = Duration::from_secs_f64(f64::from(NODES) / REQUEST_RATE);
                let first = Instant::now() + gap.mul_f64(number as f64 / f64::from(NODES));
                let mut served = 0;
                for i in 0..(4.0 / gap.as_secs_f64()) as u32 {
                    sleep((first + gap * i).saturating_duration_since(Instant::now()));
                    // Each request has a session of its own, so that the route hash spreads the requests over
                    // the engines.
                    let text = chat_request(&format!("a{number}x{i}"))
                        .replace("X-Route-Hash: 7f3a", &format!("X-Route-Hash: {number}x{i}"));
                    served += usize::from(exchange(address, text.as_bytes()).ends_with("0\r\n\r\n"));
                }
                served
            })
        })
        .collect();
    let served: usize = load.into_iter().map(|client| client.join().unwrap()).sum();
    let mut max_share: f64 = 0.0;
    let cold_engines =
        || calls.iter().enumerate().filter(|(number, _)| number % 8 < 6).map(|(_, calls)| calls);
    for engine_calls in cold_engines() {
        let engine_calls = engine_calls.lock().unwrap();
        for (position, called_at) in engine_calls.iter().enumerate() {
            let is_recent = |earlier: &&Instant| **earlier + Duration::from_secs(2) > *called_at;
            let within = engine_calls[..=position].iter().filter(is_recent).count() as f64;
            let age = called_at.duration_since(started_at).as_secs_f64() / 9.0;
            let budget = 3.0 * (0.3 + 0.7 * age * age) * ENGINE_CAPACITY * 2.0;
            max_share = max_share.max(within / (budget + 2.0 * budget.sqrt() + 2.0));
        }
    }
    println!("{served} requests served; calls to a cold engine at most {max_share:.2} of the bound");
    assert!(served as f64 > 0.8 * 4.0 * REQUEST_RATE, "only {served} requests were served");
    assert!(max_share <= 1.0, "a cold engine got {max_share} of the bound on its calls");
    let used: usize = cold_engines().map(|calls| calls.lock().unwrap().len()).sum();
    assert!(used > 20, "cold engines got only {used} calls");
}

/// When a suspended event loop resumes, a client's disconnect and the event that would dispatch its request
/// are both pending. The request must not be dispatched if it was queued until the list announces a prefill
/// engine, if its prefill finishes meanwhile, or if its connection has not been accepted yet.
#[test]
fn request_of_a_client_that_disconnected_while_the_loop_was_suspended_is_not_dispatched() {
    let (open_gate, opened) = async_channel::bounded::<()>(1);
    let prefill_gate = opened.clone();
    let prefill = peer(move |_, _| {
        let _ = prefill_gate.recv_blocking();
        PeerAction::Respond(http_response("202 Accepted", r#"{"cached_tokens":4}"#))
    });
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let announced = endpoint_list(&[&prefill], &[&decode]).to_string();
    let agent = peer(move |request, _| {
        if request.contains("since=") {
            return PeerAction::Stall;
        }
        let _ = opened.recv_blocking();
        PeerAction::Respond(http_response("200 OK", &announced))
    });
    // The first node knows no prefill engine until the agent announces it; the second knows one from the
    // start.
    let (queueing, prefilling) = (
        start_node(60, &agent, endpoint_list(&[], &[&decode]), 128, 128),
        start_node(61, &silent_discovery(), endpoint_list(&[&prefill], &[&decode]), 128, 128),
    );
    let send_request = |node: &Node, id: &str| {
        node.wait_until_ready();
        let mut client = connect(node.address);
        client.write_all(chat_request(id).as_bytes()).unwrap();
        client
    };
    let queued: Vec<TcpStream> =
        (0..5).map(|number| send_request(&queueing, &format!("fa0{number}"))).collect();
    let prefilled = send_request(&prefilling, "fb01");
    prefill.wait_for("POST");
    agent.wait_for("GET /v1/servers HTTP");
    sleep(Duration::from_millis(50));
    [&queueing, &prefilling].into_iter().for_each(Node::suspend);
    drop((queued, prefilled));
    for (node, id) in [(&queueing, "fa09"), (&prefilling, "fb09")] {
        let mut client = connect(node.address);
        client.write_all(chat_request(id).as_bytes()).unwrap();
    }
    // Lets the agent announce the prefill engine, and the prefill finish.
    open_gate.close();
    sleep(Duration::from_millis(100));
    [&queueing, &prefilling].into_iter().for_each(Node::resume);
    // Both nodes still serve clients that stay connected.
    for (node, id) in [(&queueing, "fa10"), (&prefilling, "fb10")] {
        assert!(exchange(node.address, chat_request(id).as_bytes()).ends_with("0\r\n\r\n"));
    }
    sleep(Duration::from_millis(500));
    let ids = |engine: &Peer| {
        let id = |request: &String| request.split("X-Call-Id: ").nth(1).unwrap()[..4].to_string();
        let mut ids: Vec<String> = engine.received("POST").iter().map(id).collect();
        ids.sort();
        ids
    };
    assert_eq!(ids(&prefill), ["fa10", "fb01", "fb10"]);
    assert_eq!(ids(&decode), ["fa10", "fb10"]);
}

/// A request that arrived on an open connection while the node was suspended got its whole timeout from the
/// time it was read.
#[test]
fn time_in_which_the_node_was_suspended_counts_against_the_deadline() {
    const SUSPENSION: Duration = Duration::from_millis(600);
    const BUDGET: Duration = Duration::from_millis(1500);
    const DEADLINE_SLACK: Duration = Duration::from_millis(150);
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let known = endpoint_list(&[&prefill], &[&decode]);
    let node = start_node_with(64, &silent_discovery(), known, 128, |config| {
        // With this objective no request is rejected for the time it has waited.
        config["settings"]["classes"][0]["slo_s"] = 4.0.into();
    });
    node.wait_until_ready();
    let mut client = connect(node.address);
    client.write_all(chat_request("fd01").as_bytes()).unwrap();
    assert!(read_response(&mut client).starts_with("HTTP/1.1 200"));
    node.suspend();
    let sent_at = Instant::now();
    let budget_header = format!("X-Budget-Ms: {}", BUDGET.as_millis());
    let request = chat_request("fd02").replace("X-Budget-Ms: 4000", &budget_header);
    client.write_all(request.as_bytes()).unwrap();
    sleep(SUSPENSION);
    node.resume();
    assert!(read_response(&mut client).starts_with("HTTP/1.1 200"));
    // The attempt was sent to the engine no earlier than the node resumed.
    let left = BUDGET.saturating_sub(SUSPENSION);
    let attempt = prefill.received("POST").into_iter().find(|request| request.contains("fd02")).unwrap();
    let given = attempt.lines().find_map(|line| line.strip_prefix("x-budget-ms: ")).unwrap();
    let given = Duration::from_millis(given.parse().unwrap());
    assert!(
        given <= left + DEADLINE_SLACK,
        "the attempt got a budget of {given:?} with {left:?} left; the request was sent {:?} ago",
        sent_at.elapsed()
    );
}
