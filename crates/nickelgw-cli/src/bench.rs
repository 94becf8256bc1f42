//! `nickelgw bench`: what the node adds, beside the same stand-ins called directly by the same client, in one run.
//! Open loop: each request has its time, and latency counts from it.

use crate::rehearse::{child, rest, texts};
use crate::Unusable;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use nickelgw_node::client::{Connection, Peer, Pool};
use nickelgw_protocol::chat::ChatRequest;
use nickelgw_protocol::engine::{read_body, write_body, ReadAnswer};
use nickelgw_protocol::list::{self, EndpointEntry, EndpointList, EngineState};
use nickelgw_protocol::sse::{Event, Events};
use nickelgw_protocol::{REQUEST_ID, SEND_ID};
use nickelgw_test_servers::model::Figures;
use nickelgw_tls::core::pool::Figures as PoolFigures;
use serde_json::{json, Value};
use smol::process::Child;
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Bench {
    /// Seconds for each point measured.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Times that the comparison is made; medians and spread are over these.
    #[arg(long, default_value_t = 5)]
    runs: usize,
    /// Streams held open for the memory figure; each takes two descriptors at the node.
    #[arg(long, default_value_t = 8000)]
    streams: usize,
    /// Writes the figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// An engine's address, and its name where it is spoken to in TLS.
type Engine = (String, Option<String>);

pub struct Lane {
    pub pool: Rc<Pool>,
    pub node: String,
    pub readers: Vec<Engine>,
    pub writers: Vec<Engine>,
    pub turn: Cell<usize>,
}

fn peer(e: &Engine) -> Peer<'_> {
    Peer { address: &e.0, tls_name: e.1.as_deref(), sent: None }
}

/// Engines whose own times are small and which are never full: what is left is the node's.
pub fn quick() -> Figures {
    Figures {
        slots: 4000,
        queue: 4000,
        memory_tokens: 1e9,
        read_s: 0.002,
        read_tokens_per_s: 1e6,
        step_s: 0.002,
        step_per_stream_s: 0.0,
        state_bytes_per_token: 64.0,
        ..Figures::default()
    }
}

/// First token and whole answer, in seconds.
type Took = Option<(f64, f64)>;

impl Lane {
    fn body(&self, k: usize, out: usize) -> Bytes {
        let text = format!("[{k}] {}", "word ".repeat(60));
        let system = format!("beginning {} {}", k % 8, "text ".repeat(100));
        Bytes::from(
            json!({"model": "chat", "stream": true, "max_tokens": out,
                "messages": [{"role": "system", "content": system}, {"role": "user", "content": text}]})
            .to_string(),
        )
    }

    fn request(&self, address: &str, name: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
        let b = Request::builder().method(Method::POST).uri("/v1/chat/completions").header("host", address);
        let b = b.header("content-type", "application/json").header("te", "trailers");
        b.header(REQUEST_ID, name).header(SEND_ID, name).body(Full::new(body)).ok()
    }

    /// Streams an answer to its end.
    async fn stream(&self, to: Peer<'_>, request: &Request<Full<Bytes>>, from: Instant) -> Took {
        let (response, conn) = self.pool.call(to, request).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        let mut body = response.into_body();
        let (mut events, mut first, mut done) = (Events::default(), None, false);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                events.push(&data);
            }
            while let Some(e) = events.next_event().ok()? {
                first = first.or(Some(from.elapsed().as_secs_f64()));
                done |= e == Event::Done;
            }
        }
        self.pool.return_connection(conn);
        done.then_some((first?, from.elapsed().as_secs_f64()))
    }

    async fn through(&self, k: usize, out: usize, from: Instant) -> Took {
        let request = self.request(&self.node, &format!("b{k}"), self.body(k, out))?;
        self.stream(Peer::plain(&self.node), &request, from).await
    }

    /// A connection that stands and is used for nothing more.
    pub async fn hold(&self, engine: &Engine) -> Option<Connection> {
        let request =
            Request::builder().uri("/health").header("host", &engine.0).body(Full::default()).ok()?;
        let (response, conn) = self.pool.call(peer(engine), &request).await.ok()?;
        response.into_body().collect().await.ok()?;
        Some(conn)
    }

    /// The same two steps without a node between.
    async fn direct(&self, k: usize, out: usize, from: Instant) -> Took {
        let chat = ChatRequest::parse(&self.body(k, out)).ok()?;
        self.turn.set(self.turn.get() + 1);
        let reader = &self.readers[k % 8 % self.readers.len()];
        let writer = &self.writers[self.turn.get() % self.writers.len()];
        let name = format!("d{k}-{}", self.turn.get());
        let read = self.request(&reader.0, &name, read_body(&chat).ok()?)?;
        let (status, _, body) = self.pool.fetch(peer(reader), &read).await.ok()?;
        if status != 200 {
            return None;
        }
        let state = ReadAnswer::parse(&body).ok()?.kv_transfer_params;
        let write = self.request(&writer.0, &name, write_body(&chat, Some(&state)).ok()?)?;
        self.stream(peer(writer), &write, from).await
    }
}

