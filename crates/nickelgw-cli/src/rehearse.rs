//! `nickelgw rehearse`: a day's traffic and faults on child processes, judged from what crossed the sockets.

use crate::{start, Unusable};
use futures_lite::{AsyncBufReadExt, StreamExt};
use nanorand::{Rng, WyRand};
use nickelgw_audit::{Rule, Service, Verdict};
use nickelgw_protocol::list::{self, Line, State};
use nickelgw_rehearsal::core::bench_day;
use nickelgw_rehearsal::core::script::Script;
use nickelgw_rehearsal::core::series::Series;
use nickelgw_rehearsal::report::{page, Played};
use nickelgw_settings::check::{engine_names, node_zone};
use nickelgw_settings::proto::{fault::Kind, EngineRole, Fault, Group, Repeat, Retries, Traffic};
use nickelgw_settings::Day;
use nickelgw_standin::authority::{Authority, Fault as CertFault};
use nickelgw_standin::client::{self, Ask, Leave};
use nickelgw_standin::model::{Figures, Role, TlsFiles};
use nickelgw_standin::record::unix_now;
use nickelgw_standin::Record;
use serde_json::{json, Value};
use smol::process::{Child, Command, Stdio};
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct Rehearse {
    /// The day, in protobuf text format.
    day: Option<PathBuf>,
    /// A day of the bench, as `lbsim draw` prints it, scaled to this machine.
    #[arg(long, conflicts_with = "day")]
    from_bench: Option<PathBuf>,
    /// Every day of a folder, one after the other, and one page of all.
    #[arg(long, conflicts_with_all = ["day", "from_bench"])]
    all: Option<PathBuf>,
    /// Writes what `--from-bench` made of the day to this file, and plays nothing.
    #[arg(long, requires = "from_bench")]
    write_day: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for report.json, records and logs; without it only the table is shown.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Clients ask again so often, at once, whatever the day and the answers say.
    #[arg(long)]
    retries: Option<u32>,
    /// Tenants are let in by their parts when there is not enough for all.
    #[arg(long)]
    fair: bool,
    /// Nodes keep nothing over restarts.
    #[arg(long)]
    cold: bool,
    /// Nodes let every retry in.
    #[arg(long)]
    no_retry_budget: bool,
}

/// What is allowed for between an action and its record, and the longest that this driver itself may stall.
const SLACK_S: f64 = 0.25;

pub async fn rest(s: f64) {
    Timer::after(Duration::from_secs_f64(s.max(0.0))).await;
}

/// Where engines' lines stand in a registry.
const ENGINES: &str = "nickelgw/engines/";

fn engine_key(id: &str) -> String {
    format!("{ENGINES}{id}")
}

/// Child processes and where they listen.
struct Stage {
    day: Day,
    script: Script,
    cold: bool,
    fair: bool,
    seed: u64,
    dir: PathBuf,
    list: String,
    record: Record,
    engines: RefCell<BTreeMap<String, (Child, String)>>,
    /// By number; none while the node is down.
    nodes: RefCell<Vec<Option<(Child, String)>>>,
    begun: Instant,
    stall: RefCell<f64>,
    /// The authority in force, on TLS days.
    authority: RefCell<Option<Authority>>,
    /// Engines' lines as the day began.
    lines: RefCell<Vec<Line>>,
}

/// Starts this program again with other arguments; gives the child and the address that it listens on.
pub async fn child(args: &[String], log: &Path) -> Result<(Child, String), Unusable> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
    let mut child = command.spawn()?;
    let out = child.stdout.take().ok_or_else(|| Unusable("a child has no output".into()))?;
    let mut lines = smol::io::BufReader::new(out).lines();
    let line = futures_lite::future::or(async { lines.next().await }, async {
        rest(10.0).await;
        None
    });
    match line.await {
        Some(Ok(l)) if l.starts_with("listening ") => Ok((child, l["listening ".len()..].to_string())),
        _ => Err(Unusable(format!("a child did not start: {}", args.join(" ")))),
    }
}

pub fn texts(args: &[&str]) -> Vec<String> {
    args.iter().map(|a| a.to_string()).collect()
}

fn no_certificate(e: nickelgw_standin::authority::Failed) -> Unusable {
    Unusable(format!("no certificate was made: {e}"))
}

fn tls_name(who: &str) -> String {
    format!("{who}.example.org")
}

impl Stage {
    /// Writes the trust file: the authority's root and others beside it.
    fn trust(&self, others: &[&str]) -> Result<(), Unusable> {
        let Some(a) = &*self.authority.borrow() else { return Ok(()) };
        let text = [&[a.root_pem.as_str()], others].concat().concat();
        nickelgw_standin::authority::put(&self.file("certs/root.pem"), text.as_bytes(), 0o644)?;
        Ok(())
    }

    fn certificate(&self, who: &str, fault: CertFault) -> Result<(), Unusable> {
        let Some(a) = &*self.authority.borrow() else { return Ok(()) };
        a.write(&self.file("certs"), who, &tls_name(who), fault).map_err(no_certificate)?;
        Ok(())
    }

