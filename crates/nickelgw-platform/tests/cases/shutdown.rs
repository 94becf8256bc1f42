//! Shutdown of a node: reloads during it, connections that are not accepted yet, and requests without a
//! response.

use crate::common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn config_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("nickelgw-shutdown-{name}-{}.json", std::process::id()))
}

/// Starts a prefill engine that responds once the returned channel is closed.
fn gated_prefill_engine() -> (async_channel::Sender<()>, Peer) {
    let (gate, gate_opened) = async_channel::bounded::<()>(1);
    let prefill = peer(move |_, _| {
        let _ = gate_opened.recv_blocking();
        PeerAction::Respond(http_response("202 Accepted", r#"{"cached_tokens":4}"#))
    });
    (gate, prefill)
}

fn assert_ends_within(node: TestNode, within: Duration) {
    let deadline = Instant::now() + within;
    while !node.thread.is_finished() {
        assert!(Instant::now() < deadline, "the node did not exit within {within:?}");
        sleep(Duration::from_millis(5));
    }
}

/// Regression test: with both kinds of requests in one queue, a shutdown did not fit behind reloads that were
/// not handled yet.
#[test]
fn shutdown_is_handled_however_many_reloads_precede_it() {
    let (signals, receiver) = nickelgw_platform::signal_channel();
    for _ in 0..1000 {
        signals.request_reload();
    }
    signals.request_shutdown();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let known = endpoint_list(&[], &[]);
    let config = node_config(
        &listener.local_addr().unwrap().to_string(),
        &silent_discovery().address.to_string(),
        known,
    );
    let parsed_config =
        nickelgw_platform::config::NodeConfig::parse(&config, |_| None).map_err(|error| error.0).unwrap();
    let serve =
        move || smol::block_on(nickelgw_platform::run(listener, parsed_config, None, receiver)).unwrap();
    let started_at = Instant::now();
    std::thread::spawn(serve).join().unwrap();
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

/// Regression test: after a shutdown request no reload was handled, and later attempts ignored drains that
/// the new agent announced.
#[test]
fn reload_during_a_shutdown_changes_the_discovery_address() {
    let (gate, prefill) = gated_prefill_engine();
    let (draining_decode, active_decode) = (
        peer(|_, _| PeerAction::Respond(stream_response())),
        peer(|_, _| PeerAction::Respond(stream_response())),
    );
    let mut announced = endpoint_list(&[&prefill], &[&draining_decode, &active_decode]);
    announced["instances"][1]["lifecycle"] = "draining".into();
    let announced = announced.to_string();
    let new_discovery = peer(move |request, _| match request.contains("since=") {
        true => PeerAction::Stall,
        false => PeerAction::Respond(http_response("200 OK", &announced)),
    });
    let path = config_file("reload");
    let old_discovery = silent_discovery();
    let node = start_node(&old_discovery, &[&prefill], &[&draining_decode], Some(path.clone()));
    let mut client = node.open_request("ha01", &prefill);
    node.signals.request_shutdown();
    // Once the node is not ready any more, it has handled the shutdown request.
    while !node.exchange(b"GET /healthz HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503") {}
    std::fs::write(&path, node_config("x", &new_discovery.address.to_string(), Value::Null).to_string())
        .unwrap();
    node.signals.request_reload();
    new_discovery.wait_for("GET /v1/servers?since=3");
    gate.close();
    let response = read_response(&mut client);
    std::fs::remove_file(path).unwrap();
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(
        (draining_decode.received("POST").len(), active_decode.received("POST").len()),
        (0, 1),
        "attempts at the draining and at the active decode engine"
    );
}

/// Regression test: if the file was still being written when the signal came, it was read only once and then
/// ignored until the next signal.
#[test]
fn half_written_configuration_is_read_again() {
    let path = config_file("half");
    let (old_discovery, new_discovery) = (silent_discovery(), silent_discovery());
    let configuration = node_config("x", &new_discovery.address.to_string(), Value::Null).to_string();
    std::fs::write(&path, &configuration[..configuration.len() / 2]).unwrap();
    let node = start_node(&old_discovery, &[], &[], Some(path.clone()));
    old_discovery.wait_for("GET /v1/servers");
    node.signals.request_reload();
    sleep(Duration::from_millis(300));
    assert!(new_discovery.received("GET").is_empty());
    std::fs::write(&path, &configuration).unwrap();
    new_discovery.wait_for("GET /v1/servers");
    std::fs::remove_file(path).unwrap();
}

/// Regression test: the listener was closed with connections in its backlog, which were reset with their
/// requests.
#[test]
fn connections_in_the_backlog_are_answered_before_the_listener_closes() {
    let (gate, prefill) = gated_prefill_engine();
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node_with(&silent_discovery(), endpoint_list(&[&prefill], &[&decode]), None, |config| {
        config["limits"]["sockets"] = json!(64);
    });
    let open_request = |number: usize| {
        let mut client = node.connect();
        client.write_all(chat_request(&format!("hb{number:02}")).as_bytes()).unwrap();
        client
    };
    // 57% of the descriptors that remain of 64 are for clients.
    let accepted: Vec<TcpStream> = (0..27).map(open_request).collect();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while prefill.received("POST").len() < 15 {
        assert!(
            Instant::now() < deadline,
            "only {} of 15 requests reached the prefill engine",
            prefill.received("POST").len()
        );
        sleep(Duration::from_millis(5));
    }
    let waiting: Vec<TcpStream> = (27..33).map(open_request).collect();
    node.signals.request_shutdown();
    sleep(Duration::from_millis(900));
    gate.close();
    let threads: Vec<_> = accepted
        .into_iter()
        .chain(waiting)
        .map(|mut client| std::thread::spawn(move || read_response(&mut client)))
        .collect();
    let responses: Vec<String> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    for (number, response) in responses.iter().enumerate() {
        assert!(response.starts_with("HTTP/1.1 "), "client {number} received {response:?}");
    }
    assert_ends_within(node, TEST_TIMEOUT);
}

/// Regression test: a connection that was established between the last accept and the close of the listener
/// was reset with its request.
#[test]
fn connections_established_as_the_listener_closes_are_answered() {
    const CLIENTS: usize = 64;
    let node = start_node(&silent_discovery(), &[], &[], None);
    let send_until_refused = |address: std::net::SocketAddr| {
        let mut unanswered = 0;
        while let Ok(mut client) = TcpStream::connect(address) {
            client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let _ = client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            unanswered += usize::from(!read_response(&mut client).starts_with("HTTP/1.1 "));
        }
        unanswered
    };
    let address = node.address;
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| std::thread::spawn(move || send_until_refused(address))).collect();
    sleep(Duration::from_millis(100));
    node.signals.request_shutdown();
    let unanswered: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(unanswered, 0, "number of connections that were closed without a response");
    assert_ends_within(node, TEST_TIMEOUT);
}

/// SIGKILL comes 0.7 s after the longest deadline of the settings. A retry-after time is stated only if the
/// settings allow it.
#[test]
fn unstarted_request_is_answered_before_the_process_is_killed() {
    for (retry_after, deadline_s) in [(false, 1.0), (true, 1.0)] {
        let (_gate, prefill) = gated_prefill_engine();
        let decode = peer(|_, _| PeerAction::Respond(stream_response()));
        let node =
            start_node_with(&silent_discovery(), endpoint_list(&[&prefill], &[&decode]), None, |config| {
                config["settings"]["classes"][0]["deadline_s"] = deadline_s.into();
                config["settings"]["limits"]["retry_after"] = retry_after.into();
                config["settings"]["limits"]["max_retry_after_s"] = 0.5.into();
            });
        let mut client = node.open_request("hc01", &prefill);
        let started_at = Instant::now();
        node.signals.request_shutdown();
        let response = read_response(&mut client);
        assert!(started_at.elapsed().as_secs_f64() < deadline_s + 0.7, "{:?}", started_at.elapsed());
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(response.contains("retry-after: 0.500\r\n"), retry_after, "{response}");
        assert_eq!(response.contains("retry-after"), retry_after, "{response}");
        assert_ends_within(node, TEST_TIMEOUT);
    }
}

/// Regression test: a request of a class that may run only once was rejected while an engine still ran it.
/// The attempt has to end before the client is answered.
#[test]
fn attempt_is_closed_before_its_client_is_rejected() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut prefill = prefill_engine();
    prefill.address = listener.local_addr().unwrap();
    let decode = peer(|_, _| PeerAction::Respond(stream_response()));
    let node = start_node_with(&silent_discovery(), endpoint_list(&[&prefill], &[&decode]), None, |config| {
        config["settings"]["classes"][0]["deadline_s"] = 1.0.into();
        config["settings"]["classes"][0]["idempotency"] = "side_effect".into();
    });
    let mut client = node.connect();
    client.write_all(chat_request("hd01").as_bytes()).unwrap();
    let mut connection = listener.accept().unwrap().0;
    connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(connection.read(&mut [0; 4096]).unwrap() > 0);
    node.signals.request_shutdown();
    assert!(read_response(&mut client).starts_with("HTTP/1.1 503"));
    // Read without waiting, since the end of the connection must have arrived already.
    connection.set_nonblocking(true).unwrap();
    let mut bytes = [0; 4096];
    let closed = loop {
        match connection.read(&mut bytes) {
            Ok(n) if n > 0 => {}
            closed => break closed.map_err(|error| error.kind()),
        }
    };
    assert_eq!(closed, Ok(0));
}

/// Regression test (new-connection-closed-unread.md): a new connection was closed as idle before its first
/// request had arrived.
#[test]
fn first_request_on_a_new_connection_is_answered_during_shutdown() {
    let (prefill, decode) = (prefill_engine(), peer(|_, _| PeerAction::Respond(stream_response())));
    let node = start_node(&silent_discovery(), &[&prefill], &[&decode], None);
    node.signals.request_shutdown();
    sleep(Duration::from_millis(400));
    let mut client = node.connect();
    sleep(Duration::from_millis(250));
    let _ = client.write_all(chat_request("he01").as_bytes());
    let response = read_response(&mut client);
    assert!(response.starts_with("HTTP/1.1 "), "closed without a response: {response:?}");
    assert_ends_within(node, Duration::from_secs(3));
}

/// A new connection that stays silent is given a limited time for its first request, and does not delay the
/// exit beyond it.
#[test]
fn silent_new_connection_does_not_delay_a_shutdown() {
    let node = start_node(&silent_discovery(), &[], &[], None);
    node.signals.request_shutdown();
    sleep(Duration::from_millis(400));
    let mut client = node.connect();
    assert_ends_within(node, Duration::from_millis(2000));
    assert_eq!(client.read(&mut [0; 8]).unwrap(), 0, "the connection is closed, not reset");
}