pub struct Point {
    pub first: Histogram<u64>,
    pub whole: Histogram<u64>,
    pub failed: u64,
    taken: u64,
}

impl Point {
    pub fn us(h: &Histogram<u64>, q: f64) -> f64 {
        h.value_at_quantile(q) as f64
    }
}

/// Asks at a rate for some seconds; the ways take turns, so that both meet the same minute of the machine.
pub async fn load(
    ex: &Rc<LocalExecutor<'static>>,
    lane: &Rc<Lane>,
    rate: f64,
    s: f64,
    out: usize,
    ways: &[bool],
) -> Vec<Point> {
    let fresh = || Point {
        first: Histogram::new_with_bounds(1, 100_000_000, 3).expect("a valid range"),
        whole: Histogram::new_with_bounds(1, 100_000_000, 3).expect("a valid range"),
        failed: 0,
        taken: 0,
    };
    let points: Rc<RefCell<Vec<Point>>> = Rc::new(RefCell::new(ways.iter().map(|_| fresh()).collect()));
    let begun = Instant::now();
    let mut tasks = Vec::new();
    let ways: Rc<[bool]> = ways.into();
    for k in 0..(rate * s) as usize {
        let at = begun + Duration::from_secs_f64(k as f64 / rate);
        smol::Timer::at(at).await;
        let (lane, points, ways) = (lane.clone(), points.clone(), ways.clone());
        tasks.push(ex.spawn(async move {
            let n = k % ways.len();
            // What the client is late by itself counts too.
            let took = match ways[n] {
                true => lane.through(k, out, at).await,
                false => lane.direct(k, out, at).await,
            };
            let p = &mut points.borrow_mut()[n];
            p.taken += 1;
            match took {
                None => p.failed += 1,
                Some((first, whole)) => {
                    p.first.saturating_record((first * 1e6) as u64);
                    p.whole.saturating_record((whole * 1e6) as u64);
                }
            }
        }));
    }
    let all = async {
        for t in tasks {
            t.await;
        }
    };
    futures_lite::future::or(all, rest(30.0)).await;
    let points = std::mem::take(&mut *points.borrow_mut());
    points
}

pub struct Fleet {
    pub lane: Rc<Lane>,
    pub node: Child,
    rest: Vec<Child>,
    pub dir: PathBuf,
}

/// Limits of a node that is to be measured, not to refuse.
pub const WIDE: &str = "limits { most_idle_connections: 4096 stream_idle_ms: 60000 most_waiting: 1024 }";