    /// A new certificate for an engine, which takes it at once.
    async fn rotate(&self, engine: &str, fault: CertFault) -> Result<(), Unusable> {
        self.certificate(engine, fault)?;
        self.engine_fault(engine, json!({"fault": "cert"})).await;
        Ok(())
    }

    async fn rotate_authority(&self) -> Result<(), Unusable> {
        let second = Authority::new("second").map_err(no_certificate)?;
        // Both are trusted before the first certificate of the new one is shown.
        self.trust(&[&second.root_pem])?;
        for e in engine_names(&self.day) {
            self.engine_fault(&e, json!({"fault": "cert"})).await;
        }
        rest(1.5).await;
        *self.authority.borrow_mut() = Some(second);
        for n in 0..self.day.nodes() {
            self.certificate(&format!("node{n}"), CertFault::None)?;
        }
        for e in engine_names(&self.day) {
            self.rotate(&e, CertFault::None).await?;
        }
        rest(1.5).await;
        self.trust(&[])?;
        for e in engine_names(&self.day) {
            self.engine_fault(&e, json!({"fault": "cert"})).await;
        }
        Ok(())
    }

    /// Tells the list, or the registry, of an engine's line.
    async fn publish(&self, line: &Line, at_once: bool) {
        let order = match self.day.registry() {
            true => json!({"order": "put", "key": engine_key(&line.id), "value": line}),
            false if at_once => json!({"line": line, "lag_s": 0.0}),
            false => json!({"line": line}),
        };
        client::control(&self.list, &order).await;
    }

    async fn take_out(&self, engine: &str) {
        let order = match self.day.registry() {
            true => json!({"order": "delete", "key": engine_key(engine)}),
            false => json!({"remove": engine}),
        };
        client::control(&self.list, &order).await;
    }

    async fn registry(&self, order: &str, for_s: f64) {
        client::control(&self.list, &json!({"order": order, "for_s": for_s, "key": ENGINES})).await;
    }

