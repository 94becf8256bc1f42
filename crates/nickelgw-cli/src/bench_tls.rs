//! `nickelgw bench-tls`: what TLS costs, full and resumed, and what a rotation's rush does with and without a budget.

use crate::bench::{load, Lane};
use crate::rehearse::{child, rest, texts};
use crate::Unusable;
use hdrhistogram::Histogram;
use nickelgw_node::client::{Connection, Pool, Tls};
use nickelgw_node::TlsOptions;
use nickelgw_protocol::list::{self, EndpointEntry, EngineState};
use nickelgw_test_servers::authority::{replace_file, Authority, CertificateFault};
use nickelgw_test_servers::engine_config::{EngineConfig, Role, TlsFiles};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use nickelgw_tls::core::pool::PoolConfig;
use nickelgw_tls::{Client, Files, Server, Versions};
use rustls::pki_types::ServerName;
use rustls::{ClientConnection, HandshakeKind, ServerConnection};
use serde_json::{json, Value};
use smol::LocalExecutor;
use std::cell::Cell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct BenchTls {
    /// Seconds for each point measured.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    #[arg(long, default_value_t = 3)]
    runs: usize,
    /// Engines behind the node in the rush after a rotation.
    #[arg(long, default_value_t = 100)]
    engines: u16,
    #[arg(long)]
    json: Option<PathBuf>,
}

fn certificate(e: nickelgw_test_servers::authority::BoxError) -> Unusable {
    Unusable(format!("no certificate was made: {e}"))
}

struct Certs {
    dir: PathBuf,
    authority: Authority,
}

