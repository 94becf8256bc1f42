//! Test harness: a node on loopback, and engines and a discovery service that respond as each test needs.
//! Every wait has a timeout.

use nickelgw_platform::config::NodeConfig;
use nickelgw_platform::SignalSender;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of waits, far above scheduling noise.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// What a peer does with a request.
pub enum PeerAction {
    /// Writes this response.
    Respond(Vec<u8>),
    /// Writes this response and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Writes nothing until the node closes the connection.
    Stall,
    /// Writes the first text, then the second one repeatedly until the node closes the connection.
    RespondEndlessly(&'static str, &'static str),
    /// Calls this function with the connection, which then stays open.
    UseConnection(Box<dyn FnOnce(&mut TcpStream) + Send>),
}

/// A host that cannot be reached: connections to it are never established, since its backlog is full.
pub struct UnreachableHost {
    pub address: SocketAddr,
    listener: TcpListener,
    _backlog: Vec<TcpStream>,
}

impl UnreachableHost {
    /// Lets the host recover and accept connections for this time. Returns the number of bytes sent on them.
    pub fn bytes_after_recovery(&self, within: Duration) -> usize {
        self.text_after_recovery(within).len()
    }

    /// Lets the host recover and accept connections for this time. Returns the text sent on them.
    pub fn text_after_recovery(&self, within: Duration) -> String {
        self.listener.set_nonblocking(true).unwrap();
        let (mut connections, mut text) = (Vec::new(), String::new());
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if let Ok((connection, _)) = self.listener.accept() {
                connection.set_nonblocking(true).unwrap();
                connections.push(connection);
            }
            for connection in &mut connections {
                let mut bytes = [0; 512];
                let n = connection.read(&mut bytes).unwrap_or(0);
                text.push_str(&String::from_utf8_lossy(&bytes[..n]));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        text
    }
}

pub fn unreachable_host() -> UnreachableHost {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut backlog = Vec::new();
    while let Ok(connection) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        backlog.push(connection);
        assert!(
            backlog.len() < 10_000,
            "the host accepts {} connections and its backlog is not full",
            backlog.len()
        );
    }
    UnreachableHost { address, listener, _backlog: backlog }
}

/// An engine or a discovery service, and the requests that it has received.
#[derive(Clone)]
pub struct Peer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

fn read_request(connection: &mut TcpStream) -> Option<String> {
    let (mut bytes_read, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes_read).to_string();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|header| header.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return Some(text);
            }
        }
        let n = connection.read(&mut bytes).ok().filter(|n| *n > 0)?;
        bytes_read.extend_from_slice(&bytes[..n]);
    }
}

/// Starts a peer that handles requests by this function, which is given a request's text and the number of
/// POST requests received so far. Release calls are always answered.
pub fn peer(act: impl Fn(&str, usize) -> PeerAction + Send + Sync + 'static) -> Peer {
    peer_on(TcpListener::bind("127.0.0.1:0").unwrap(), act)
}

pub fn peer_on(
    listener: TcpListener,
    act: impl Fn(&str, usize) -> PeerAction + Send + Sync + 'static,
) -> Peer {
    let peer = Peer::at(listener.local_addr().unwrap());
    let (received, act) = (peer.received.clone(), Arc::new(act));
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            let (mut connection, received, act) = (connection.unwrap(), received.clone(), act.clone());
            std::thread::spawn(move || {
                while let Some(text) = read_request(&mut connection) {
                    let post_count = {
                        let mut received = received.lock().unwrap();
                        received.push(text.clone());
                        received.iter().filter(|request| request.starts_with("POST")).count()
                    };
                    let action = match text.starts_with("DELETE") {
                        true => PeerAction::Respond(http_response("204 No Content", "")),
                        false => act(&text, post_count),
                    };
                    match action {
                        PeerAction::Respond(bytes) if connection.write_all(&bytes).is_ok() => {}
                        PeerAction::Respond(_) => return,
                        PeerAction::RespondAndClose(bytes) => return drop(connection.write_all(&bytes)),
                        PeerAction::UseConnection(handle) => handle(&mut connection),
                        PeerAction::RespondEndlessly(first, more) => {
                            let mut connected = connection.write_all(first.as_bytes()).is_ok();
                            while connected {
                                connected = connection.write_all(more.as_bytes()).is_ok();
                            }
                            return;
                        }
                        PeerAction::Stall => {
                            let _ = connection.read(&mut [0]);
                            received.lock().unwrap().push("CLOSED".into());
                            return;
                        }
                    }
                }
            });
        }
    });
    peer
}

impl Peer {
    /// Returns a peer that serves at this address and does not report what it receives.
    pub fn at(address: SocketAddr) -> Peer {
        Peer { address, received: Arc::default() }
    }

    /// Returns the received requests that begin with `prefix`. `CLOSED` stands for a connection that the node
    /// closed while the peer stalled.
    pub fn received(&self, prefix: &str) -> Vec<String> {
        self.received.lock().unwrap().iter().filter(|request| request.starts_with(prefix)).cloned().collect()
    }