    fn file(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn record_of(&self, name: &str) -> String {
        self.file(&format!("records/{name}.jsonl")).display().to_string()
    }

    /// The group of an engine and its figures.
    fn figures(&self, name: &str) -> Option<Figures> {
        let rules = self.day.rules.unwrap_or_default();
        let of = |e: &&nickelgw_settings::proto::EngineGroup| {
            (0..e.count()).any(|n| format!("{}{n}", e.name) == name)
        };
        let e = self.day.engines.iter().find(of)?;
        let reader = e.role() == EngineRole::Reader;
        let f = Figures {
            id: name.to_string(),
            zone: e.zone.clone(),
            cell: e.cell(),
            role: if reader { Role::Read } else { Role::Write },
            slots: e.slots() as usize,
            queue: e.queue() as usize,
            memory_tokens: e.memory_tokens(),
            read_s: e.read_ms() / 1e3,
            read_tokens_per_s: e.read_tokens_per_s(),
            step_s: e.step_ms() / 1e3,
            step_per_stream_s: e.step_per_stream_ms() / 1e3,
            out_tokens: e.out_tokens() as usize,
            state_bytes_per_token: e.state_bytes_per_token(),
            state_ttl_s: e.state_ttl_ms() / 1e3,
            cold: false,
            cold_from: rules.cold_share(),
            warm_s: rules.warm_within_ms() / 1e3,
            tip_multiple: rules.tip_multiple(),
            tip_window_s: rules.tip_window_ms() / 1e3,
            tls: None,
            grant_keys: self
                .day
                .state_grants
                .iter()
                .flat_map(|g| &g.key)
                .map(|k| (k.number, k.secret.clone()))
                .collect(),
        };
        Some(f)
    }

    async fn start_engine(&self, name: &str, cold: bool) -> Result<Line, Unusable> {
        let mut f = self.figures(name).ok_or_else(|| Unusable(format!("no engine {name}")))?;
        if self.day.tls() {
            self.certificate(name, CertFault::None)?;
            let file = |end: &str| self.file(&format!("certs/{name}.{end}"));
            let (chain, key, trust) = (file("pem"), file("key"), self.file("certs/root.pem"));
            f.tls = Some(TlsFiles { name: tls_name(name), chain, key, trust, mutual: true });
        }
        let figures = serde_json::to_string(&f)?;
        let read = f.role == Role::Read;
        let (cell, seed) = (f.cell.to_string(), self.seed.to_string());
        let mut args = texts(&["engine", "--id", name, "--role", if read { "read" } else { "write" }]);
        args.extend(texts(&["--zone", &f.zone, "--cell", &cell, "--figures", &figures, "--seed", &seed]));
        args.extend(texts(&["--record", &self.record_of(name)]));
        if cold {
            args.push("--cold".into());
        }
        let (child, address) = child(&args, &self.file(&format!("logs/{name}.log"))).await?;
        self.engines.borrow_mut().insert(name.to_string(), (child, address.clone()));
        Ok(self.line(f, address, State::In, cold.then(unix_now)))
    }

    /// An engine's line in the list.
    fn line(&self, f: Figures, address: String, state: State, started_at: Option<f64>) -> Line {
        Line {
            tls_name: self.day.tls().then(|| tls_name(&f.id)),
            id: f.id,
            address,
            zone: f.zone,
            cell: f.cell,
            role: if f.role == Role::Read { list::Role::Read } else { list::Role::Write },
            memory_tokens: f.memory_tokens,
            state,
            started_at,
        }
    }

    async fn start_node(&self, number: u32) -> Result<(), Unusable> {
        let name = format!("node{number}");
        let path = self.file(&format!("{name}.txtpb"));
        let config = path.display().to_string();
        let log = self.file(&format!("logs/{name}.log"));
        let args = texts(&["serve", "--config", &config, "--log", "json", "--log-level", "debug"]);
        let started = child(&args, &log).await?;
        self.nodes.borrow_mut()[number as usize] = Some(started);
        Ok(())
    }

    fn address_of(&self, engine: &str) -> Option<String> {
        self.engines.borrow().get(engine).map(|e| e.1.clone())
    }

    async fn engine_fault(&self, engine: &str, order: Value) {
        if let Some(address) = self.address_of(engine) {
            client::control(&address, &order).await;
        }
    }

    async fn fault(&self, f: &Fault) -> Result<(), Unusable> {
        rest(f.at_s - self.begun.elapsed().as_secs_f64()).await;
        let (name, for_s) = (f.target().to_string(), f.for_s());
        self.record.note("plan", json!({"kind": f.kind().as_str_name(), "target": name, "for_s": for_s}));
        let word =
            |fault: &str| json!({"fault": fault, "for_s": for_s, "share": f.share(), "factor": f.factor()});
        match f.kind() {
            Kind::Die => {
                self.engine_fault(&name, word("die")).await;
                let dead = self.engines.borrow_mut().remove(&name);
                if let Some((mut child, _)) = dead {
                    let _ = child.kill();
                    let _ = child.status().await;
                }
                self.record.of(&name).note("died", json!({}));
                self.take_out(&name).await;
                if for_s > 0.0 {
                    rest(for_s).await;
                    let line = self.start_engine(&name, true).await?;
                    self.publish(&line, false).await;
                }
            }
            Kind::Silence => self.engine_fault(&name, word("silence")).await,
            Kind::Slow => self.engine_fault(&name, word("slow")).await,
            Kind::Fail => self.engine_fault(&name, word("fail")).await,
            Kind::Lose => self.engine_fault(&name, word("lose")).await,
            Kind::Pause => self.engine_fault(&name, word("pause")).await,
            Kind::Forget => self.engine_fault(&name, word("forget")).await,
            Kind::Drain => {
                let Some(figures) = self.figures(&name) else { return Ok(()) };
                let address = self.address_of(&name).unwrap_or_default();
                let line = self.line(figures, address, State::Draining, None);
                self.publish(&line, false).await;
                // It turns work away once every node has had the time to hear of it.
                rest((self.day.list_lag_ms() + self.day.drain_grace_ms()) / 1e3).await;
                self.engine_fault(&name, word("drain")).await;
            }
            Kind::CutZone => {
                let order = json!({"fault": "cut", "for_s": for_s, "zone": name});
                for engine in engine_names(&self.day) {
                    self.engine_fault(&engine, order.clone()).await;
                }
            }
            Kind::CertRotate => self.rotate(&name, CertFault::None).await?,
            Kind::CertExpire => self.rotate(&name, CertFault::Expired).await?,
            Kind::CertWrongName => self.rotate(&name, CertFault::WrongName).await?,
            Kind::CaRotate => self.rotate_authority().await?,
            Kind::HandshakeSlow => {
                let order = json!({"fault": "handshake_slow", "for_s": for_s, "rest_s": f.factor()});
                self.engine_fault(&name, order).await;
            }
            Kind::HandshakeCut => self.engine_fault(&name, word("handshake_cut")).await,
            Kind::StallList => drop(client::control(&self.list, &json!({"stall_s": for_s})).await),
            Kind::KillNode => {
                let number: u32 = name.trim_start_matches("node").parse().unwrap_or(0);
                let down = self.nodes.borrow_mut()[number as usize].take();
                if let Some((mut child, _)) = down {
                    // SIGKILL, to its own id.
                    let _ = child.kill();
                    self.record.note("killed", json!({"node": name}));
                    let _ = child.status().await;
                }
                if for_s > 0.0 {
                    rest(for_s).await;
                    self.start_node(number).await?;
                }
            }
            Kind::RegistryRestart => self.registry("restart", for_s).await,
            Kind::RegistryCompact => self.registry("compact", 0.0).await,
            Kind::RegistryPartition => self.registry("silence", for_s).await,
            Kind::WatchStall => self.registry("stall", for_s).await,
            Kind::RegistryRollback => self.registry("roll_back", 0.0).await,
            Kind::RegistryEmpty => {
                self.registry("empty", 0.0).await;
                rest(for_s).await;
                let lines = self.lines.borrow().clone();
                for l in &lines {
                    self.publish(l, true).await;
                }
            }
            // Troubles of many have become single faults in the script.
            _ => {}
        }
        Ok(())
    }

    /// A node that is up, each in turn; the front of today sends to no dead one for long.
    fn node(&self, turn: usize) -> Option<(String, String)> {
        let nodes = self.nodes.borrow();
        let up: Vec<_> =
            nodes.iter().enumerate().filter_map(|(n, x)| Some((n, x.as_ref()?.1.clone()))).collect();
        up.get(turn % up.len().max(1)).map(|(n, a)| (format!("node{n}"), a.clone()))
    }
}

fn dice(chance: &mut WyRand) -> f64 {
    chance.generate::<u32>() as f64 / u32::MAX as f64
}

fn words(tokens: f64, salt: u64) -> String {
    let mut text = format!("[{salt}] ");
    while (text.len() as f64) < 4.0 * tokens - 16.0 {
        text.push_str("line of a text ");
    }
    text
}

/// Open-loop arrivals of one kind of traffic: each at its time, however the earlier ones fare.
async fn traffic(stage: Rc<Stage>, n: usize, t: Traffic, ex: Rc<LocalExecutor<'static>>) {
    let mut chance = WyRand::new_seed(stage.seed.wrapping_mul(1000) + n as u64);
    let route = stage.day.model_route.iter().find(|r| r.model == t.model).cloned().unwrap_or_default();
    let key = stage.day.tenant.iter().find(|x| x.name == t.tenant()).map(|x| x.key.clone());
    let until = t.to_s().min(stage.day.length_s);
    let mut at = t.from_s();
    // Drawn at the day's highest rate, and thinned: a burst changes nothing of the others' chance.
    let most_rate = stage.script.most_rate();
    let begun_unix = unix_now() - stage.begun.elapsed().as_secs_f64();
    let mut clients = Vec::new();
    for k in 0u64.. {
        at -= dice(&mut chance).max(1e-9).ln() / (t.rate_per_s * most_rate);
        if at >= until {
            break;
        }
        if dice(&mut chance) * most_rate > stage.script.rate(at) {
            continue;
        }
        rest(at - stage.begun.elapsed().as_secs_f64()).await;
        let Some((node, address)) = stage.node(chance.generate::<u32>() as usize) else { continue };
        let size = t.prompt_tokens() * (0.5 + dice(&mut chance));
        let hot = dice(&mut chance) < stage.script.hot(at);
        let shared = hot || t.beginnings() > 0;
        let some = if t.beginnings() > 0 { chance.generate::<u64>() % u64::from(t.beginnings()) } else { 0 };
        // One that all traffic shares, beside those of each kind of it.
        let beginning = if hot { 999_999 } else { some };
        let fate = dice(&mut chance);
        let (waiting, streaming) = (t.leave_waiting_share(), t.leave_streaming_share());
        let bad = waiting + streaming + t.malformed_share();
        let record = stage.record.of("client");
        if fate >= waiting + streaming && fate < bad {
            clients.push(ex.spawn(malformed(address, k, stage.day.clone(), record)));
            continue;
        }
        let leave = match fate {
            f if f < waiting => Leave::Waiting(0.02 + 0.2 * dice(&mut chance)),
            f if f < waiting + streaming => Leave::Streaming(1 + (10.0 * dice(&mut chance)) as usize),
            _ => Leave::Never,
        };
        let per_token = route.target_per_1000_tokens_ms() / 1e6;
        let stream = dice(&mut chance) < t.stream_share() || matches!(leave, Leave::Streaming(_));
        let first_by = route.route_timeout_ms / 1e3 + 2.0 * per_token * (size + 16.0);
        let ask = Ask {
            req: format!("q{n}-{k}"),
            node,
            address,
            model: t.model.clone(),
            key: key.clone(),
            system: if shared { words(0.6 * size, 1_000_000 * n as u64 + beginning) } else { String::new() },
            prompt: words(if shared { 0.4 * size } else { size }, k),
            max_tokens: t.max_tokens,
            stream,
            timeout_s: if stream { first_by } else { route.whole_timeout_ms() / 1e3 },
            target_s: route.first_token_target_ms / 1e3 + per_token * size,
            intended: begun_unix + at,
            leave,
            slow_s: if dice(&mut chance) < t.slow_share() { 0.05 } else { 0.0 },
            ..Ask::default()
        };
        let abuses = dice(&mut chance) < stage.script.abuse(at);
        let retry = match abuses {
            true => Retry { most: 5, wait_s: 0.0, impatient: true },
            false => Retry { most: t.retries(), wait_s: t.retry_wait_ms() / 1e3, impatient: t.impatient() },
        };
        clients.push(ex.spawn(insist(stage.clone(), ask, retry, chance.generate::<u32>() as usize, record)));
    }
    for c in clients {
        c.await;
    }
}

struct Retry {
    most: u32,
    wait_s: f64,
    /// Heeds no come-back time.
    impatient: bool,
}

/// Asks, and asks again where nothing came of it.
async fn insist(stage: Rc<Stage>, mut ask: Ask, retry: Retry, turn: usize, record: Record) {
    let first = ask.req.clone();
    for again in 0..=retry.most {
        if again > 0 {
            let Some((node, address)) = stage.node(turn + again as usize) else { return };
            (ask.node, ask.address, ask.again) = (node, address, again);
            (ask.req, ask.of) = (format!("{first}-{again}"), Some(first.clone()));
            ask.intended = unix_now();
        }
        let seen = client::ask(&ask, &record).await;
        if seen.as_ref().is_some_and(|s| matches!(s.how.as_str(), "completed" | "left")) {
            return;
        }
        let told = seen.and_then(|s| s.come_back_s).filter(|_| !retry.impatient);
        rest(told.unwrap_or(0.0).max(retry.wait_s)).await;
    }
}

/// Where standard error is a terminal, how far the day is.
async fn progress(stage: Rc<Stage>) {
    use std::io::IsTerminal;
    let (name, length) = (stage.day.name.clone(), stage.day.length_s);
    while std::io::stderr().is_terminal() {
        let now = stage.begun.elapsed().as_secs_f64().min(length);
        let done = (20.0 * now / length) as usize;
        eprint!("\r{name}: [{}{}] {now:.0} of {length:.0} s ", "#".repeat(done), ".".repeat(20 - done));
        rest(0.5).await;
    }
}

/// Clients that speak badly: each must get an error, and cost nothing more.
async fn malformed(address: String, k: u64, day: Day, record: Record) {
    let most = day.limits.unwrap_or_default().most_body_bytes();
    let head = |len: usize| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n")
    };
    let (kind, pieces, rest_s) = match k % 4 {
        0 => ("json", vec![head(9).into_bytes(), b"{\"model\":".to_vec()], 0.0),
        1 => ("large", vec![head(most as usize + 1).into_bytes(), vec![b'x'; 1024]], 0.0),
        2 => ("slow", vec![head(100).into_bytes(), b"{".to_vec(), b" ".to_vec(), b" ".to_vec()], 0.6),
        _ => ("head", vec![b"POST /v1/chat".to_vec()], 0.0),
    };
    let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
    let patience = day.limits.unwrap_or_default().body_ms() / 1e3 + 2.0;
    let answer = client::raw(&address, &pieces, rest_s, patience).await;
    record.note("malformed", json!({"kind": kind, "status": client::status(&answer)}));
}

