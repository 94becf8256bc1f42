//! Stand-ins for the review's cases: engines, discovery and clients of the operators' platform on loopback,
//! the settings of a small deployment, and nodes started by the `run` line of the deploy file. Uses the
//! standard library alone.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the case runs with its disruption (`TROUBLE=0`: without).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Small generator of random numbers (xorshift64*).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 16
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() % (1 << 30)) as f64 / (1u64 << 30) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
}

/// Record of what was sent, answered and run, with times since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn say(&self, text: impl Into<String>) {
        let line = (self.now(), text.into());
        lock(&self.lines).push(line);
    }

    /// Writes the record with this verdict, and returns the exit code: 1 if the rule was broken.
    pub fn finish(&self, broken: &[String], summary: &str) -> i32 {
        let mut text = String::new();
        let _ = writeln!(text, "{}\ntrouble: {}\nrule broken: {} times", summary, trouble(), broken.len());
        for line in broken {
            let _ = writeln!(text, "BROKEN {line}");
        }
        let _ = writeln!(text);
        for (at, line) in lock(&self.lines).iter() {
            let _ = writeln!(text, "{at:9.4} {line}");
        }
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        if std::fs::write(&path, text).is_err() {
            return 2;
        }
        println!("{summary}; rule broken: {} times", broken.len());
        broken.iter().take(10).for_each(|line| println!("BROKEN {line}"));
        i32::from(!broken.is_empty())
    }
}

// ---------------------------------------------------------------------------------------------- messages

pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte of the message was read.
    pub first_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Appends what arrives to the buffer; `false` at the end of the connection.
pub fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes) {
        Ok(length) if length > 0 => {
            buffer.extend_from_slice(&bytes[..length]);
            true
        }
        _ => false,
    }
}

/// Reads one message whose body is delimited by its length.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut first_byte_at = (!buffer.is_empty()).then(Instant::now);
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end + 4;
        }
        if !fill(stream, buffer) {
            return None;
        }
        first_byte_at.get_or_insert_with(Instant::now);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next()?.to_string();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<_> = pairs.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect();
    let mut message = Message { first_line, headers, body: Vec::new(), first_byte_at: first_byte_at? };
    let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if !fill(stream, buffer) {
            return None;
        }
    }
    message.body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(message)
}

pub fn response(status: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{extra}Content-Length: {length}\r\n\r\n{body}")
}

pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The event number `number` of an engine's stream for this request; it names the request.
pub fn event(id: &str, number: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id} part {number} \"}},\"finish_reason\":null}}]}}\n\n")
}

/// The last events of a stream.
pub fn last_events(id: &str, events: usize) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id} end\"}},\"finish_reason\":\"stop\"}}]}}\n\n\
         data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":1000,\"completion_tokens\":{events},\"prompt_tokens_details\":{{\"cached_tokens\":500}}}}}}\n\n\
         data: [DONE]\n\n"
    )
}

// --------------------------------------------------------------------------------------------- deployment

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Read,
    Write,
}

/// What engines hold for one request.
#[derive(Default)]
struct Held {
    /// The engine that holds its read state.
    holder: Option<String>,
    /// Attempts that have arrived and not ended, and those of them at writers.
    out: i32,
    out_at_writers: i32,
    /// Since when a state is held while no attempt is out.
    since: Option<Instant>,
    events: Vec<String>,
}

/// What engines hold for requests.
#[derive(Default)]
pub struct States {
    held: Mutex<HashMap<String, Held>>,
    /// Times for which a state was held while no attempt was out, each with its request and what happened.
    pub spans: Mutex<Vec<(Duration, String, String)>>,
}

impl States {
    fn update<T>(&self, id: &str, event: String, change: impl FnOnce(&mut Held) -> T) -> T {
        let mut all = lock(&self.held);
        let held = all.entry(id.to_string()).or_default();
        held.events.push(event);
        let result = change(held);
        if held.holder.is_some() && held.out == 0 {
            held.since.get_or_insert_with(Instant::now);
        } else if let Some(since) = held.since.take() {
            lock(&self.spans).push((since.elapsed(), id.to_string(), held.events.join("; ")));
        }
        result
    }

    pub fn begins(&self, id: &str, engine: &Engine) {
        let event = format!("{:.3} attempt at {}", engine.record.now(), engine.id);
        self.update(id, event, |held| {
            held.out += 1;
            held.out_at_writers += i32::from(engine.role == Role::Write);
        });
    }