    /// Waits until the peer has received a request that begins with `prefix`, and returns the request.
    pub fn wait_for(&self, prefix: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(request) = self.received(prefix).into_iter().next() {
                return request;
            }
            assert!(
                Instant::now() < deadline,
                "no request that begins with {prefix} was received within {TEST_TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

pub fn http_response(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub fn prefill_engine() -> Peer {
    peer(|_, _| PeerAction::Respond(http_response("202 Accepted", r#"{"cached_tokens":4}"#)))
}

pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
pub const EVENTS: [&str; 2] = ["data: {\"n\":1}\n\n", "data: [DONE]\n\n: X-Load-Report: x0=0.1,x1=0\n\n"];

pub const DONE_EVENT: &str = "data: [DONE]\n\n";

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

pub fn stream_response() -> Vec<u8> {
    format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(EVENTS[0]), chunk(EVENTS[1])).into_bytes()
}

pub struct TestNode {
    pub address: SocketAddr,
    pub signals: SignalSender,
    pub thread: std::thread::JoinHandle<()>,
}

fn peer_entry(id: &str, kind: &str, peer: &Peer) -> Value {
    endpoint_entry(id, kind, "a", peer.address)
}

pub fn endpoint_entry(id: &str, kind: &str, zone: &str, address: SocketAddr) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": zone, "machineType": kind, "cell": 1,
        "lifecycle": "up", "weight": 1.0, "startedAtMs": 0})
}

pub fn endpoint_list(prefill_engines: &[&Peer], decode_engines: &[&Peer]) -> Value {
    let prefill =
        prefill_engines.iter().enumerate().map(|(n, peer)| peer_entry(&format!("r{n}"), "m1", peer));
    let decode = decode_engines.iter().enumerate().map(|(n, peer)| peer_entry(&format!("w{n}"), "m2", peer));
    json!({"generation": 3, "reset": true, "instances": prefill.chain(decode).collect::<Vec<_>>()})
}

/// Returns the whole configuration of a node.
pub fn node_config(listen: &str, discovery: &str, known: Value) -> Value {
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

/// Starts a node that knows these engines. `path` is the configuration file that it reads when it reloads.
pub fn start_node(
    discovery: &Peer,
    prefill_engines: &[&Peer],
    decode_engines: &[&Peer],
    path: Option<std::path::PathBuf>,
) -> TestNode {
    start_node_with(discovery, endpoint_list(prefill_engines, decode_engines), path, |_| {})
}

/// Starts a node that knows this endpoint list. `change` modifies its configuration.
pub fn start_node_with(
    discovery: &Peer,
    known: Value,
    path: Option<std::path::PathBuf>,
    change: impl Fn(&mut Value),
) -> TestNode {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut config = node_config(&address.to_string(), &discovery.address.to_string(), known);
    change(&mut config);
    let parsed_config = NodeConfig::parse(&config, |_| None).map_err(|error| error.0).unwrap();
    let (signals, receiver) = nickelgw_platform::signal_channel();
    let serve =
        move || smol::block_on(nickelgw_platform::run(listener, parsed_config, path, receiver)).unwrap();
    TestNode { address, signals, thread: std::thread::spawn(serve) }
}

/// Starts a discovery service that never responds.
pub fn silent_discovery() -> Peer {
    peer(|_, _| PeerAction::Stall)
}

/// Returns a client's chat request with this id.
pub fn chat_request(id: &str) -> String {
    let body = r#"{"model":"chat","stream":true,"messages":[]}"#;
    format!(
        "POST /v1/chat/completions?v=2 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: chat\r\n\
         X-Route-Hash: 7f3a\r\nX-Budget-Ms: 4000\r\nX-Call-Info: prompt_len=20,prefix_len=0,max_out=9\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl TestNode {
    pub fn connect(&self) -> TcpStream {
        let connection = TcpStream::connect(self.address).unwrap();
        connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        connection
    }

    /// Connects a client, sends its request, and waits until the request has reached this engine.
    pub fn open_request(&self, id: &str, engine: &Peer) -> TcpStream {
        let mut connection = self.connect();
        connection.write_all(chat_request(id).as_bytes()).unwrap();
        engine.wait_for("POST");
        connection
    }

    /// Returns the node's response to these bytes, up to its end or the close of the connection.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut connection = self.connect();
        let _ = connection.write_all(bytes);
        read_response(&mut connection)
    }
}

/// Reads a response to its end, which is stated by its length, its last chunk, or the close of the
/// connection.
pub fn read_response(connection: &mut TcpStream) -> String {
    let (mut bytes_read, mut bytes) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = bytes_read.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|header| header.strip_prefix("content-length: "));
            if length.is_some_and(|length| body.len() >= length.parse().unwrap())
                || body.ends_with("0\r\n\r\n")
            {
                return bytes_read;
            }
        }
        match connection.read(&mut bytes) {
            Ok(n) if n > 0 => bytes_read.push_str(&String::from_utf8_lossy(&bytes[..n])),
            _ => return bytes_read,
        }
    }
}

/// Returns the response to a client whose decode engine handles the first attempt by `first`, so that it
/// fails, and serves the retry.
pub fn response_after_failed_attempt(
    id: &str,
    first: impl Fn() -> PeerAction + Send + Sync + 'static,
) -> String {
    let decode = peer(move |_, n| match n {
        1 => first(),
        _ => PeerAction::Respond(stream_response()),
    });
    let prefill = prefill_engine();
    start_node(&silent_discovery(), &[&prefill], &[&decode], None).exchange(chat_request(id).as_bytes())
}