/// What came of one day.
struct Outcome {
    day: Day,
    script: Script,
    series: Series,
    routes: BTreeMap<String, Service>,
    verdict: Verdict,
    notes: Vec<String>,
    stall: f64,
}

impl Rehearse {
    /// The days to play, with what is to be known about each; none where one was only to be written down.
    fn days(&self) -> Result<Vec<(Day, Vec<String>)>, Unusable> {
        let read = |f: &PathBuf| nickelgw_settings::day(f).map_err(|p| start::problems(&p));
        if let Some(dir) = &self.all {
            let entries = std::fs::read_dir(dir).map_err(|e| Unusable(format!("{}: {e}", dir.display())))?;
            let mut files: Vec<PathBuf> = entries.filter_map(|f| Some(f.ok()?.path())).collect();
            // What others build on is no day by itself.
            let is_day = |f: &PathBuf| {
                f.extension().is_some_and(|e| e == "txtpb") && f.file_stem().is_some_and(|n| n != "base")
            };
            files.retain(is_day);
            files.sort();
            return files.iter().map(|f| Ok((read(f)?, Vec::new()))).collect();
        }
        if let Some(file) = &self.from_bench {
            let wrong = |why: String| Unusable(format!("{}: {why}", file.display()));
            let text = std::fs::read_to_string(file).map_err(|e| wrong(e.to_string()))?;
            let v: Value = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
            let made = bench_day::day(&v, bench_day::Room::default());
            let (day, notes) = made.map_err(|e| wrong(format!("is no day of the bench: {}", e.0)))?;
            notes.iter().for_each(|n| println!("{n}"));
            let text = nickelgw_settings::text_of_day(&day);
            nickelgw_settings::day_text("the day made", &text).map_err(|p| start::problems(&p))?;
            if let Some(to) = &self.write_day {
                std::fs::write(to, text)?;
                return Ok(Vec::new());
            }
            return Ok(vec![(day, notes)]);
        }
        let file = self.day.as_ref();
        let file = file
            .ok_or_else(|| Unusable("no day is given: a file, --from-bench FILE, or --all FOLDER".into()))?;
        Ok(vec![(read(file)?, Vec::new())])
    }

