use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use test_case::test_case;

const LIMITS: PoolLimits =
    PoolLimits { connect_timeout_s: 2.0, max_idle_s: 5.0, max_connections: 4, reserved_for_control: 0 };

fn release_call(address: &str, usage: ConnectionUse) -> ShortCall<'_> {
    ShortCall {
        method: "DELETE",
        target: "/internal/reservations/1",
        address,
        usage,
        max_body_bytes: 1024,
        reads_body_to_end: false,
    }
}

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
    let call = release_call(&address, ConnectionUse::Control);
    let response = smol::block_on(ConnectionPool::new(LIMITS).call_within(5.0, &call));
    assert_eq!(response.err(), Some(AttemptOutcome::Malformed));
    engine.join().unwrap();
}

/// Returns connections that fill the listener's backlog: no further one is established.
fn fill_backlog(listener: &TcpListener) -> Vec<TcpStream> {
    socket2::SockRef::from(listener).listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, std::time::Duration::from_millis(50)).ok();
    (0..4).filter_map(connect).collect()
}

/// Regression test: while an engine accepted no new connections in time, each release call waited for one until
/// its timeout, though other calls to the engine were answered meanwhile and returned their connections.
#[test_case(ConnectionUse::Control)]
#[test_case(ConnectionUse::NewConnection)]
fn control_call_takes_a_connection_that_is_returned_while_none_is_established(usage: ConnectionUse) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let pool = ConnectionPool::new(LIMITS);
    let in_use = smol::block_on(pool.connection(&address, ConnectionUse::Attempt)).unwrap();
    let mut accepted = listener.accept().unwrap().0;
    let backlog = fill_backlog(&listener);
    let engine = std::thread::spawn(move || {
        let _ = accepted.read(&mut [0; 4096]);
        let _ = accepted.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
    });
    let call = release_call(&address, usage);
    let return_connection = async {
        Timer::after(seconds(0.1)).await;
        pool.put_idle(in_use);
        std::future::pending().await
    };
    let response = smol::block_on(futures_lite::future::or(pool.call_within(1.0, &call), return_connection));
    assert_eq!(response.map(|(head, _)| head.status).ok(), Some(204));
    assert!(pool.waiters.is_empty(), "no call waits any more");
    drop(backlog);
    engine.join().unwrap();
}