    pub fn ends(&self, id: &str, engine: &Engine) {
        let event = format!("{:.3} ended at {}", engine.record.now(), engine.id);
        self.update(id, event, |held| {
            held.out -= 1;
            held.out_at_writers -= i32::from(engine.role == Role::Write);
        });
    }

    pub fn hold(&self, id: &str, engine: &Engine) {
        let event = format!("{:.3} state held at {}", engine.record.now(), engine.id);
        self.update(id, event, |held| held.holder = Some(engine.id.clone()));
    }

    pub fn take(&self, id: &str, engine: &Engine) -> bool {
        let event = format!("{:.3} state taken by {}", engine.record.now(), engine.id);
        self.update(id, event, |held| held.holder.take().is_some())
    }

    /// A call that releases: it spares what an attempt that has arrived waits for.
    pub fn release(&self, id: &str, engine: &Engine) {
        let event = format!("{:.3} release call at {}", engine.record.now(), engine.id);
        self.update(id, event, |held| {
            if held.out_at_writers == 0 {
                held.holder = None;
            }
        });
    }

    /// Ends the spans that are still open.
    pub fn close(&self) {
        for (id, held) in lock(&self.held).iter_mut() {
            if let Some(since) = held.since.take() {
                lock(&self.spans).push((since.elapsed(), id.clone(), held.events.join("; ")));
            }
        }
    }
}

/// What an engine does beyond the ordinary.
#[derive(Default)]
pub struct Behaviour {
    /// One stream in this number is followed by a second answer; 0: none.
    pub second_answer_one_in: AtomicU64,
    /// Time of a read and of the wait for the first token.
    pub read_ms: AtomicU64,
    pub fetch_ms: AtomicU64,
    /// Number of events of a stream, and the time between two.
    pub events: AtomicU64,
    pub event_gap_ms: AtomicU64,
    /// While set, new connections do not come up; open ones are not touched.
    pub no_new_connections: AtomicBool,
}

pub struct Attempt {
    pub at: Instant,
    pub engine: String,
    pub id: String,
}

/// An engine on a loopback address.
pub struct Engine {
    pub id: String,
    pub role: Role,
    pub kind: &'static str,
    pub zone: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub behaviour: Behaviour,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    states: Arc<States>,
    record: Arc<Record>,
    random: Mutex<Random>,
    pub lifecycle: Mutex<&'static str>,
    inflight: AtomicU64,
}