    pub fn run(self) -> Result<ExitCode, Unusable> {
        let many = self.all.is_some();
        let (root, kept) = match &self.report {
            Some(d) => (d.clone(), true),
            None => (std::env::temp_dir().join(format!("nickelgw-rehearsal-{}", std::process::id())), false),
        };
        let mut outcomes = Vec::new();
        for (day, notes) in self.days()? {
            let dir = if many { root.join(day.name.replace(' ', "-")) } else { root.clone() };
            let outcome = self.one(day, notes, &dir);
            if !kept {
                let _ = std::fs::remove_dir_all(&dir);
            }
            let o = outcome?;
            if many {
                let served = 100.0 * o.series.sum(0, o.series.seconds).share().unwrap_or(0.0);
                let worst = o.series.worst().map_or("-".into(), |w| format!("{:.0}%", 100.0 * w.1));
                let broken = o.verdict.breaks.len();
                println!(
                    "{:<16} served {served:>5.1}%, worst 10 s {worst:>4}, rules broken {broken}",
                    o.day.name
                );
            } else {
                table(&o.routes);
                say(&o.verdict);
                let (stall, allowed) = (1e3 * o.stall, 1e3 * SLACK_S);
                println!("longest stall of the driver itself: {stall:.0} ms (allowed for: {allowed:.0} ms)");
            }
            if kept {
                std::fs::write(dir.join("report.json"), serde_json::to_string_pretty(&self.json(&o))?)?;
            }
            outcomes.push(o);
        }
        if kept {
            let played: Vec<Played> = outcomes.iter().map(|o| self.played(o)).collect();
            std::fs::write(root.join("report.html"), page("Rehearsal", &played))?;
        }
        let sound = outcomes.iter().all(|o| o.verdict.breaks.is_empty());
        Ok(if sound { ExitCode::SUCCESS } else { ExitCode::from(1) })
    }

