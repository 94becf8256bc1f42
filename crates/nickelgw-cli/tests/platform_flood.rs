//! One client of the `platform` command sends small or unsound requests at full speed: the others are served meanwhile,
//! and memory stays where it is.

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;
#[allow(dead_code)]
mod processes;

use common::*;
use processes::{connect, quick_engine, start_node_with};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time for which the client sends at full speed.
const DURATION: Duration = Duration::from_secs(4);
/// Time within which a usual request is served beside it: the time within which an event has to be forwarded.
const SERVED_WITHIN: Duration = Duration::from_millis(300);
/// Memory by which a node may grow while it is flooded: buffers of one connection and tables of fixed size.
const MAX_GROWTH_KB: usize = 6 * 1024;

/// Start of each response.
const STATUS_LINE: &[u8] = b"HTTP/1.1 ";

/// What a client sends at full speed, again and again.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Requests that are served.
    Sound,
    /// The same, far ahead of their answers.
    SoundAhead,
    /// Requests with 1 ms left, which are rejected at once.
    LittleTime,
    /// The same, under ever new long names of everything that a client may name.
    NewNames,
    /// Requests for a path that does not exist.
    UnknownPath,
    /// Requests of an unknown class under ever new names.
    UnknownClass,
    /// Bytes that are no request.
    Noise,
    /// Empty lines.
    EmptyLines,
    /// One body of very small chunks that never ends.
    SmallChunks,
    /// One request under an id that is open.
    SameId,
}

impl Flood {
    /// Largest number of unanswered requests: one that sends more than a request's greatest size ahead is refused.
    fn max_unanswered(self) -> usize {
        match self {
            Flood::Sound | Flood::LittleTime | Flood::SameId => 300,
            Flood::NewNames => 30,
            _ => usize::MAX / 2,
        }
    }

    /// Bytes that are sent once, before the others.
    fn start(self) -> String {
        match self {
            Flood::SmallChunks => {
                let head = chat_request("chunks");
                let head = head.split("Content-Length").next().unwrap();
                format!("{head}Transfer-Encoding: chunked\r\n\r\n")
            }
            _ => String::new(),
        }
    }

    /// The bytes that are sent for the `number`th time.
    fn bytes(self, number: usize) -> String {
        let id = format!("flood-{number}");
        let little_time = || chat_request(&id).replace("X-Budget-Ms: 4000", "X-Budget-Ms: 1");
        match self {
            Flood::Sound | Flood::SoundAhead => chat_request(&id),
            Flood::LittleTime => little_time(),
            Flood::NewNames => {
                let name = format!("{number}-{}", "n".repeat(1000));
                little_time()
                    .replace("X-Route-Hash: 7f3a", &format!("X-Route-Hash: {name}\r\nX-Caller: {name}"))
                    .replace("prompt_len", &format!("prefix={name},prompt_len"))
            }
            Flood::UnknownPath => "GET /no/such/path HTTP/1.1\r\nHost: x\r\n\r\n".into(),
            Flood::UnknownClass => {
                chat_request(&id).replace("X-Call-Class: chat", &format!("X-Call-Class: c{number}"))
            }
            Flood::Noise => "no request\r\n\r\n".into(),
            Flood::EmptyLines => "\r\n".repeat(500),
            Flood::SmallChunks => "1\r\n \r\n".repeat(200),
            Flood::SameId => chat_request("same"),
        }
    }
}

/// A client that sends at full speed, on a new connection whenever its last one was closed, and reads what comes.
struct Flooder {
    running: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    thread: JoinHandle<()>,
}

impl Flooder {
    fn start(node: SocketAddr, flood: Flood) -> Flooder {
        let (running, sent) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
        let (still_running, count) = (running.clone(), sent.clone());
        let thread = spawn(move || {
            while still_running.load(Relaxed) {
                flood_connection(node, flood, &still_running, &count);
            }
        });
        Flooder { running, sent, thread }
    }

    fn stop(self) -> usize {
        self.running.store(false, Relaxed);
        self.thread.join().unwrap();
        self.sent.load(Relaxed)
    }
}

