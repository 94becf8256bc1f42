//! A node on loopback, and engines and a discovery that answer as each test says. Every wait ends by itself.

use nickelgw_platform::config::NodeConfig;
use nickelgw_platform::SignalSender;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Far above scheduling noise.
pub const LONG: Duration = Duration::from_secs(10);

/// What a peer does with a request.
pub enum Then {
    Answer(Vec<u8>),
    /// Writes this and closes.
    Break(Vec<u8>),
    /// Says nothing until the far side closes.
    Hold,
    /// Writes the first, then the second again and again until the far side closes.
    Endless(&'static str, &'static str),
    /// Does this with its connection, which then stays.
    Do(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

/// A machine that is cut off: connections to it never come up, as nobody takes those that wait at it.
pub struct CutOff {
    pub address: SocketAddr,
    listener: TcpListener,
    _held: Vec<TcpStream>,
}

impl CutOff {
    /// The machine is back: it takes all connections for so long, and counts the bytes that are sent on them.
    pub fn bytes_when_back(&self, within: Duration) -> usize {
        self.text_when_back(within).len()
    }

    /// The machine is back: what is sent on the connections that it takes for so long.
    pub fn text_when_back(&self, within: Duration) -> String {
        self.listener.set_nonblocking(true).unwrap();
        let (mut all, mut text) = (Vec::new(), String::new());
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok((c, _)) = self.listener.accept() {
                c.set_nonblocking(true).unwrap();
                all.push(c);
            }
            for c in &mut all {
                let mut some = [0; 512];
                let n = c.read(&mut some).unwrap_or(0);
                text.push_str(&String::from_utf8_lossy(&some[..n]));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        text
    }
}

pub fn cut_off() -> CutOff {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(c) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        held.push(c);
        assert!(held.len() < 10_000, "it takes all that come");
    }
    CutOff { address, listener, _held: held }
}

#[derive(Clone)]
pub struct Peer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

fn request(c: &mut TcpStream) -> Option<String> {
    let (mut all, mut some) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&all).to_string();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                return Some(text);
            }
        }
        let n = c.read(&mut some).ok().filter(|n| *n > 0)?;
        all.extend_from_slice(&some[..n]);
    }
}

/// A peer that does with its nth request what it is told; calls that let go of states are always answered.
pub fn peer(does: impl Fn(&str, usize) -> Then + Send + Sync + 'static) -> Peer {
    peer_at(TcpListener::bind("127.0.0.1:0").unwrap(), does)
}

pub fn peer_at(listener: TcpListener, does: impl Fn(&str, usize) -> Then + Send + Sync + 'static) -> Peer {
    let p = Peer { address: listener.local_addr().unwrap(), seen: Arc::default() };
    let (seen, does) = (p.seen.clone(), Arc::new(does));
    std::thread::spawn(move || {
        for c in listener.incoming() {
            let (mut c, seen, does) = (c.unwrap(), seen.clone(), does.clone());
            std::thread::spawn(move || {
                while let Some(r) = request(&mut c) {
                    let n = {
                        let mut seen = seen.lock().unwrap();
                        seen.push(r.clone());
                        seen.iter().filter(|r| r.starts_with("POST")).count()
                    };
                    let then = match r.starts_with("DELETE") {
                        true => Then::Answer(plain("204 No Content", "")),
                        false => does(&r, n),
                    };
                    match then {
                        Then::Answer(bytes) if c.write_all(&bytes).is_ok() => {}
                        Then::Answer(_) => return,
                        Then::Break(bytes) => return drop(c.write_all(&bytes)),
                        Then::Do(does) => does(&mut c),
                        Then::Endless(first, more) => {
                            let mut going = c.write_all(first.as_bytes()).is_ok();
                            while going {
                                going = c.write_all(more.as_bytes()).is_ok();
                            }
                            return;
                        }
                        Then::Hold => {
                            let _ = c.read(&mut [0]);
                            seen.lock().unwrap().push("CLOSED".into());
                            return;
                        }
                    }
                }
            });
        }
    });
    p
}

impl Peer {
    pub fn seen(&self, what: &str) -> Vec<String> {
        self.seen.lock().unwrap().iter().filter(|r| r.starts_with(what)).cloned().collect()
    }

