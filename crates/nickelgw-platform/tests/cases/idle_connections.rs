//! Idle connections, and engines that close them sooner than the settings state.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Starts a decode engine that closes connections idle for 0.8 s, far sooner than the settings state. A
/// request on a connection idle for 0.5 s is treated as if it crossed that close: it is read and never
/// answered.
fn decode_engine_that_closes_early() -> Peer {
    let mut decode = peer(|_, _| PeerAction::Stall);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    decode.address = listener.local_addr().unwrap();
    spawn(move || {
        for connection in listener.incoming() {
            let mut connection: TcpStream = connection.unwrap();
            spawn(move || {
                let mut idle_since: Option<Instant> = None;
                let mut bytes = [0; 8192];
                loop {
                    connection
                        .set_read_timeout(Some(
                            idle_since.map_or(TEST_TIMEOUT, |_| Duration::from_millis(800)),
                        ))
                        .unwrap();
                    // A request of these tests arrives in one piece.
                    let received_request = connection.read(&mut bytes).is_ok_and(|n| n > 0);
                    if !received_request
                        || idle_since.is_some_and(|since| since.elapsed() > Duration::from_millis(500))
                    {
                        return;
                    }
                    connection.write_all(&stream_response()).unwrap();
                    idle_since = Some(Instant::now());
                }
            });
        }
    });
    decode
}

/// A request that may run only once is lost to its client if it is written to a connection which the engine
/// is just closing, because nothing proves that it has not run.
#[test]
fn request_that_may_run_once_avoids_connections_about_to_be_closed() {
    let (prefill, decode) = (prefill_engine(), decode_engine_that_closes_early());
    let node = start_node_with(&silent_discovery(), endpoint_list(&[&prefill], &[&decode]), None, |config| {
        config["settings"]["classes"][0]["idempotency"] = "side_effect".into();
    });
    let served = |id: &str| node.exchange(chat_request(id).as_bytes()).ends_with("0\r\n\r\n");
    assert!(served("ia01"));
    // The engine closes the idle connection, and the node observes that.
    sleep(Duration::from_millis(2100));
    assert!(served("ia02"));
    sleep(Duration::from_millis(600));
    assert!(served("ia03"), "the request was written to a connection about to be closed");
}
