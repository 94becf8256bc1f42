use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const CLIENTS: usize = 16;
const OPEN_FOR: Duration = Duration::from_millis(100);
/// Simulates a process that is stalled between the last accept and the close.
const STALL: Duration = Duration::from_millis(30);
const RESPONSE: &[u8] = b"answer";

/// Starts a client that connects and sends requests until it is refused. The thread returns how many of its
/// connections were closed without a response.
fn start_client(address: SocketAddr) -> JoinHandle<usize> {
    spawn(move || {
        let mut unanswered = 0;
        while let Ok(mut connection) = TcpStream::connect(address) {
            let mut response = Vec::new();
            let _ = connection.write_all(b"request");
            let _ = connection.read_to_end(&mut response);
            unanswered += usize::from(response != RESPONSE);
        }
        unanswered
    })
}

/// Answers all connections that wait in the backlog.
fn answer_waiting(listener: &TcpListener) {
    while let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).unwrap();
        let _ = stream.read(&mut [0; 16]);
        let _ = stream.write_all(RESPONSE);
    }
}

/// A connection established between the last accept and the close was reset, and its request was lost.
#[test]
fn closing_a_listener_resets_no_established_connection() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let clients: Vec<_> = (0..CLIENTS).map(|_| start_client(address)).collect();
    let open_until = Instant::now() + OPEN_FOR;
    while Instant::now() < open_until {
        answer_waiting(listener.get_ref());
    }
    smol::block_on(close_listener(listener, async |listener: &TcpListener| {
        answer_waiting(listener);
        sleep(STALL);
    }));
    let unanswered: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(unanswered, 0, "connections closed without a response");
}
