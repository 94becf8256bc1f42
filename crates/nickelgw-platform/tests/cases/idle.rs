//! Connections that stand unused, and engines that close them at a time of their own.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A writer that closes what stands unused for 0.8 s, far sooner than told; what comes on such a connection after 0.5 s
/// crosses that close: it is read and never answered.
fn closes_early() -> Peer {
    let mut w = peer(|_, _| Then::Hold);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    w.address = listener.local_addr().unwrap();
    spawn(move || {
        for c in listener.incoming() {
            let mut c: TcpStream = c.unwrap();
            spawn(move || {
                let mut stands: Option<Instant> = None;
                let mut some = [0; 8192];
                loop {
                    c.set_read_timeout(Some(stands.map_or(LONG, |_| Duration::from_millis(800)))).unwrap();
                    // A request of these tests comes in one piece.
                    let came = c.read(&mut some).is_ok_and(|n| n > 0);
                    if !came || stands.is_some_and(|s| s.elapsed() > Duration::from_millis(500)) {
                        return;
                    }
                    c.write_all(&stream()).unwrap();
                    stands = Some(Instant::now());
                }
            });
        }
    });
    w
}

/// Written to a connection that the engine closes just then, a request that may run once is lost to its client: nothing
/// tells that it has not run.
#[test]
fn what_may_run_once_goes_on_a_connection_younger_than_the_engine_keeps_them() {
    let (r, w) = (reader(), closes_early());
    let world = node_of(&silent(), list(&[&r], &[&w]), None, |told| {
        told["settings"]["classes"][0]["idempotency"] = "side_effect".into();
    });
    let served = |id: &str| world.say(ask(id).as_bytes()).ends_with("0\r\n\r\n");
    assert!(served("ia01"));
    // The engine closes it, and that is seen.
    sleep(Duration::from_millis(2100));
    assert!(served("ia02"));
    sleep(Duration::from_millis(600));
    assert!(served("ia03"), "it went out on a connection about to be closed");
}