fn flood_connection(node: SocketAddr, flood: Flood, running: &AtomicBool, count: &AtomicUsize) {
    let Ok(mut client) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else { return };
    client.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut reading = client.try_clone().unwrap();
    let (answered, is_open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(true)));
    let (answers, still_open) = (answered.clone(), is_open.clone());
    let reader = spawn(move || {
        let mut bytes = [0; 16 * 1024];
        while let Ok(length) = reading.read(&mut bytes) {
            if length == 0 {
                break;
            }
            let starts =
                bytes[..length].windows(STATUS_LINE.len()).filter(|part| part == &STATUS_LINE).count();
            answers.fetch_add(starts, Relaxed);
        }
        still_open.store(false, Relaxed);
        let _ = reading.shutdown(Shutdown::Both);
    });
    let mut written = client.write_all(flood.start().as_bytes()).is_ok();
    let mut unanswered = 0;
    while written && is_open.load(Relaxed) && running.load(Relaxed) {
        if unanswered >= flood.max_unanswered() + answered.load(Relaxed) {
            sleep(Duration::from_micros(50));
            continue;
        }
        unanswered += 1;
        let number = count.fetch_add(1, Relaxed);
        written = client.write_all(flood.bytes(number).as_bytes()).is_ok();
    }
    let _ = client.shutdown(Shutdown::Both);
    reader.join().unwrap();
}

/// Regression test: while one client sent at full speed, other clients got their answers late or never, or memory grew
/// without end.
#[test_case(1, Flood::Sound)]
#[test_case(2, Flood::LittleTime)]
#[test_case(3, Flood::NewNames)]
#[test_case(4, Flood::UnknownPath)]
#[test_case(5, Flood::UnknownClass)]
#[test_case(6, Flood::Noise)]
#[test_case(7, Flood::EmptyLines)]
#[test_case(8, Flood::SmallChunks)]
#[test_case(9, Flood::SameId)]
#[test_case(10, Flood::SoundAhead)]
fn usual_clients_are_served_beside_one_that_floods(address_byte: u8, flood: Flood) {
    let (prefill, decode) = (
        quick_engine(|| http_response("202 Accepted", r#"{"cached_tokens":4}"#)),
        quick_engine(stream_response),
    );
    let known = endpoint_list(&[&prefill], &[&decode]);
    let node = start_node_with(100 + address_byte, &silent_discovery(), known, 256, |_| {});
    node.wait_until_ready();
    for number in 0..20 {
        usual_request(node.address, &format!("before-{number}"));
    }
    let before_kb = node.anonymous_kb();
    let flooder = Flooder::start(node.address, flood);
    let (started_at, mut slowest, mut requests, mut failed) = (Instant::now(), Duration::ZERO, 0, Vec::new());
    while started_at.elapsed() < DURATION {
        let (response, took) = usual_request(node.address, &format!("usual-{requests}"));
        requests += 1;
        slowest = slowest.max(took);
        if !response.starts_with("HTTP/1.1 200") || !response.ends_with("0\r\n\r\n") {
            failed.push((took, response));
        }
        sleep(Duration::from_millis(20));
    }
    let after_kb = node.anonymous_kb();
    let sent = flooder.stop();
    println!("{flood:?}: {sent} sent, {requests} usual requests, slowest {slowest:?}, {} failed, {before_kb} to {after_kb} kB", failed.len());
    assert!(failed.is_empty(), "{failed:?}");
    assert!(slowest < SERVED_WITHIN, "a usual request took {slowest:?}");
    assert!(after_kb < before_kb + MAX_GROWTH_KB, "from {before_kb} to {after_kb} kB");
}

fn usual_request(node: SocketAddr, id: &str) -> (String, Duration) {
    let mut client = connect(node);
    client.write_all(chat_request(id).as_bytes()).unwrap();
    let sent_at = Instant::now();
    let response = read_response(&mut client);
    (response, sent_at.elapsed())
}