/// A node and its engines as processes; `more` is added to the node's settings.
pub async fn fleet(
    ex: &Rc<LocalExecutor<'static>>,
    name: &str,
    writers: usize,
    f: Figures,
    more: &str,
) -> Result<Fleet, Unusable> {
    let dir = std::env::temp_dir().join(format!("nickelgw-bench-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let (mut children, mut lines) = (Vec::new(), Vec::new());
    for n in 0..2 + writers {
        let read = n < 2;
        let id = if read { format!("r{n}") } else { format!("w{}", n - 2) };
        let figures = serde_json::to_string(&f)?;
        let role = if read { "read" } else { "write" };
        let args = texts(&["engine", "--id", &id, "--role", role, "--figures", &figures]);
        let (c, address) = child(&args, &dir.join("log")).await?;
        children.push(c);
        let role = if read { list::EngineRole::Prefill } else { list::EngineRole::Decode };
        let (zone, state) = ("a".to_string(), EngineState::Active);
        let memory_tokens = f.memory_tokens;
        lines.push(EndpointEntry {
            id,
            address,
            zone,
            cell: 0,
            role,
            memory_tokens,
            state,
            started_at: None,
            tls_name: None,
        });
    }
    let of = |r| lines.iter().filter(|l| l.role == r).map(|l| (l.address.clone(), None)).collect::<Vec<_>>();
    let (readers, writers) = (of(list::EngineRole::Prefill), of(list::EngineRole::Decode));
    let path = dir.join("list.json");
    std::fs::write(&path, serde_json::to_vec(&EndpointList { revision: 1, engines: lines.clone() })?)?;
    let args = texts(&["list", "--engines", &path.display().to_string(), "--lag-ms", "0"]);
    let (c, listed) = child(&args, &dir.join("log")).await?;
    children.push(c);
    let settings = dir.join("node.txtpb");
    let text = format!("{} listen: '127.0.0.1:0' {more}", crate::up::settings(0, 1, &listed));
    std::fs::write(&settings, text)?;
    let meter = dir.join("meter.json").display().to_string();
    let args = texts(&["serve", "--config", &settings.display().to_string(), "--meter", &meter]);
    let quiet = !more.contains("leaving");
    let args = if quiet { args } else { [args, texts(&["--log", "json", "--log-level", "info"])].concat() };
    let (node, address) = child(&args, &dir.join("log")).await?;
    rest(0.3).await;
    let wide = PoolFigures {
        at_once: 4096,
        at_once_engine: 4096,
        most_waiting: 20_000,
        most_idle: 4096,
        ..PoolFigures::default()
    };
    let pool = Pool::new(ex.clone(), 2.0, wide, None);
    let lane = Rc::new(Lane { pool, node: address, readers, writers, turn: Cell::new(0) });
    Ok(Fleet { lane, node, rest: children, dir })
}

impl Fleet {
    /// Processor seconds that the node has used, and its memory in KiB.
    pub fn node_uses(&self) -> (f64, f64) {
        let of =
            |f: &str| std::fs::read_to_string(format!("/proc/{}/{f}", self.node.id())).unwrap_or_default();
        let stat = of("schedstat");
        let ns: f64 = stat.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(0.0);
        let status = of("status");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
        let kib = line.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0.0);
        (ns / 1e9, kib)
    }

    pub async fn end(mut self) -> Value {
        let pid = self.node.id().to_string();
        let _ = smol::process::Command::new("kill").args(["-TERM", &pid]).status().await;
        let _ = self.node.status().await;
        for mut c in std::mem::take(&mut self.rest) {
            let _ = c.kill();
            let _ = c.status().await;
        }
        let text = std::fs::read_to_string(self.dir.join("meter.json")).unwrap_or_default();
        let _ = std::fs::remove_dir_all(&self.dir);
        serde_json::from_str(&text).unwrap_or_default()
    }
}

fn median(mut v: Vec<f64>) -> (f64, f64, f64) {
    v.sort_by(f64::total_cmp);
    (v[v.len() / 2], v[0], v[v.len() - 1])
}

impl Bench {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        let ex = Rc::new(LocalExecutor::new());
        let all = smol::block_on(ex.run(self.measure(ex.clone())))?;
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_string_pretty(&all)?)?;
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn measure(&self, ex: Rc<LocalExecutor<'static>>) -> Result<Value, Unusable> {
        let quick = quick();
        let f = fleet(&ex, "added", 2, quick.clone(), WIDE).await?;
        load(&ex, &f.lane, 200.0, 1.0, 20, &[true, false]).await;
        println!("added by the node, 100 requests a second each way, 20 tokens, {} runs:", self.runs);
        let mut added: Vec<[f64; 4]> = Vec::new();
        for _ in 0..self.runs {
            let p = load(&ex, &f.lane, 200.0, self.seconds, 20, &[true, false]).await;
            let diff = |a: &Histogram<u64>, b: &Histogram<u64>, q| Point::us(a, q) - Point::us(b, q);
            let first = |q| diff(&p[0].first, &p[1].first, q);
            let whole = |q| diff(&p[0].whole, &p[1].whole, q);
            added.push([first(0.5), first(0.99), whole(0.5), whole(0.99)]);
            let of =
                |p: &Point| [Point::us(&p.first, 0.5), Point::us(&p.first, 0.99), Point::us(&p.whole, 0.5)];
            println!(
                "  through {:?} us, direct {:?} us (first p50, p99, whole p50), failed {}",
                of(&p[0]),
                of(&p[1]),
                p[0].failed + p[1].failed
            );
        }
        let names = ["first_p50", "first_p99", "whole_p50", "whole_p99"];
        let mut out = json!({});
        for (n, name) in names.iter().enumerate() {
            let (mid, least, most) = median(added.iter().map(|a| a[n]).collect());
            println!("  added to {name}: {mid:.0} us (runs {least:.0} to {most:.0})");
            out["added_us"][name] = json!([mid, least, most]);
        }
        out["meter_quiet"] = f.end().await;
        println!("  in the node: {}", out["meter_quiet"]);

        println!("rate on one core, 4 tokens an answer, until the first token's p99 doubles:");
        let f = fleet(&ex, "rate", 2, quick.clone(), WIDE).await?;
        load(&ex, &f.lane, 200.0, 1.0, 4, &[true]).await;
        let (mut base, mut rates) = (0.0, Vec::new());
        for rate in [250.0, 500.0, 1000.0, 1500.0, 2000.0, 2500.0, 3000.0, 4000.0, 5000.0] {
            let before = f.node_uses().0;
            let begun = Instant::now();
            let p = &load(&ex, &f.lane, rate, self.seconds, 4, &[true]).await[0];
            let used = f.node_uses().0 - before;
            let (p50, p99) = (Point::us(&p.first, 0.5), Point::us(&p.first, 0.99));
            if base == 0.0 {
                base = p99;
            }
            let each = 1e6 * used / p.taken.max(1) as f64;
            let busy = used / begun.elapsed().as_secs_f64();
            println!(
                "  {rate:>6}/s: first p50 {p50:.0} us, p99 {p99:.0} us, failed {}, node {:.0}% of a core, \
                 {each:.0} us a request",
                p.failed,
                100.0 * busy
            );
            rates.push(json!({"rate": rate, "first_p50_us": p50, "first_p99_us": p99, "failed": p.failed,
                "core": busy, "us_each": each}));
            if p99 > 2.0 * base || p.failed > 0 {
                break;
            }
            out["rate_kept"] = json!(rate);
        }
        out["rates"] = json!(rates);
        out["meter_rate"] = f.end().await;
        println!("  in the node: {}", out["meter_rate"]);

        println!("memory for open streams:");
        let slow = Figures { step_s: 2.0, ..quick };
        let f = fleet(&ex, "memory", 4, slow, WIDE).await?;
        let empty = f.node_uses().1;
        let begun = Instant::now();
        let mut held = Vec::new();
        for k in 0..self.streams {
            smol::Timer::at(begun + Duration::from_secs_f64(k as f64 / 1000.0)).await;
            let lane = f.lane.clone();
            held.push(ex.spawn(async move { lane.through(k, 20, Instant::now()).await }));
        }
        // Past the first token of each, before the end of any.
        rest(5.0).await;
        let full = f.node_uses().1;
        let open = held.iter().filter(|t| !t.is_finished()).count();
        let each = (full - empty) / open.max(1) as f64;
        println!("  {open} streams open: {full:.0} KiB, empty {empty:.0} KiB, {each:.1} KiB a stream");
        out["memory"] = json!({"streams": open, "kib_each": each, "kib_empty": empty, "kib_full": full});
        drop(held);
        f.end().await;
        Ok(out)
    }
}
