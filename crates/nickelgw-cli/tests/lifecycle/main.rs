//! Tests of a node's process: handover under load, kill and restart, drain and shutdown.

mod test_site;

use nickelgw_test_servers::client;
use rustix::process::Signal;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_site::{exit_code, kill, send_signal, TestSite};

/// Number of requests that a client has sent, and the outcomes of those that did not complete.
struct ClientResult {
    sent: usize,
    not_completed: Vec<String>,
}

fn send_until_stopped(site: &TestSite, client: usize, stop: &AtomicBool) -> ClientResult {
    let mut result = ClientResult { sent: 0, not_completed: Vec::new() };
    while !stop.load(Ordering::Relaxed) {
        match site.chat(&format!("q{client}-{}", result.sent)) {
            Some(result) if result.outcome == "completed" => {}
            other => result.not_completed.push(format!("{other:?}")),
        }
        result.sent += 1;
    }
    result
}

#[test]
fn handover_under_load_loses_no_request_and_no_stream() {
    let site = Arc::new(TestSite::new("over", 0.02));
    let mut old_node = site.start_node();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (site, stop) = (site.clone(), stop.clone());
            thread::spawn(move || send_until_stopped(&site, client, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    send_signal(&old_node, Signal::HUP);
    assert_eq!(exit_code(&mut old_node), 0);
    thread::sleep(Duration::from_millis(400));
    stop.store(true, Ordering::Relaxed);
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let sent: usize = results.iter().map(|result| result.sent).sum();
    let not_completed: Vec<&String> = results.iter().flat_map(|result| &result.not_completed).collect();
    let after = site.chat("after");
    site.kill_successor();
    assert!(
        sent > 20 && not_completed.is_empty(),
        "{sent} requests sent, of which these did not complete: {not_completed:?}"
    );
    assert!(
        after.is_some_and(|result| result.outcome == "completed"),
        "the new process did not serve a request"
    );
}

#[test]
fn handover_with_invalid_settings_leaves_the_old_process_serving() {
    let site = TestSite::new("bad", 0.005);
    let mut old_node = site.start_node();
    site.write_settings("most_of_all: 3");
    send_signal(&old_node, Signal::HUP);
    thread::sleep(Duration::from_millis(600));
    assert!(old_node.try_wait().unwrap().is_none());
    assert!(site.chat_completes("q"));
    // With valid settings the handover succeeds.
    site.write_settings("limits { most_open: 100 }");
    send_signal(&old_node, Signal::HUP);
    let code = exit_code(&mut old_node);
    let after = site.chat("after");
    site.kill_successor();
    assert_eq!((code, after.map(|result| result.outcome)), (0, Some("completed".into())));
}

/// Starts a client that sends a streamed request in a thread of its own.
fn start_stream(site: &Arc<TestSite>) -> thread::JoinHandle<Option<client::CallResult>> {
    let site = site.clone();
    thread::spawn(move || site.chat("q"))
}

#[test]
fn sigterm_lets_open_streams_end_and_repeated_sigterms_skip_stages_of_the_shutdown() {
    let site = Arc::new(TestSite::new("term", 0.1));
    let mut node = site.start_node();
    let stream = start_stream(&site);
    thread::sleep(Duration::from_millis(300));
    send_signal(&node, Signal::TERM);
    assert!(stream.join().unwrap().is_some_and(|result| result.outcome == "completed"));
    assert_eq!(exit_code(&mut node), 0);
    let mut node = site.start_node();
    let stream = start_stream(&site);
    thread::sleep(Duration::from_millis(300));
    for _ in 0..3 {
        send_signal(&node, Signal::TERM);
        thread::sleep(Duration::from_millis(30));
    }
    assert!(stream.join().unwrap().is_some_and(|result| result.outcome != "completed"));
    assert_eq!(exit_code(&mut node), 3);
    assert_eq!(site.held_states(), 0);
}

#[test]
fn restarted_node_rejects_repeats_of_non_idempotent_requests() {
    let site = TestSite::new("twice", 0.05);
    let mut node = site.start_node();
    // The node is killed while it streams the response.
    thread::scope(|scope| {
        let first = scope.spawn(|| site.send_keyed("booking", "a"));
        site.wait_until("the request has run", || site.count("ran") == 1);
        kill(&mut node);
        assert!(!first.join().unwrap().contains("[DONE]"));
    });
    let mut node = site.start_node();
    let repeat = site.send_keyed("booking", "a");
    assert!(repeat.starts_with("HTTP/1.1 409") && repeat.contains("already_taken"), "{repeat}");
    // An idempotent request runs again after a restart.
    assert!(site.send_keyed("chat", "b").contains("[DONE]"));
    kill(&mut node);
    let mut node = site.start_node();
    assert!(site.send_keyed("chat", "b").contains("[DONE]"));
    assert!(site.send_keyed("booking", "a").starts_with("HTTP/1.1 409"));
    // The new process also knows the key after a handover.
    assert!(site.send_keyed("booking", "c").contains("[DONE]"));
    send_signal(&node, Signal::HUP);
    assert_eq!(exit_code(&mut node), 0);
    let repeat = site.send_keyed("booking", "c");
    site.kill_successor();
    assert!(repeat.starts_with("HTTP/1.1 409"), "{repeat}");
    assert_eq!(site.count("ran"), 4);
}

#[test]
fn reservations_of_a_killed_node_are_released_by_its_successor() {
    let site = TestSite::new("held", 0.01);
    let mut node = site.start_node();
    for decode_engine in &site.engines[1..] {
        let silence = serde_json::json!({"fault": "silence", "for_s": 2.0});
        smol::block_on(client::control(decode_engine, &silence));
    }
    thread::scope(|scope| {
        let site = &site;
        let requests: Vec<_> =
            (0..5).map(|number| scope.spawn(move || site.chat(&format!("q{number}")))).collect();
        site.wait_until("all five prefills have run", || site.count("read") == 5);
        kill(&mut node);
        requests.into_iter().for_each(|request| drop(request.join()));
    });
    assert!(site.held_states() > 0);
    let mut node = site.start_node();
    let started_at = Instant::now();
    site.wait_until("all KV states are released", || site.held_states() == 0);
    assert!(started_at.elapsed() < Duration::from_millis(1500), "{:?}", started_at.elapsed());
    kill(&mut node);
}

#[test]
fn restarted_node_serves_whatever_the_state_of_its_store() {
    let site = TestSite::new("often", 0.002);
    for number in 0..5 {
        let mut node = site.start_node();
        assert!(site.send_keyed("booking", &format!("k{number}")).contains("[DONE]"));
        kill(&mut node);
    }
    let mut node = site.start_node();
    for number in 0..5 {
        assert!(site.send_keyed("booking", &format!("k{number}")).starts_with("HTTP/1.1 409"));
    }
    kill(&mut node);
    let store = site.dir.join("node.store");
    let intact = std::fs::read(&store).unwrap();
    for damaged in [b"no store at all".to_vec(), intact[..intact.len() / 2].to_vec(), Vec::new()] {
        std::fs::write(&store, damaged).unwrap();
        let mut node = site.start_node();
        assert!(site.chat_completes("q"));
        kill(&mut node);
    }
}

/// A client that connects after the node has stopped listening, while a stream is still open, must be
/// refused. A copy of the listening socket, kept for a handover, stayed open until the process exited: the
/// connection was established, waited in the backlog, and was reset at the exit.
#[test]
fn connection_is_refused_once_the_node_has_stopped_listening() {
    let site = Arc::new(TestSite::new("refuse", 0.3));
    let mut node = site.start_node();
    let stream = start_stream(&site);
    thread::sleep(Duration::from_millis(300));
    send_signal(&node, Signal::TERM);
    // The node stops listening 0.3 s after the signal (`notice_ms`).
    thread::sleep(Duration::from_millis(700));
    assert!(node.try_wait().unwrap().is_none(), "the node exited while the stream was open");
    let connection = std::net::TcpStream::connect(site.address());
    assert!(connection.is_err(), "a connection was established after the node had stopped listening");
    assert!(stream.join().unwrap().is_some_and(|result| result.outcome == "completed"));
    assert_eq!(exit_code(&mut node), 0);
}

/// As above, in a process that took over the listening socket from another process, as its standard input.
#[test]
fn connection_is_refused_once_a_successor_has_stopped_listening() {
    let site = Arc::new(TestSite::new("refuse2", 0.3));
    let mut old_node = site.start_node();
    send_signal(&old_node, Signal::HUP);
    assert_eq!(exit_code(&mut old_node), 0);
    let stream = start_stream(&site);
    thread::sleep(Duration::from_millis(300));
    site.signal_successor(Signal::TERM);
    thread::sleep(Duration::from_millis(700));
    let connection = std::net::TcpStream::connect(site.address());
    let outcome = stream.join().unwrap().map(|result| result.outcome);
    site.kill_successor();
    assert!(connection.is_err(), "a connection was established after the node had stopped listening");
    assert_eq!(outcome.as_deref(), Some("completed"));
}