impl Engine {
    pub fn start(
        id: &str,
        role: Role,
        kinds: [&'static str; 2],
        zone: &str,
        cell: u32,
        states: &Arc<States>,
        attempts: &Arc<Mutex<Vec<Attempt>>>,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Engine {
            id: id.to_string(),
            role,
            kind: if role == Role::Read { kinds[0] } else { kinds[1] },
            zone: zone.to_string(),
            cell,
            address: listener.local_addr().expect("an address"),
            behaviour: Behaviour {
                read_ms: 40.into(),
                fetch_ms: 8.into(),
                events: 20.into(),
                event_gap_ms: 60.into(),
                ..Behaviour::default()
            },
            attempts: attempts.clone(),
            states: states.clone(),
            record: record.clone(),
            random: Mutex::new(Random::new(id.bytes().map(u64::from).sum::<u64>() + 977)),
            lifecycle: Mutex::new("up"),
            inflight: AtomicU64::new(0),
        });
        let accepting = engine.clone();
        let _ = listener.set_nonblocking(true);
        spawn(move || {
            // Connections of the stand-in's own that fill the queue of the listener: the system then ignores
            // further handshakes.
            let mut fillers: Vec<TcpStream> = Vec::new();
            loop {
                if accepting.behaviour.no_new_connections.load(SeqCst) {
                    if fillers.is_empty() {
                        // SAFETY: a call on a descriptor that is open here.
                        unsafe { listen(listener.as_raw_fd(), 0) };
                        let fill = |_| TcpStream::connect_timeout(&accepting.address, ms(20)).ok();
                        fillers = (0..4).filter_map(fill).collect();
                    }
                    sleep(ms(2));
                    continue;
                }
                if !fillers.is_empty() {
                    fillers.clear();
                    // SAFETY: as above.
                    unsafe { listen(listener.as_raw_fd(), 128) };
                }
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_micros(200));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                let engine = accepting.clone();
                spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    pub fn entry(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.id, self.address, self.zone, self.kind, self.cell, lock(&self.lifecycle)
        )
    }

    fn report(&self) -> String {
        let inflight = self.inflight.load(SeqCst) as f64;
        format!("X-Load-Report: x0={:.3},x1={:.3}\r\n", (inflight * 0.01).min(0.9), inflight * 0.1)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let name = stream.peer_addr().map_or(0, |peer| peer.port());
        while let Some(message) = read_message(&mut stream, &mut buffer) {
            if !self.answer(&message, &mut stream, name) {
                return;
            }
        }
    }

    fn answer(&self, message: &Message, stream: &mut TcpStream, connection: u16) -> bool {
        if message.method() == "DELETE" {
            let id = message.path().rsplit('/').next().unwrap_or("");
            self.states.release(id, self);
            return stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok();
        }
        if message.method() == "GET" {
            let report = self.report();
            let body = report.trim_start_matches("X-Load-Report: ").trim();
            return stream.write_all(response("200 OK", &report, body).as_bytes()).is_ok();
        }
        let Some(id) = message.header("x-call-id").map(str::to_string) else {
            let _ = stream.write_all(response("404 Not Found", "", "{}").as_bytes());
            return false;
        };
        lock(&self.attempts).push(Attempt { at: message.first_byte_at, engine: self.id.clone(), id: id.clone() });
        self.record.say(format!("engine {} runs {id} (connection {connection})", self.id));
        self.inflight.fetch_add(1, SeqCst);
        self.states.begins(&id, self);
        let open = match self.role {
            Role::Read => self.read(&id, stream),
            Role::Write => self.write(&id, stream, connection),
        };
        self.states.ends(&id, self);
        self.inflight.fetch_sub(1, SeqCst);
        open
    }

    fn read(&self, id: &str, stream: &mut TcpStream) -> bool {
        sleep(ms(self.behaviour.read_ms.load(SeqCst)));
        self.states.hold(id, self);
        let report = self.report();
        stream.write_all(response("202 Accepted", &report, "{\"cached_tokens\":500}").as_bytes()).is_ok()
    }

    fn write(&self, id: &str, stream: &mut TcpStream, connection: u16) -> bool {
        if !self.states.take(id, self) {
            let gone = response("410 Gone", "X-Rejected: 1\r\n", "{}");
            return stream.write_all(gone.as_bytes()).is_ok();
        }
        sleep(ms(self.behaviour.fetch_ms.load(SeqCst)));
        let events = self.behaviour.events.load(SeqCst) as usize;
        if stream.write_all(format!("{STREAM_HEAD}{}", chunk(&event(id, 0))).as_bytes()).is_err() {
            return false;
        }
        for number in 1..events {
            sleep(ms(self.behaviour.event_gap_ms.load(SeqCst)));
            if stream.write_all(chunk(&event(id, number)).as_bytes()).is_err() {
                return false;
            }
        }
        let report = format!(": {}\n\n", self.report().trim());
        let end = format!("{}{}0\r\n\r\n", chunk(&last_events(id, events)), chunk(&report));
        if stream.write_all(end.as_bytes()).is_err() {
            return false;
        }
        self.record.say(format!("engine {} has ended the stream of {id} (connection {connection})", self.id));
        let one_in = self.behaviour.second_answer_one_in.load(SeqCst);
        let late_ms = {
            let mut random = lock(&self.random);
            (one_in > 0 && random.next() % one_in == 0).then(|| random.between(2.0, 10.0))
        };
        let Some(late_ms) = late_ms else { return true };
        sleep(Duration::from_secs_f64(late_ms / 1e3));
        self.record.say(format!(
            "engine {} writes a second answer for {id}, {late_ms:.1} ms late (connection {connection})",
            self.id
        ));
        let mut second = format!("{STREAM_HEAD}");
        (0..events).for_each(|number| second.push_str(&chunk(&event(id, number))));
        second.push_str(&format!("{}0\r\n\r\n", chunk(&last_events(id, events))));
        stream.write_all(second.as_bytes()).is_ok()
    }
}

// ---------------------------------------------------------------------------------------------- discovery

struct Changes {
    generation: u64,
    /// For each engine the generation of its last change, and its entry as the agent has it.
    changed: Vec<(u64, String, Arc<Engine>)>,
}

/// The discovery agent of one node.
pub struct Agent {
    pub address: SocketAddr,
    changes: Mutex<Changes>,
    news: Condvar,
    /// Time by which each answer comes late.
    pub slow_ms: AtomicU64,
    /// Set once the agent accepts no new connection.
    retired: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// Generations that were written to the node, each with the time.
    pub told: Mutex<Vec<(u64, Instant)>>,
    name: String,
    record: Arc<Record>,
}

impl Agent {
    pub fn start(name: &str, engines: &[Arc<Engine>], record: &Arc<Record>) -> Arc<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let agent = Arc::new(Agent {
            address: listener.local_addr().expect("an address"),
            changes: Mutex::new(Changes {
                generation: 1,
                changed: engines.iter().map(|engine| (1, engine.entry(), engine.clone())).collect(),
            }),
            news: Condvar::new(),
            slow_ms: AtomicU64::new(0),
            retired: AtomicBool::new(false),
            open: Mutex::default(),
            told: Mutex::default(),
            name: name.to_string(),
            record: record.clone(),
        });
        let accepting = agent.clone();
        let _ = listener.set_nonblocking(true);
        spawn(move || {
            while !accepting.retired.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ms(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                lock(&accepting.open).extend(stream.try_clone());
                let agent = accepting.clone();
                spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Accepts no new connection from now on, and closes the open ones after 1.5 s.
    pub fn retire(self: &Arc<Self>) {
        self.retired.store(true, SeqCst);
        let agent = self.clone();
        spawn(move || {
            sleep(ms(1500));
            lock(&agent.open).drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        });
    }

    /// Gives the agent the state that these engines have now, as the next generation of its list.
    pub fn changed(&self, ids: &[&str]) {
        let mut changes = lock(&self.changes);
        changes.generation += 1;
        let generation = changes.generation;
        for (changed, entry, engine) in &mut changes.changed {
            if ids.contains(&&*engine.id) {
                (*changed, *entry) = (generation, engine.entry());
            }
        }
        self.record.say(format!("agent {} has generation {generation}: {ids:?} changed", self.name));
        self.news.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer) {
            let query = message.path().split_once('?').map_or("", |(_, query)| query).to_string();
            let value = |name: &str| -> Option<u64> {
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
                pair.parse().ok()
            };
            let (generation, is_news, body) = self.body(value("since"), value("timeout_ms").unwrap_or(0));
            sleep(ms(self.slow_ms.load(SeqCst)));
            let written = stream.write_all(response("200 OK", "", &body).as_bytes()).is_ok();
            if is_news {
                lock(&self.told).push((generation, Instant::now()));
                self.record.say(format!("agent {} answered {} with {body}", self.name, message.path()));
            }
            if !written {
                return;
            }
        }
    }

    /// The generation of an answer, whether it holds entries, and its body.
    fn body(&self, since: Option<u64>, timeout_ms: u64) -> (u64, bool, String) {
        let deadline = Instant::now() + ms(timeout_ms.min(60_000));
        let mut changes = lock(&self.changes);
        if let Some(since) = since {
            while changes.generation <= since {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                changes = self.news.wait_timeout(changes, left).unwrap_or_else(PoisonError::into_inner).0;
            }
        }
        let entries = changes.changed.iter().filter(|(changed, ..)| since.is_none_or(|since| *changed > since));
        let entries: Vec<&str> = entries.map(|(_, entry, _)| &**entry).collect();
        let body = format!(
            "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
            changes.generation,
            since.is_none(),
            entries.join(",")
        );
        (changes.generation, !entries.is_empty(), body)
    }
}

// -------------------------------------------------------------------------------------------------- nodes

pub struct NodeSettings<'a> {
    pub name: &'a str,
    pub number: usize,
    pub balancers: usize,
    pub zones: &'a [&'a str],
    pub zone: &'a str,
    /// Names of the machine kinds that read and that write.
    pub kinds: [&'static str; 2],
    /// Classes as JSON, and for each the token's aim and the aim's growth.
    pub classes: &'a str,
    pub token_aims_s: &'a str,
    pub aims_us: &'a str,
    pub accounts: &'a str,
    pub drain_grace_s: f64,
    pub tip_multiple: f64,
    pub fall_s: f64,
    pub probes: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub resume: bool,
    pub reporting: &'a str,
    pub idle_close_s: f64,
    pub marks_retry: bool,
}

/// The settings of a small deployment of the site kolonka-cz.
pub const KOLONKA: NodeSettings<'static> = NodeSettings {
    name: "n0",
    number: 0,
    balancers: 1,
    zones: &["praha", "brno"],
    zone: "praha",
    kinds: ["prefill", "decode"],
    classes: r#"[{"name":"chat","deadline_s":6.0,"group":"all","idempotency":"pure","late_worth":0.1,"memory_span_s":5.0,"slo_s":1.2,"streaming":true,"worth":3.0},
        {"name":"doklady","deadline_s":10.0,"group":"all","idempotency":"pure","late_worth":0.3,"memory_span_s":5.0,"slo_s":2.5,"streaming":true,"worth":1.0},
        {"name":"kontrola","deadline_s":10.0,"group":"all","idempotency":"pure","late_worth":0.3,"memory_span_s":5.0,"slo_s":2.0,"streaming":true,"worth":1.0}]"#,
    token_aims_s: "[0.06,0.08,0.08]",
    aims_us: "[40000.0,120000.0,40000.0]",
    accounts: r#"[{"name":"vltava-ucetni","quota_per_s":10.0,"share":0.52},{"name":"moravske-dane","quota_per_s":6.0,"share":0.31},{"name":"kolonka-web","quota_per_s":4.0,"share":0.17}]"#,
    drain_grace_s: 2.0,
    tip_multiple: 3.0,
    fall_s: 3.0,
    probes: true,
    second_copies: true,
    retry_after: false,
    resume: true,
    reporting: r#"{"fields":["x0","x1"],"how":"piggyback"}"#,
    idle_close_s: 15.0,
    marks_retry: true,
};

/// The settings of a small deployment of the site estacionamiento-mvd.
pub const ESTACIONAMIENTO: NodeSettings<'static> = NodeSettings {
    name: "n0",
    number: 0,
    balancers: 1,
    zones: &["sala-centro"],
    zone: "sala-centro",
    kinds: ["lectura", "respuesta"],
    classes: r#"[{"name":"consulta","deadline_s":5.0,"group":"all","idempotency":"pure","late_worth":0.3,"memory_span_s":5.0,"slo_s":1.0,"streaming":true,"worth":1.0},
        {"name":"multa","deadline_s":15.0,"group":"all","idempotency":"pure","late_worth":0.1,"memory_span_s":5.0,"slo_s":3.0,"streaming":true,"worth":3.0}]"#,
    token_aims_s: "[0.05,0.08]",
    aims_us: "[60000.0,120000.0]",
    accounts: "[]",
    drain_grace_s: 0.25,
    tip_multiple: 2.5,
    fall_s: 1.0,
    probes: false,
    second_copies: false,
    retry_after: true,
    resume: false,
    reporting: r#"{"fields":[],"how":"silent"}"#,
    idle_close_s: 30.0,
    marks_retry: false,
};