    fn one(&self, mut day: Day, notes: Vec<String>, dir: &Path) -> Result<Outcome, Unusable> {
        if let Some(n) = self.retries {
            for t in &mut day.traffic {
                (t.retries, t.impatient) = (Some(n), Some(true));
            }
        }
        if self.no_retry_budget {
            day.retries = Some(Retries { share: Some(1e9), burst: Some(1e9), ..Default::default() });
        }
        let made = || -> std::io::Result<()> {
            for d in ["records", "logs", "certs"] {
                let d = dir.join(d);
                if d.exists() {
                    std::fs::remove_dir_all(&d)?;
                }
                std::fs::create_dir_all(d)?;
            }
            // What an earlier run's nodes kept is none of this one's.
            for f in std::fs::read_dir(dir)?.flatten() {
                if f.path().extension().is_some_and(|e| e == "store" || e == "list") {
                    std::fs::remove_file(f.path())?;
                }
            }
            Ok(())
        };
        made().map_err(|e| Unusable(format!("{}: {e}", dir.display())))?;
        let ex = Rc::new(LocalExecutor::new());
        let work = play(day.clone(), self.seed, (self.cold, self.fair), dir.to_path_buf(), ex.clone());
        let stall = smol::block_on(ex.run(work))?;
        let lines = nickelgw_audit::read(&dir.join("records"))?;
        let begun = lines.iter().find(|l| l.ev == "begin").map_or(0.0, |l| l.t);
        Ok(Outcome {
            script: Script::of(&day, self.seed),
            series: Series::of(&lines, begun, day.length_s),
            routes: nickelgw_audit::service(&lines),
            verdict: nickelgw_audit::judge(&lines),
            notes,
            stall,
            day,
        })
    }

    fn played<'a>(&self, o: &'a Outcome) -> Played<'a> {
        Played {
            name: &o.day.name,
            seed: self.seed,
            series: &o.series,
            troubles: &o.script.troubles,
            routes: &o.routes,
            verdict: &o.verdict,
            notes: &o.notes,
        }
    }

    fn json(&self, o: &Outcome) -> Value {
        let v = &o.verdict;
        let counts: serde_json::Map<String, Value> =
            Rule::ALL.iter().map(|r| (r.name().to_string(), json!(v.count(*r)))).collect();
        let route = |(name, s): (&String, &Service)| {
            let v = json!({"taken": s.taken, "completed": s.completed, "shed": s.shed, "errored": s.errored,
                "in_target": s.in_target, "wanted": s.wanted, "served": s.served, "left": s.left, "cut": s.cut,
                "first_token_p50_s": s.quantile(0.5), "first_token_p99_s": s.quantile(0.99)});
            (name.clone(), v)
        };
        let routes: serde_json::Map<String, Value> = o.routes.iter().map(route).collect();
        let one = |b: &nickelgw_audit::Break| json!({"rule": b.rule.name(), "what": b.what, "evidence": b.evidence});
        let breaks: Vec<Value> = v.breaks.iter().map(one).collect();
        // After each trouble: service in its first ten seconds, and time until it is back.
        let after = |t: &nickelgw_rehearsal::core::script::Trouble| {
            let at = t.from_s as usize;
            json!({"trouble": t.name, "at_s": t.from_s, "served_10_s": o.series.sum(at, at + 10).share(),
                "served_before": o.series.sum(at.saturating_sub(10), at).share(),
                "back_after_s": o.series.back_after(at, 0.95)})
        };
        let troubles: Vec<Value> = o.script.troubles.iter().map(after).collect();
        let worst = o.series.worst().map(|w| json!({"at_s": w.0, "served": w.1}));
        json!({"day": o.day.name, "seed": self.seed, "served": o.series.sum(0, o.series.seconds).share(),
            "rules": counts, "routes": routes, "worst_10_s": worst, "troubles": troubles,
            "judged": v.judged, "excused_states": v.excused, "doubted_sends": v.doubted, "nearest_cold": v.nearest_cold, "breaks": breaks,
            "driver_stall_s": o.stall, "held": v.held.len(), "held_p50_s": v.held(0.5),
            "held_p99_s": v.held(0.99), "held_longest_s": v.held(1.0), "notes": o.notes})
    }
}

