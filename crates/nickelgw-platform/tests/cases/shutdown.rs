//! What comes while a node shuts down: orders, connections that it has not looked at yet, requests without an answer.

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

/// A reader that answers when the gate is closed behind it.
fn gated_reader() -> (async_channel::Sender<()>, Peer) {
    let (gate, waits) = async_channel::bounded::<()>(1);
    let r = peer(move |_, _| {
        let _ = waits.recv_blocking();
        Then::Answer(plain("202 Accepted", r#"{"cached_tokens":4}"#))
    });
    (gate, r)
}

fn ends_in(world: World, within: Duration) {
    let until = Instant::now() + within;
    while !world.ended.is_finished() {
        assert!(Instant::now() < until, "it does not end");
        sleep(Duration::from_millis(5));
    }
}

/// Words in one queue: the shutdown did not fit behind reloads that nobody had read yet.
#[test]
fn a_shutdown_is_taken_however_many_reloads_stand_before_it() {
    let (signals, ordered) = nickelgw_platform::signal_channel();
    for _ in 0..1000 {
        signals.request_reload();
    }
    signals.request_shutdown();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let known = list(&[], &[]);
    let told = config(&listener.local_addr().unwrap().to_string(), &silent().address.to_string(), known);
    let start = nickelgw_platform::config::NodeConfig::parse(&told, |_| None).map_err(|e| e.0).unwrap();
    let work = move || smol::block_on(nickelgw_platform::run(listener, start, None, ordered)).unwrap();
    let began = Instant::now();
    std::thread::spawn(work).join().unwrap();
    assert!(began.elapsed() < Duration::from_secs(3));
}

/// After the order to shut down no other was read: what the new agent told of drains never reached what was still sent.
#[test]
fn a_reload_during_a_shutdown_moves_discovery() {
    let (gate, r) = gated_reader();
    let (w0, w1) = (peer(|_, _| Then::Answer(stream())), peer(|_, _| Then::Answer(stream())));
    let mut told = list(&[&r], &[&w0, &w1]);
    told["instances"][1]["lifecycle"] = "draining".into();
    let told = told.to_string();
    let new = peer(move |asked, _| match asked.contains("since=") {
        true => Then::Hold,
        false => Then::Answer(plain("200 OK", &told)),
    });
    let path = config_file("reload");
    let old = silent();
    let world = node(&old, &[&r], &[&w0], Some(path.clone()));
    let mut c = world.open("ha01", &r);
    world.signals.request_shutdown();
    // It refuses readiness: the order has been taken.
    while !world.say(b"GET /healthz HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503") {}
    std::fs::write(&path, config("x", &new.address.to_string(), Value::Null).to_string()).unwrap();
    world.signals.request_reload();
    new.wait("GET /v1/servers?since=3");
    gate.close();
    let got = answer(&mut c);
    std::fs::remove_file(path).unwrap();
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
    assert_eq!((w0.seen("POST").len(), w1.seen("POST").len()), (0, 1), "the one drains");
}

/// The file was being written when the signal came: read once, it was given up until the next signal.
#[test]
fn a_configuration_that_is_half_written_is_read_again() {
    let path = config_file("half");
    let (first, other) = (silent(), silent());
    let all = config("x", &other.address.to_string(), Value::Null).to_string();
    std::fs::write(&path, &all[..all.len() / 2]).unwrap();
    let world = node(&first, &[], &[], Some(path.clone()));
    first.wait("GET /v1/servers");
    world.signals.request_reload();
    sleep(Duration::from_millis(300));
    assert!(other.seen("GET").is_empty());
    std::fs::write(&path, &all).unwrap();
    other.wait("GET /v1/servers");
    std::fs::remove_file(path).unwrap();
}

/// The table is full of open requests, and more connections, with requests on them, wait at the door: the system has
/// accepted those. The listener was closed over them, and all were reset.
#[test]
fn connections_that_wait_at_the_door_are_answered_before_it_closes() {
    let (gate, r) = gated_reader();
    let w = peer(|_, _| Then::Answer(stream()));
    let world = node_of(&silent(), list(&[&r], &[&w]), None, |told| {
        told["limits"]["sockets"] = json!(64);
    });
    let open = |k: usize| {
        let mut c = world.client();
        c.write_all(ask(&format!("hb{k:02}")).as_bytes()).unwrap();
        c
    };
    // 57% of what is left of 64 descriptors are for clients.
    let served: Vec<TcpStream> = (0..27).map(open).collect();
    let until = Instant::now() + LONG;
    while r.seen("POST").len() < 15 {
        assert!(Instant::now() < until, "{} sent", r.seen("POST").len());
        sleep(Duration::from_millis(5));
    }
    let waiting: Vec<TcpStream> = (27..33).map(open).collect();
    world.signals.request_shutdown();
    sleep(Duration::from_millis(900));
    gate.close();
    let all: Vec<_> =
        served.into_iter().chain(waiting).map(|mut c| std::thread::spawn(move || answer(&mut c))).collect();
    let got: Vec<String> = all.into_iter().map(|t| t.join().unwrap()).collect();
    for (k, got) in got.iter().enumerate() {
        assert!(got.starts_with("HTTP/1.1 "), "{k}: {got:?}");
    }
    ends_in(world, LONG);
}

/// SIGKILL comes 0.7 s after the longest deadline of the settings. Nor is there a come-back time where they allow none.
#[test]
fn what_has_not_begun_is_answered_before_the_process_is_killed() {
    for (retry_after, s) in [(false, 1.0), (true, 1.0)] {
        let (_gate, r) = gated_reader();
        let w = peer(|_, _| Then::Answer(stream()));
        let world = node_of(&silent(), list(&[&r], &[&w]), None, |told| {
            told["settings"]["classes"][0]["deadline_s"] = s.into();
            told["settings"]["limits"]["retry_after"] = retry_after.into();
            told["settings"]["limits"]["max_retry_after_s"] = 0.5.into();
        });
        let mut c = world.open("hc01", &r);
        let began = Instant::now();
        world.signals.request_shutdown();
        let got = answer(&mut c);
        assert!(began.elapsed().as_secs_f64() < s + 0.7, "{:?}", began.elapsed());
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        assert_eq!(got.contains("retry-after: 0.500\r\n"), retry_after, "{got}");
        assert_eq!(got.contains("retry-after"), retry_after, "{got}");
        ends_in(world, LONG);
    }
}

/// The send is over before its client is told: a class that may run once was refused while a reader still had it.
#[test]
fn what_is_out_is_closed_before_its_client_is_refused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut r = reader();
    r.address = listener.local_addr().unwrap();
    let w = peer(|_, _| Then::Answer(stream()));
    let world = node_of(&silent(), list(&[&r], &[&w]), None, |told| {
        told["settings"]["classes"][0]["deadline_s"] = 1.0.into();
        told["settings"]["classes"][0]["idempotency"] = "side_effect".into();
    });
    let mut c = world.client();
    c.write_all(ask("hd01").as_bytes()).unwrap();
    let mut at = listener.accept().unwrap().0;
    at.set_read_timeout(Some(LONG)).unwrap();
    assert!(at.read(&mut [0; 4096]).unwrap() > 0);
    world.signals.request_shutdown();
    assert!(answer(&mut c).starts_with("HTTP/1.1 503"));
    // Without waiting: the end is there.
    at.set_nonblocking(true).unwrap();
    let mut some = [0; 4096];
    let end = loop {
        match at.read(&mut some) {
            Ok(n) if n > 0 => {}
            end => break end.map_err(|e| e.kind()),
        }
    };
    assert_eq!(end, Ok(0));
}