/// The settings of a small deployment of the site khi-screening.
pub const KHI: NodeSettings<'static> = NodeSettings {
    name: "n0",
    number: 0,
    balancers: 1,
    zones: &["khi-korangi", "khi-clifton", "khi-saddar"],
    zone: "khi-korangi",
    kinds: ["prompt-box", "answer-main"],
    classes: r#"[{"name":"quick-score","deadline_s":4.0,"group":"all","idempotency":"pure","late_worth":0.1,"memory_span_s":5.0,"slo_s":0.8,"streaming":true,"worth":2.0},
        {"name":"report-chat","deadline_s":15.0,"group":"all","idempotency":"pure","late_worth":0.1,"memory_span_s":5.0,"slo_s":3.0,"streaming":true,"worth":2.0},
        {"name":"final-decision","deadline_s":6.0,"group":"all","idempotency":"side_effect","late_worth":0.2,"memory_span_s":5.0,"slo_s":1.2,"streaming":true,"worth":5.0}]"#,
    token_aims_s: "[0.05,0.08,0.06]",
    aims_us: "[60000.0,40000.0,40000.0]",
    accounts: "[]",
    drain_grace_s: 1.0,
    tip_multiple: 2.5,
    fall_s: 1.0,
    probes: true,
    second_copies: false,
    retry_after: true,
    resume: false,
    reporting: r#"{"fields":["concurrent","depth","x0","x1"],"how":"piggyback"}"#,
    idle_close_s: 15.0,
    marks_retry: false,
};

