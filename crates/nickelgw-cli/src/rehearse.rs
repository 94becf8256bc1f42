//! `nickelgw rehearse`: a day's traffic and faults on child processes, judged from what crossed the sockets.

use crate::{start, Unusable};
use futures_lite::{AsyncBufReadExt, StreamExt};
use nanorand::{Rng, WyRand};
use nickelgw_audit::{AuditReport, RouteStats, Rule};
use nickelgw_protocol::list::{self, EndpointEntry, EngineState};
use nickelgw_rehearsal::core::script::Script;
use nickelgw_rehearsal::core::series::Series;
use nickelgw_rehearsal::core::simulator_day::{self, ConvertedDay};
use nickelgw_rehearsal::report::{render_page, DayReport};
use nickelgw_settings::proto::{fault::Kind, EngineRole, Fault, Group, Repeat, Retries, Traffic};
use nickelgw_settings::Day;
use nickelgw_settings::{engine_names, node_zone};
use nickelgw_test_servers::authority::{Authority, CertificateFault as CertFault};
use nickelgw_test_servers::client::{self, ChatCall, DisconnectAt};
use nickelgw_test_servers::engine_config::{EngineConfig, Role, TlsFiles};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use serde_json::{json, Value};
use smol::process::{Child, Command, Stdio};
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

mod clients;
mod show;
mod stage;
use clients::*;
pub use show::audit;
use show::*;
use stage::*;

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

/// What came of one day.
struct Outcome {
    day: Day,
    script: Script,
    series: Series,
    routes: BTreeMap<String, RouteStats>,
    verdict: AuditReport,
    notes: Vec<String>,
    stall: f64,
}

impl Rehearse {
    /// The days to play, with what is to be known about each; none where one was only to be written down.
    fn days(&self) -> Result<Vec<(Day, Vec<String>)>, Unusable> {
        let read = |f: &PathBuf| nickelgw_settings::load_day(f).map_err(|p| start::problems(&p));
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
            let made = simulator_day::convert(&v, simulator_day::MachineLimits::default());
            let ConvertedDay { day, notes } =
                made.map_err(|e| wrong(format!("is no day of the bench: {e}")))?;
            notes.iter().for_each(|n| println!("{n}"));
            let text = nickelgw_settings::day_to_text(&day);
            nickelgw_settings::parse_day("the day made", &text).map_err(|p| start::problems(&p))?;
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
                let served = 100.0 * o.series.whole_day().served_share().unwrap_or(0.0);
                let worst =
                    o.series.worst_window().map_or("-".into(), |w| format!("{:.0}%", 100.0 * w.served_share));
                let broken = o.verdict.violations.len();
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
            let played: Vec<DayReport> = outcomes.iter().map(|o| self.played(o)).collect();
            std::fs::write(root.join("report.html"), render_page("Rehearsal", &played))?;
        }
        let sound = outcomes.iter().all(|o| o.verdict.violations.is_empty());
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
        let lines = nickelgw_audit::read_records(&dir.join("records"))?;
        let begun = lines.iter().find(|l| l.event == "begin").map_or(0.0, |l| l.time_s);
        Ok(Outcome {
            script: Script::from_day(&day, self.seed),
            series: Series::from_records(&lines, begun, day.length_s),
            routes: nickelgw_audit::route_stats(&lines),
            verdict: nickelgw_audit::audit(&lines),
            notes,
            stall,
            day,
        })
    }

    fn played<'a>(&self, o: &'a Outcome) -> DayReport<'a> {
        DayReport {
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
        let route = |(name, s): (&String, &RouteStats)| {
            let v = json!({"taken": s.requests, "completed": s.completed, "shed": s.rejected, "errored": s.failed,
                "in_target": s.completed_in_target, "wanted": s.distinct_requests, "served": s.distinct_in_target, "left": s.client_disconnects, "cut": s.connection_failures,
                "first_token_p50_s": s.ttft_quantile(0.5), "first_token_p99_s": s.ttft_quantile(0.99)});
            (name.clone(), v)
        };
        let routes: serde_json::Map<String, Value> = o.routes.iter().map(route).collect();
        let one = |b: &nickelgw_audit::Violation| json!({"rule": b.rule.name(), "what": b.description, "evidence": b.evidence});
        let breaks: Vec<Value> = v.violations.iter().map(one).collect();
        // After each trouble: service in its first ten seconds, and time until it is back.
        let after = |t: &nickelgw_rehearsal::core::script::Trouble| {
            let at = t.from_s as usize;
            json!({"trouble": t.name, "at_s": t.from_s, "served_10_s": o.series.total(at..at + 10).served_share(),
                "served_before": o.series.total(at.saturating_sub(10)..at).served_share(),
                "back_after_s": o.series.recovery_s(at, 0.95)})
        };
        let troubles: Vec<Value> = o.script.troubles.iter().map(after).collect();
        let worst = o.series.worst_window().map(|w| json!({"at_s": w.start_s, "served": w.served_share}));
        json!({"day": o.day.name, "seed": self.seed, "served": o.series.whole_day().served_share(),
            "rules": counts, "routes": routes, "worst_10_s": worst, "troubles": troubles,
            "judged": v.checked, "excused_states": v.excused_reservations, "doubted_sends": v.unconfirmed_removal_attempts, "nearest_cold": v.max_slow_start_load, "breaks": breaks,
            "driver_stall_s": o.stall, "held": v.unattended_s.len(), "held_p50_s": v.unattended_quantile(0.5),
            "held_p99_s": v.unattended_quantile(0.99), "held_longest_s": v.unattended_quantile(1.0), "notes": o.notes})
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
    let record = Recorder::file(&dir.join("records/driver.jsonl"), "driver")?;
    let listed = match day.registry() {
        true => texts(&["registry"]),
        false => texts(&["list", "--lag-ms", &day.list_lag_ms().to_string()]),
    };
    let path = dir.join("records/list.jsonl").display().to_string();
    let args = [listed, texts(&["--record", &path])].concat();
    let (list_child, list_address) = child(&args, &dir.join("logs/list.log")).await?;
    let authority = day.tls().then(|| Authority::new("first")).transpose().map_err(no_certificate)?;
    let script = Script::from_day(&day, seed);
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
    stage.record.record("rules", rules(&stage.day));
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
        nickelgw_settings::load_node(&path).map_err(|p| start::problems(&p))?;
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
    stage.record.record("begin", json!({}));
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
    stage.record.record("end", json!({}));
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
    use nickelgw_settings::node_to_text;
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
    node_to_text(&node)
}