/// Plays the day; gives the longest stall of this driver itself.
async fn play(
    day: Day,
    seed: u64,
    (cold, fair): (bool, bool),
    dir: PathBuf,
    ex: Rc<LocalExecutor<'static>>,
) -> Result<f64, Unusable> {
    let record = Record::file(&dir.join("records/driver.jsonl"), "driver")?;
    let listed = match day.registry() {
        true => texts(&["registry"]),
        false => texts(&["list", "--lag-ms", &day.list_lag_ms().to_string()]),
    };
    let path = dir.join("records/list.jsonl").display().to_string();
    let args = [listed, texts(&["--record", &path])].concat();
    let (list_child, list_address) = child(&args, &dir.join("logs/list.log")).await?;
    let authority = day.tls().then(|| Authority::new("first")).transpose().map_err(no_certificate)?;
    let script = Script::of(&day, seed);
    let stage = Rc::new(Stage {
        fair,
        cold,
        script,
        seed,
        dir,
        list: list_address,
        record,
        engines: RefCell::default(),
        nodes: RefCell::new((0..day.nodes()).map(|_| None).collect()),
        begun: Instant::now(),
        stall: RefCell::new(0.0),
        authority: RefCell::new(authority),
        lines: RefCell::default(),
        day,
    });
    stage.record.note("rules", rules(&stage.day));
    stage.trust(&[])?;
    for n in 0..stage.day.nodes() {
        stage.certificate(&format!("node{n}"), CertFault::None)?;
    }
    for name in engine_names(&stage.day) {
        let line = stage.start_engine(&name, false).await?;
        stage.publish(&line, true).await;
        stage.lines.borrow_mut().push(line);
    }
    for n in 0..stage.day.nodes() {
        let text = node_settings(&stage, n);
        let path = stage.file(&format!("node{n}.txtpb"));
        std::fs::write(&path, text)?;
        nickelgw_settings::node(&path).map_err(|p| start::problems(&p))?;
        stage.start_node(n).await?;
    }
    // The day begins when all nodes have heard the list.
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(5) {
        let lines = std::fs::read_to_string(stage.record_of("list")).unwrap_or_default();
        let told = |n: u32| lines.contains(&format!("\"node\":\"node{n}\""));
        if (0..stage.day.nodes()).all(told) {
            break;
        }
        rest(0.02).await;
    }
    let stage = match Rc::try_unwrap(stage) {
        Ok(s) => Rc::new(Stage { begun: Instant::now(), ..s }),
        Err(s) => s,
    };
    stage.record.note("begin", json!({}));
    if stage.day.registry() {
        stage.registry("save", 0.0).await;
    }
    let shown = ex.spawn(progress(stage.clone()));
    let watched = stage.clone();
    let stalls = ex.spawn(async move {
        loop {
            let before = Instant::now();
            rest(0.01).await;
            let late = before.elapsed().as_secs_f64() - 0.01;
            let mut most = watched.stall.borrow_mut();
            *most = most.max(late);
        }
    });
    let mut faults = Vec::new();
    for f in stage.script.faults.clone() {
        let stage = stage.clone();
        faults.push(ex.spawn(async move { stage.fault(&f).await }));
    }
    let all = stage.day.traffic.iter().cloned().enumerate();
    let flows: Vec<_> = all.map(|(n, t)| ex.spawn(traffic(stage.clone(), n, t, ex.clone()))).collect();
    for flow in flows {
        flow.await;
    }
    for f in faults {
        f.await?;
    }
    // What is still held must be let go, and what still runs must end.
    let hold = stage.day.rules.unwrap_or_default().hold_limit_ms() / 1e3;
    rest(hold + 2.0).await;
    stage.record.note("end", json!({}));
    drop((stalls, shown));
    let stall = *stage.stall.borrow();
    let mut children: Vec<Child> =
        stage.nodes.borrow_mut().iter_mut().filter_map(Option::take).map(|n| n.0).collect();
    children.extend(std::mem::take(&mut *stage.engines.borrow_mut()).into_values().map(|e| e.0));
    children.push(list_child);
    for mut c in children {
        let _ = c.kill();
        let _ = c.status().await;
    }
    Ok(stall)
}

fn rules(day: &Day) -> Value {
    let route = |r: &nickelgw_settings::proto::ModelRoute| {
        let repeat = match r.repeat() {
            Repeat::Retriable => "retriable",
            Repeat::Deduped => "deduped",
            Repeat::NonRetriable => "non_retriable",
        };
        let group = match r.dedupe_group() {
            Group::All => "all",
            Group::Zone => "zone",
            Group::Cell => "cell",
        };
        let memory = r.dedupe_memory_ms() / 1e3;
        (r.model.clone(), json!({"repeat": repeat, "group": group, "memory_s": memory}))
    };
    let routes: serde_json::Map<String, Value> = day.model_route.iter().map(route).collect();
    let doubt = nickelgw_settings::proto::Doubt::default();
    json!({"doubt_share": doubt.share(), "doubt_least": doubt.least(), "doubt_s": doubt.doubt_ms() / 1e3,
        "drain_grace_s": day.drain_grace_ms() / 1e3, "slack_s": SLACK_S, "routes": routes,
        "hold_limit_s": day.rules.unwrap_or_default().hold_limit_ms() / 1e3})
}