impl Certs {
    fn new() -> Result<Certs, Unusable> {
        let dir = std::env::temp_dir().join(format!("nickelgw-bench-tls-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let authority = Authority::new("bench").map_err(certificate)?;
        replace_file(&dir.join("root.pem"), authority.root_pem.as_bytes(), 0o644)?;
        let c = Certs { dir, authority };
        c.make("node0")?;
        Ok(c)
    }

    fn make(&self, who: &str) -> Result<[PathBuf; 2], Unusable> {
        self.authority
            .write(&self.dir, who, &format!("{who}.example.org"), CertificateFault::None)
            .map_err(certificate)
    }

    fn files(&self, who: &str) -> Files {
        let of = |f: String| Some(self.dir.join(f));
        Files { chain: of(format!("{who}.pem")), key: of(format!("{who}.key")), trust: of("root.pem".into()) }
    }

    fn client(&self, resume: bool) -> Client {
        let mut c = Client::new(self.files("node0"), Versions::Only13, 600.0);
        c.resume = resume;
        c.reload_if_changed(unix_now());
        c
    }

    fn engine(&self, id: &str, f: &EngineConfig) -> Result<EngineConfig, Unusable> {
        let [chain, key] = self.make(id)?;
        let trust = self.dir.join("root.pem");
        let tls = TlsFiles { name: format!("{id}.example.org"), chain, key, trust, mutual: true };
        Ok(EngineConfig { id: id.into(), tls: Some(tls), ..f.clone() })
    }
}

/// Full and resumed handshakes a second on one core, in memory, and the client's part of the time.
fn handshakes(c: &Certs, resume: bool, seconds: f64) -> Result<(f64, f64, bool), Unusable> {
    let client = c.client(resume);
    let mut server = Server::new(c.files("node0"), Versions::Only13, 0.0, true);
    server.reload_if_changed(unix_now());
    let (Some((client, _)), Some(server)) = (client.config(), server.config()) else {
        return Err(Unusable("keys and trust were refused".into()));
    };
    let name = ServerName::try_from("node0.example.org")?;
    let (mut n, mut own, mut resumed) = (0u32, Duration::ZERO, true);
    let begun = Instant::now();
    while begun.elapsed().as_secs_f64() < seconds {
        let at = Instant::now();
        let mut a = ClientConnection::new(client.clone(), name.clone())?;
        own += at.elapsed();
        let mut b = ServerConnection::new(server.clone())?;
        let mut wire = Vec::with_capacity(8192);
        // Until both are done and the tickets have come over.
        for _ in 0..8 {
            let at = Instant::now();
            while a.wants_write() {
                a.write_tls(&mut wire)?;
            }
            own += at.elapsed();
            let mut read = &wire[..];
            while !read.is_empty() {
                b.read_tls(&mut read)?;
                b.process_new_packets()?;
            }
            wire.clear();
            while b.wants_write() {
                b.write_tls(&mut wire)?;
            }
            let at = Instant::now();
            let mut read = &wire[..];
            while !read.is_empty() {
                a.read_tls(&mut read)?;
                a.process_new_packets()?;
            }
            own += at.elapsed();
            wire.clear();
            if !a.is_handshaking() && !b.is_handshaking() && !a.wants_write() && !b.wants_write() {
                break;
            }
        }
        n += 1;
        // The first has no ticket to resume by.
        resumed &= n == 1 || a.handshake_kind() == Some(HandshakeKind::Resumed);
    }
    let s = begun.elapsed().as_secs_f64();
    Ok((f64::from(n) / s, own.as_secs_f64() / f64::from(n.max(1)), resumed))
}

fn quick() -> EngineConfig {
    EngineConfig { mean_output_tokens: 8, ..crate::bench::quick() }
}

/// A reader and a writer as child processes, and a lane to them.
async fn pair(
    ex: &Rc<LocalExecutor<'static>>,
    c: &Certs,
    tls: Option<bool>,
    most_idle: usize,
    kept: &mut Vec<smol::process::Child>,
) -> Result<Rc<Lane>, Unusable> {
    let mut addresses = Vec::new();
    for (id, role) in [("r0", "read"), ("w0", "write")] {
        let f = if tls.is_some() { c.engine(id, &quick())? } else { quick() };
        let figures = serde_json::to_string(&f)?;
        let args = texts(&["engine", "--id", id, "--role", role, "--figures", &figures]);
        let (child, address) = child(&args, &c.dir.join("log")).await?;
        kept.push(child);
        addresses.push((address, tls.is_some().then(|| format!("{id}.example.org"))));
    }
    let figures = PoolConfig {
        max_handshakes: 4096,
        max_handshakes_per_engine: 4096,
        max_idle: most_idle,
        ..PoolConfig::default()
    };
    let client = tls.map(|resume| Tls(Arc::new(Mutex::new(c.client(resume)))));
    let pool = Pool::new(ex.clone(), 2.0, figures, client);
    let (writer, reader) = (addresses.pop(), addresses.pop());
    let list = |a: Option<(String, Option<String>)>| a.into_iter().collect::<Vec<_>>();
    Ok(Rc::new(Lane {
        pool,
        node: String::new(),
        readers: list(reader),
        writers: list(writer),
        turn: Cell::new(0),
    }))
}

/// Engines on threads of this process, all recording to one place.
fn fleet(c: &Certs, n: u16, record: &Recorder, cold: bool) -> Result<Vec<EndpointEntry>, Unusable> {
    let mut lines = Vec::new();
    let mut threads: Vec<Vec<(TcpListener, EngineConfig)>> = (0..4).map(|_| Vec::new()).collect();
    for k in 0..n {
        let read = k % 2 == 0;
        let id = format!("{}{k}", if read { "r" } else { "w" });
        let role = if read { Role::Prefill } else { Role::Decode };
        let f = EngineConfig { role, slow_start: cold, slots: 16, ..c.engine(&id, &quick())? };
        let listener = TcpListener::bind("127.0.0.1:0")?;
        lines.push(EndpointEntry {
            id: id.clone(),
            address: listener.local_addr()?.to_string(),
            tls_name: Some(format!("{id}.example.org")),
            zone: "a".into(),
            cell: 0,
            role: if read { list::EngineRole::Prefill } else { list::EngineRole::Decode },
            memory_tokens: 1e9,
            state: EngineState::Active,
            started_at: cold.then(unix_now),
        });
        threads[k as usize % 4].push((listener, f));
    }
    for group in threads {
        let record = record.clone();
        thread::spawn(move || {
            let ex = Rc::new(LocalExecutor::new());
            let tasks: Vec<_> = group
                .into_iter()
                .map(|(l, f)| {
                    let record = record.for_source(&f.id);
                    ex.spawn(nickelgw_test_servers::engine::run(l, f, record, 1))
                })
                .collect();
            smol::block_on(ex.run(async {
                for t in tasks {
                    let _ = t.await;
                }
            }));
        });
    }
    Ok(lines)
}

/// The rush after a rotation at a node with many engines, or (`back`) when all of them are back at once, cold, and the
/// node has no connection yet.
async fn rush(
    ex: &Rc<LocalExecutor<'static>>,
    c: &Certs,
    engines: u16,
    paced: bool,
    back: bool,
) -> Result<Value, Unusable> {
    let record = Recorder::memory("rush");
    let lines = fleet(c, engines, &record, back)?;
    let listed = crate::up::list(lines)?;
    let text = format!(
        "{} engine_tls {{ trust: '{d}/root.pem' chain: '{d}/node0.pem' key: '{d}/node0.key' reload_ms: 100 }}",
        crate::up::settings(0, 1, &listed),
        d = c.dir.display()
    );
    let node = nickelgw_settings::parse_node("rush", &text).map_err(|p| crate::start::problems(&p))?;
    let mut start = crate::start::start(&node, None)?;
    if !paced {
        start.tls = TlsOptions {
            max_handshakes: 100_000,
            max_handshakes_per_engine: 100_000,
            retire_gap_s: 0.0,
            ..start.tls
        };
    }
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    thread::spawn(move || smol::block_on(nickelgw_node::run(listener, start)));
    rest(0.5).await;
    let pool = Pool::new(
        ex.clone(),
        2.0,
        PoolConfig { max_handshakes: 4096, max_handshakes_per_engine: 4096, ..Default::default() },
        None,
    );
    let lane = Rc::new(Lane { pool, node: address, readers: vec![], writers: vec![], turn: Cell::new(0) });
    let mut before = None;
    if !back {
        // Warm: connections to all engines.
        load(ex, &lane, 400.0, 4.0, 8, &[true]).await;
        before = load(ex, &lane, 300.0, 2.0, 8, &[true]).await.pop();
        c.make("node0")?;
    }
    let from = unix_now();
    let after = &load(ex, &lane, 300.0, 2.0, 8, &[true]).await[0];
    let lines = record.entries();
    // At writers only: readers' also come from writers that fetch.
    let of = |l: &&Value| l["ev"] == "handshake" && l["who"].as_str().is_some_and(|w| w.starts_with('w'));
    let times: Vec<f64> =
        lines.iter().filter(of).filter_map(|l| l["t"].as_f64()).filter(|t| *t > from).collect();
    let most =
        times.iter().map(|t| times.iter().filter(|x| (**x - t).abs() <= 0.05).count()).max().unwrap_or(0);
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    let failed = lines.iter().filter(|l| l["ev"] == "fell").count();
    let was = |q| before.as_ref().map(|b: &crate::bench::Point| ms(&b.first, q));
    Ok(json!({"paced": paced, "back_cold": back, "writers_handshakes_in_2_s": times.len(),
        "most_in_100_ms": most, "first_p50_ms_before": was(0.5), "first_p99_ms_before": was(0.99),
        "first_p50_ms": ms(&after.first, 0.5), "first_p99_ms": ms(&after.first, 0.99),
        "failed": after.failed, "pushed_over": failed}))
}

/// Memory of unused connections kept, at the client's side.
async fn memory(lane: &Lane) -> Result<(f64, Vec<Connection>), Unusable> {
    let rss = || {
        let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS:")).map(str::to_string).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|s| s.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let n = 2000;
    let before = rss();
    let mut held = Vec::new();
    for _ in 0..n {
        let writer = &lane.writers[0];
        held.push(
            lane.hold(writer).await.ok_or_else(|| Unusable("no connection for the memory figure".into()))?,
        );
    }
    let each = (rss() - before) / f64::from(n);
    Ok((each, held))
}

impl BenchTls {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        let ex = Rc::new(LocalExecutor::new());
        let c = Certs::new()?;
        let all = smol::block_on(ex.run(self.measure(ex.clone(), &c)));
        let _ = std::fs::remove_dir_all(&c.dir);
        let all = all?;
        if let Some(path) = &self.json {
            std::fs::write(path, serde_json::to_string_pretty(&all)?)?;
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn measure(&self, ex: Rc<LocalExecutor<'static>>, c: &Certs) -> Result<Value, Unusable> {
        let mut out = json!({});
        println!("handshakes on one core, both sides in memory, both verified, ECDSA P-256:");
        for (name, resume) in [("full", false), ("resumed", true)] {
            let mut rates = Vec::new();
            for _ in 0..self.runs {
                let (rate, own, resumed) = handshakes(c, resume, self.seconds.min(2.0))?;
                if resumed != resume {
                    return Err(Unusable(format!("{name} handshakes were not what they are called")));
                }
                rates.push((rate, own * 1e6));
            }
            rates.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (rate, own) = rates[rates.len() / 2];
            println!(
                "  {name}: {rate:.0} a second (median of {}), the client's part {own:.0} us each",
                self.runs
            );
            out["handshakes"][name] = json!({"per_s": rate, "client_us": own});
        }
        println!("first token of a read and a write, 50 requests a second, by how connections are had:");
        let mut children = Vec::new();
        let ways = [
            ("plain, open", pair(&ex, c, None, 64, &mut children).await?),
            ("TLS, open", pair(&ex, c, Some(true), 64, &mut children).await?),
            ("TLS, resumed", pair(&ex, c, Some(true), 0, &mut children).await?),
            ("TLS, full", pair(&ex, c, Some(false), 0, &mut children).await?),
        ];
        for (_, lane) in &ways {
            load(&ex, lane, 50.0, 0.5, 8, &[false]).await;
        }
        let mut seen: Vec<Vec<(f64, f64)>> = ways.iter().map(|_| Vec::new()).collect();
        for _ in 0..self.runs {
            for (n, (_, lane)) in ways.iter().enumerate() {
                let p = &load(&ex, lane, 50.0, self.seconds, 8, &[false]).await[0];
                seen[n].push((p.first.value_at_quantile(0.5) as f64, p.first.value_at_quantile(0.99) as f64));
            }
        }
        for (n, (name, _)) in ways.iter().enumerate() {
            let mid = |f: fn(&(f64, f64)) -> f64| {
                let mut v: Vec<f64> = seen[n].iter().map(f).collect();
                v.sort_by(f64::total_cmp);
                v[v.len() / 2]
            };
            let (p50, p99) = (mid(|x| x.0), mid(|x| x.1));
            println!("  {name}: p50 {p50:.0} us, p99 {p99:.0} us (medians of {})", self.runs);
            out["first_token_us"][*name] = json!([p50, p99]);
        }
        println!("memory of an open connection, client's side:");
        let mut all_held = Vec::new();
        for (name, lane) in [("plain", &ways[0].1), ("TLS", &ways[1].1)] {
            // Those before stay open: memory that they gave back would be taken for none.
            let (kib, held) = memory(lane).await?;
            all_held.extend(held);
            println!("  {name}: {kib:.1} KiB");
            out["memory_kib"][name] = json!(kib);
        }
        drop(all_held);
        for mut ch in children {
            let _ = ch.kill();
            let _ = ch.status().await;
        }
        println!(
            "rush after the node's certificate rotates, {} engines, 300 requests a second:",
            self.engines
        );
        let mut rushes = Vec::new();
        for (paced, back) in [(true, false), (false, false), (true, true), (false, true)] {
            let r = rush(&ex, c, self.engines, paced, back).await?;
            println!("  {r}");
            rushes.push(r);
        }
        out["rush"] = json!(rushes);
        Ok(out)
    }
}