impl NodeSettings<'_> {
    fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let quoted: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be9{number:02x}",
"limits":{{"cores":1.0,"memory_mb":96,"sockets":1024}},
"known":{{"generation":1,"reset":true,"instances":[{known}]}},
"settings":{{"accounts":{accounts},"az":"{zone}","balancers":{balancers},
"charges":{{"connection":0.0,"cross_zone":0.01,"handshake":0.0,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.003,"registry_mode":0.0,"waste":0.05}},
"classes":{classes},"client_habits":{{"marks_retry":{marks}}},"family":"twostage",
"family_info":{{"aim_us_per_1000_prompt_tokens":{aims_us},"kind_memory_tokens":[220000,140000],"local_read":false,"may_reserve":false,"release_s":0.5,"resume":{resume},"role_by_kind":["read","write"],"token_aim_s":{token_aims},"transfer_price":0.04}},
"goal":{{"whole":0.4,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.3}},"kinds":["{reads}","{writes}"],
"limits":{{"cancel":true,"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"idle_close_s":{idle},"max_open":20000,"max_retry_after_s":2.0,"most_tries":6,"peers":false,"probes":{probes},"retry_after":{retry_after},"second_copies":{copies},"streams_per_conn":32}},
"my_number":{number},"over_share_worth":0.05,"registry_mode":"automatic","reporting":{reporting},
"rules":{{"answer_slack_s":0.016,"ask_within_s":10.0,"cold_from":0.36,"fall_s":{fall},"stop_sending_within_s":{grace},"tip_multiple":{tip},"warm_within_s":13.0}},
"stages":["model-fleet"],"tick_s":0.004,"tier":0,"weights":"silent","worth_by":"work","zones":[{zones}]}}}}"#,
            name = self.name,
            number = self.number,
            reads = self.kinds[0],
            writes = self.kinds[1],
            accounts = self.accounts,
            zone = self.zone,
            balancers = self.balancers,
            classes = self.classes,
            marks = self.marks_retry,
            aims_us = self.aims_us,
            resume = self.resume,
            token_aims = self.token_aims_s,
            idle = self.idle_close_s,
            probes = self.probes,
            retry_after = self.retry_after,
            copies = self.second_copies,
            reporting = self.reporting,
            fall = self.fall_s,
            grace = self.drain_grace_s,
            tip = self.tip_multiple,
            zones = quoted.join(","),
        )
    }
}