/// A node's settings from the day's, as a file that `nickelgw check` reads.
fn node_settings(stage: &Stage, number: u32) -> String {
    use nickelgw_settings::text_of;
    let d = &stage.day;
    let node = nickelgw_settings::Node {
        name: format!("node{number}"),
        number: Some(number),
        nodes: Some(d.nodes()),
        seed: Some(stage.seed),
        zone: node_zone(d, number).to_string(),
        zones: d.zones.clone(),
        listen: Some("127.0.0.1:0".into()),
        list: (!d.registry()).then(|| stage.list.clone()),
        list_file: None,
        registry: d.registry().then(|| nickelgw_settings::proto::Registry {
            endpoint: vec![stage.list.clone()],
            lease_ms: Some(3000.0),
            ..Default::default()
        }),
        accord: None,
        parked: None,
        doubt: None,
        last_list: Some(stage.file(&format!("node{number}.list")).display().to_string()),
        model_route: d.model_route.clone(),
        tenant: d.tenant.clone(),
        rules: d.rules,
        limits: d.limits,
        engine_tls: d.tls().then(|| {
            let file = |end: &str| stage.file(&format!("certs/node{number}.{end}")).display().to_string();
            nickelgw_settings::proto::EngineTls {
                trust: stage.file("certs/root.pem").display().to_string(),
                chain: Some(file("pem")),
                key: Some(file("key")),
                reload_ms: Some(250.0),
                ..Default::default()
            }
        }),
        chat_tls: None,
        repeats: None,
        retries: d.retries,
        leaving: None,
        admin: None,
        fair_admission: Some(d.fair_admission() || stage.fair),
        store: (!stage.cold).then(|| stage.file(&format!("node{number}.store")).display().to_string()),
        state_grants: d.state_grants.clone(),
    };
    text_of(&node)
}

/// Judges records again, without a run.
pub fn audit(dir: &Path) -> Result<ExitCode, Unusable> {
    let inner = dir.join("records");
    let dir = if inner.is_dir() { inner } else { dir.to_path_buf() };
    let lines = nickelgw_audit::read(&dir).map_err(|e| Unusable(format!("{}: {e}", dir.display())))?;
    if lines.is_empty() {
        return Err(Unusable(format!("{}: no records (*.jsonl) here", dir.display())));
    }
    let verdict = nickelgw_audit::judge(&lines);
    table(&nickelgw_audit::service(&lines));
    say(&verdict);
    Ok(if verdict.breaks.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn table(routes: &BTreeMap<String, Service>) {
    println!(
        "{:<14} {:>6} {:>9} {:>5} {:>7} {:>5} {:>4} {:>9} {:>7} {:>9} {:>9}",
        "model route",
        "taken",
        "completed",
        "shed",
        "errored",
        "left",
        "cut",
        "in target",
        "served",
        "first p50",
        "p99"
    );
    for (name, s) in routes {
        let ms = |q| s.quantile(q).map_or("-".into(), |x: f64| format!("{:.0} ms", 1e3 * x));
        println!(
            "{:<14} {:>6} {:>9} {:>5} {:>7} {:>5} {:>4} {:>9} {:>7} {:>9} {:>9}",
            name,
            s.taken,
            s.completed,
            s.shed,
            s.errored,
            s.left,
            s.cut,
            s.in_target,
            format!("{:.1}%", 100.0 * s.served as f64 / s.wanted.max(1) as f64),
            ms(0.5),
            ms(0.99)
        );
    }
}

fn say(v: &Verdict) {
    for r in Rule::ALL {
        let judged = v.judged.get(r.name()).copied().unwrap_or(0);
        let word = match v.count(r) {
            0 => "kept".to_string(),
            n => format!("BROKEN {n} times"),
        };
        println!("{:<7} {word}: {} ({judged} judged)", r.name(), r.says());
    }
    for b in v.breaks.iter().take(20) {
        println!("  {}: {}", b.rule.name(), b.what);
        b.evidence.iter().for_each(|e| println!("    {e}"));
    }
    if v.doubted > 0 {
        println!(
            "{} sends to engines that one word took away with too many others: in doubt, not judged",
            v.doubted
        );
    }
    if v.excused > 0 {
        println!("{} states not judged: their reader was cut off, or their node dead", v.excused);
    }
    if let (Some(p50), Some(p99), Some(longest)) = (v.held(0.5), v.held(0.99), v.held(1.0)) {
        let ms = |s: f64| 1e3 * s;
        println!(
            "states without a taker at their readers: p50 {:.1} ms, p99 {:.1} ms, longest {:.0} ms, of {}",
            ms(p50),
            ms(p99),
            ms(longest),
            v.held.len()
        );
    }
    println!("nearest to pushing over a cold engine: {:.0}% of what it stands", 100.0 * v.nearest_cold);
}