    /// Waits until it has seen one of these.
    pub fn wait(&self, what: &str) -> String {
        let until = Instant::now() + LONG;
        loop {
            if let Some(r) = self.seen(what).into_iter().next() {
                return r;
            }
            assert!(Instant::now() < until, "never saw {what}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

pub fn plain(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub fn reader() -> Peer {
    peer(|_, _| Then::Answer(plain("202 Accepted", r#"{"cached_tokens":4}"#)))
}

pub const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
pub const EVENTS: [&str; 2] = ["data: {\"n\":1}\n\n", "data: [DONE]\n\n: X-Load-Report: x0=0.1,x1=0\n\n"];

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

pub fn stream() -> Vec<u8> {
    format!("{HEAD}{}{}0\r\n\r\n", chunk(EVENTS[0]), chunk(EVENTS[1])).into_bytes()
}

pub struct World {
    pub node: SocketAddr,
    pub signals: SignalSender,
    pub ended: std::thread::JoinHandle<()>,
}

fn entry(id: &str, kind: &str, p: &Peer) -> Value {
    line(id, kind, "a", p.address)
}

pub fn line(id: &str, kind: &str, zone: &str, address: SocketAddr) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": zone, "machineType": kind, "cell": 1,
        "lifecycle": "up", "weight": 1.0, "startedAtMs": 0})
}

pub fn list(readers: &[&Peer], writers: &[&Peer]) -> Value {
    let r = readers.iter().enumerate().map(|(n, p)| entry(&format!("r{n}"), "m1", p));
    let w = writers.iter().enumerate().map(|(n, p)| entry(&format!("w{n}"), "m2", p));
    json!({"generation": 3, "reset": true, "instances": r.chain(w).collect::<Vec<_>>()})
}

/// The whole of what a node is told at its start.
pub fn config(listen: &str, discovery: &str, known: Value) -> Value {
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f", "known": known,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {"accounts": [], "az": "a", "balancers": 1, "charges": {"cross_zone": 0.01},
            "classes": [{"name": "chat", "slo_s": 1.0, "idempotency": "pure", "worth": 1.0}],
            "family_info": {"aim_us_per_1000_prompt_tokens": [40000.0], "kind_memory_tokens": [90000, 90000],
                "local_read": false, "release_s": 0.5, "role_by_kind": ["read", "write"], "resume": true,
                "token_aim_s": [0.06], "transfer_price": 0.04},
            "kinds": ["m1", "m2"], "zones": ["a"], "my_number": 0, "tick_s": 0.004,
            "limits": {"cancel": true, "most_tries": 4, "probes": false, "retry_after": false,
                "connect_timeout_s": 0.25, "idle_close_s": 15.0, "max_open": 100},
            "reporting": {"how": "piggyback", "fields": ["x0", "x1"]},
            "rules": {"stop_sending_within_s": 1.0, "cold_from": 0.3, "fall_s": 2.0, "tip_multiple": 3.0, "warm_within_s": 9.0}}})
}

/// A node that knows these engines; `path`: where a new configuration is read.
pub fn node(
    discovery: &Peer,
    readers: &[&Peer],
    writers: &[&Peer],
    path: Option<std::path::PathBuf>,
) -> World {
    node_of(discovery, list(readers, writers), path, |_| {})
}

/// A node that knows these lines, with something else in its configuration.
pub fn node_of(
    discovery: &Peer,
    known: Value,
    path: Option<std::path::PathBuf>,
    but: impl Fn(&mut Value),
) -> World {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = listener.local_addr().unwrap();
    let mut told = config(&node.to_string(), &discovery.address.to_string(), known);
    but(&mut told);
    let start = NodeConfig::parse(&told, |_| None).map_err(|e| e.0).unwrap();
    let (orders, told) = nickelgw_platform::signal_channel();
    let work = move || smol::block_on(nickelgw_platform::run(listener, start, path, told)).unwrap();
    World { node, signals: orders, ended: std::thread::spawn(work) }
}

/// A discovery that tells nothing new.
pub fn silent() -> Peer {
    peer(|_, _| Then::Hold)
}

/// A client's request.
pub fn ask(id: &str) -> String {
    let body = r#"{"model":"chat","stream":true,"messages":[]}"#;
    format!(
        "POST /v1/chat/completions?v=2 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: chat\r\n\
         X-Route-Hash: 7f3a\r\nX-Budget-Ms: 4000\r\nX-Call-Info: prompt_len=20,prefix_len=0,max_out=9\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl World {
    pub fn client(&self) -> TcpStream {
        let c = TcpStream::connect(self.node).unwrap();
        c.set_read_timeout(Some(LONG)).unwrap();
        c
    }

    /// A client whose request has come to the writer.
    pub fn open(&self, id: &str, writer: &Peer) -> TcpStream {
        let mut c = self.client();
        c.write_all(ask(id).as_bytes()).unwrap();
        writer.wait("POST");
        c
    }

    /// What the node answers to these bytes, up to its end or the close.
    pub fn say(&self, bytes: &[u8]) -> String {
        let mut c = self.client();
        let _ = c.write_all(bytes);
        answer(&mut c)
    }
}

/// An answer to its end: by its length, its last chunk, or the close.
pub fn answer(c: &mut TcpStream) -> String {
    let (mut all, mut some) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = all.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            if length.is_some_and(|l| body.len() >= l.parse().unwrap()) || body.ends_with("0\r\n\r\n") {
                return all;
            }
        }
        match c.read(&mut some) {
            Ok(n) if n > 0 => all.push_str(&String::from_utf8_lossy(&some[..n])),
            _ => return all,
        }
    }
}

/// What a client gets whose writer answers like this at first, and well when it is sent to again.
pub fn after_a_bad_answer(id: &str, first: impl Fn() -> Then + Send + Sync + 'static) -> String {
    let w = peer(move |_, n| match n {
        1 => first(),
        _ => Then::Answer(stream()),
    });
    let r = reader();
    node(&silent(), &[&r], &[&w], None).say(ask(id).as_bytes())
}
