use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;

/// Regression test: a stream that an engine had sent for an earlier request was taken for the response to a
/// release call, which thus counted as confirmed.
#[test]
fn stream_is_no_response_to_a_control_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let engine = std::thread::spawn(move || {
        let mut connection = listener.accept().unwrap().0;
        let _ = connection.read(&mut [0; 4096]);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = connection.write_all(format!("{head}0\r\n\r\n").as_bytes());
    });
    let limits =
        PoolLimits { connect_timeout_s: 5.0, max_idle_s: 5.0, max_connections: 4, reserved_for_control: 0 };
    let call = ShortCall {
        method: "DELETE",
        target: "/internal/reservations/1",
        address: &address,
        usage: ConnectionUse::Control,
        max_body_bytes: 1024,
    };
    let response = smol::block_on(ConnectionPool::new(limits).call_within(5.0, &call));
    assert_eq!(response.err(), Some(AttemptOutcome::Malformed));
    engine.join().unwrap();
}