/// A node, started by the `run` line of the deploy file; dropping it ends it.
pub struct Node {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
    config: String,
    discovery: SocketAddr,
}

/// The root folder of the repository, from which the deploy file's commands are run.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

fn run_line() -> String {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run line");
    line.split('"').next().unwrap_or("").to_string()
}

impl Node {
    pub fn start(settings: &NodeSettings, agent: &Agent, engines: &[Arc<Engine>], folder: &Path) -> Node {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = free.local_addr().expect("an address");
        drop(free);
        let folder = folder.join(settings.name);
        std::fs::create_dir_all(folder.join("tmp")).expect("a folder");
        let known: Vec<String> = engines.iter().map(|engine| engine.entry()).collect();
        let config = folder.join("config.json");
        let text = settings.config(address, agent.address, &known.join(","));
        std::fs::write(&config, &text).expect("a file");
        let log = std::fs::File::create(folder.join("log.txt")).expect("a file");
        let mut command = Command::new("/bin/sh");
        // A node does not outlive the case, however that ends.
        let end_with_parent = || {
            // SAFETY: one system call without pointers, for the child alone.
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
            Ok(())
        };
        // SAFETY: the closure makes only that call.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &run_line()])
            .current_dir(root())
            .env("RELAY_NAME", settings.name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", agent.address.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .process_group(0)
            .spawn()
            .expect("a node");
        let node = Node { address, child, folder, config: text, discovery: agent.address };
        let deadline = Instant::now() + Duration::from_secs(30);
        while !node.is_ready() {
            if Instant::now() > deadline {
                eprintln!("the node is not ready");
                drop(node);
                std::process::exit(2);
            }
            sleep(ms(20));
        }
        node
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n");
        let mut buffer = Vec::new();
        read_message(&mut stream, &mut buffer).is_some_and(|message| message.first_line.contains(" 200"))
    }

    /// Replaces the configuration file by one that names another discovery, and sends SIGHUP.
    pub fn move_discovery(&mut self, to: SocketAddr) {
        let (old, new) = (format!("\"discovery\":\"{}\"", self.discovery), format!("\"discovery\":\"{to}\""));
        self.config = self.config.replacen(&old, &new, 1);
        self.discovery = to;
        let next = self.folder.join("config.next");
        std::fs::write(&next, &self.config).expect("a file");
        std::fs::rename(&next, self.folder.join("config.json")).expect("a file");
        self.signal(SIGHUP);
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to a process that this one has started and not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder of its own below the system's folder for temporary files; dropping it removes it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
        let path = std::env::temp_dir().join(format!("review-{}-{since}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// ------------------------------------------------------------------------------------------------ clients

/// How a request ended for its client.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// The events, if the status is 200.
    pub content: String,
    /// Whether the last chunk came.
    pub whole: bool,
    pub timed_out: bool,
}

pub struct RequestText<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub caller: &'a str,
    pub session: u64,
    pub prefix: u64,
    pub budget_ms: u64,
    pub prompt_tokens: usize,
    pub prefix_tokens: usize,
}

impl RequestText<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let RequestText { id, class, caller, session, prefix, budget_ms, prompt_tokens, prefix_tokens } = self;
        let system = format!("{prefix:016x}").repeat(prefix_tokens / 4);
        let user = "word".repeat(prompt_tokens - prefix_tokens);
        let body = format!(
            r#"{{"model":"{class}","stream":true,"max_tokens":500,"messages":[{{"role":"system","content":"{system}"}},{{"role":"user","content":"{user}"}}]}}"#
        );
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: {caller}\r\n\
             X-Route-Hash: {session:016x}\r\nX-Budget-Ms: {budget_ms}\r\nX-Call-Info: prefix={prefix:016x},prompt_len={prompt_tokens},prefix_len={prefix_tokens},max_out=500\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// Reads an answer to its end.
pub fn read_answer(stream: &mut TcpStream, patience: Duration) -> Answer {
    let deadline = Instant::now() + patience;
    let mut buffer = Vec::new();
    let mut answer = Answer::default();
    loop {
        if let Some(done) = parse_answer(&buffer, &mut answer) {
            answer.whole = done;
            if done {
                return answer;
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.timed_out = true;
            return answer;
        }
        let _ = stream.set_read_timeout(Some(left));
        if !fill(stream, &mut buffer) {
            answer.timed_out = Instant::now() >= deadline;
            return answer;
        }
    }
}

/// Reads what the buffer holds of an answer; `Some(true)` if it is whole.
fn parse_answer(buffer: &[u8], answer: &mut Answer) -> Option<bool> {
    let end = find(buffer, b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
    answer.status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    if field("transfer-encoding:").is_none() {
        let length: usize = field("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
        return Some(buffer.len() >= end + length);
    }
    let (mut rest, mut content) = (&buffer[end..], Vec::new());
    loop {
        let Some(line_end) = find(rest, b"\r\n") else { break };
        let Ok(size) = usize::from_str_radix(&String::from_utf8_lossy(&rest[..line_end]), 16) else { break };
        if rest.len() < line_end + 2 + size + 2 {
            break;
        }
        if size == 0 {
            answer.content = String::from_utf8_lossy(&content).into_owned();
            return Some(true);
        }
        content.extend_from_slice(&rest[line_end + 2..line_end + 2 + size]);
        rest = &rest[line_end + 2 + size + 2..];
    }
    answer.content = String::from_utf8_lossy(&content).into_owned();
    Some(false)
}

/// The ids of requests that a stream's events name.
pub fn named_ids(content: &str) -> BTreeMap<String, usize> {
    let mut ids = BTreeMap::new();
    for part in content.split("\"content\":\"").skip(1) {
        let id = part.split(' ').next().unwrap_or("").to_string();
        *ids.entry(id).or_default() += 1;
    }
    ids
}

/// Whether the case still sends requests.
pub struct Running(pub AtomicBool);
