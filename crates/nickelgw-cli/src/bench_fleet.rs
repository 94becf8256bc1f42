//! `nickelgw bench-fleet`: what a resync and a change of the fleet cost, how long a change takes to the view, and what a
//! mistaken empty list costs with and without doubt.

use crate::rehearse::rest;
use crate::Unusable;
use hdrhistogram::Histogram;
use nickelgw_protocol::list::{self, EndpointEntry, EngineState};
use nickelgw_registry::core::endpoint_view::{EndpointView, EndpointViewConfig, RegistryEvent};
use nickelgw_test_servers::engine_config::{EngineConfig as EngineFigures, Role};
use nickelgw_test_servers::{client, Recorder};
use serde_json::json;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

#[derive(clap::Args)]
pub struct BenchFleet {
    /// Changes made for each source.
    #[arg(long, default_value_t = 100)]
    changes: usize,
    /// Leaves the rolling deploys out, which take a minute.
    #[arg(long)]
    short: bool,
}

fn line(n: usize, address: &str) -> EndpointEntry {
    EndpointEntry {
        id: format!("e{n}"),
        address: address.into(),
        zone: "a".into(),
        cell: 0,
        role: if n.is_multiple_of(2) { list::EngineRole::Prefill } else { list::EngineRole::Decode },
        memory_tokens: 2e5,
        state: EngineState::Active,
        started_at: None,
        tls_name: None,
    }
}

/// Time and bytes of the view's own work.
fn resync() {
    println!("the view alone, medians of 9:");
    for n in [100usize, 1_000, 10_000] {
        let lines: Vec<EndpointEntry> =
            (0..n).map(|k| line(k, &format!("10.0.{}.{}:80", k / 250, k % 250))).collect();
        let bytes = serde_json::to_vec(&lines).map_or(0, |b| b.len());
        let mut v = EndpointView::new(EndpointViewConfig::default());
        let (mut full, mut change) = (Vec::new(), Vec::new());
        for r in 0..9u64 {
            let (again, from) = (lines.clone(), Instant::now());
            v.replace_all(r as f64, 2 * r + 1, again, false);
            full.push(from.elapsed().as_secs_f64() * 1e6);
            let mut l = lines[n / 2].clone();
            l.state = if r.is_multiple_of(2) { EngineState::Draining } else { EngineState::Active };
            let from = Instant::now();
            v.apply_events(r as f64, 2 * r + 2, vec![RegistryEvent::Put(l)]);
            v.take_changes();
            change.push(from.elapsed().as_secs_f64() * 1e6);
        }
        full.sort_by(f64::total_cmp);
        change.sort_by(f64::total_cmp);
        println!(
            "  {n} engines: full read {:.0} us ({:.1} us an engine, {:.0} KiB), one change {:.0} us",
            full[4],
            full[4] / n as f64,
            bytes as f64 / 1024.0,
            change[4]
        );
    }
}

/// Engines of a fleet that is deployed anew, in this process.
fn deployed(n: usize, generation: usize) -> Result<EndpointEntry, Unusable> {
    let l = TcpListener::bind("127.0.0.1:0")?;
    let mut made = line(n, &l.local_addr()?.to_string());
    made.id = format!("g{generation}-e{n}");
    // 50 readers and 50 writers of each about 217 requests a second together.
    let f = EngineFigures {
        id: made.id.clone(),
        role: if n.is_multiple_of(2) { Role::Prefill } else { Role::Decode },
        slots: if n.is_multiple_of(2) { 1 } else { 2 },
        prefill_base_s: 0.22,
        decode_step_s: 0.1,
        decode_step_per_stream_s: 0.0,
        mean_output_tokens: 4,
        ..EngineFigures::default()
    };
    thread::spawn(move || smol::block_on(nickelgw_test_servers::engine::run(l, f, Recorder::default(), 1)));
    Ok(made)
}

/// 100 engines replaced within 10 s under 70% of their load, each drained first or taken out at once; with and without
/// doubt.
fn rolling() -> Result<(), Unusable> {
    const ENGINES: usize = 100;
    println!("100 engines replaced within 10 s, 150 requests a second (70% of what they take) for 14 s:");
    for (name, drained, doubt) in [
        ("nothing replaced", None, ""),
        ("drained, then taken out", Some(true), ""),
        ("taken out undrained", Some(false), ""),
        ("taken out undrained, without doubt", Some(false), "doubt { share: 1 }"),
    ] {
        let l = TcpListener::bind("127.0.0.1:0")?;
        let registry = l.local_addr()?.to_string();
        thread::spawn(move || smol::block_on(nickelgw_test_servers::registry::run(l, Recorder::default())));
        let put = |l: &EndpointEntry| {
            order(&registry, json!({"order": "put", "key": format!("{PREFIX}{}", l.id), "value": l}));
        };
        let old: Vec<EndpointEntry> = (0..ENGINES).map(|n| deployed(n, 0)).collect::<Result<_, _>>()?;
        old.iter().for_each(put);
        let site = Site { dir: std::env::temp_dir(), lines: Vec::new(), registry: registry.clone() };
        let kept = std::env::temp_dir().join(format!("nickelgw-bench-rolling-{}", std::process::id()));
        let _ = std::fs::remove_file(&kept);
        let source = format!("registry {{ endpoint: 'REGISTRY' nodes_prefix: '' }} {doubt}");
        let (address, _) = site.node(&source, &kept)?;
        thread::sleep(Duration::from_millis(500));
        let asking = thread::spawn(move || {
            let ex = smol::LocalExecutor::new();
            smol::block_on(ex.run(async {
                let mut asked = Vec::new();
                for n in 0..2100u32 {
                    let at = Instant::now();
                    let address = address.clone();
                    asked.push(ex.spawn(async move {
                        let ask = client::ChatCall {
                            request_id: format!("q{n}"),
                            address,
                            model: "chat".into(),
                            prompt: format!("tell me {n}"),
                            stream: true,
                            max_tokens: Some(4),
                            timeout_s: 4.0,
                            ttft_target_s: 1.0,
                            intended_start: nickelgw_test_servers::recorder::unix_now(),
                            ..client::ChatCall::default()
                        };
                        let seen = client::call(&ask, &Recorder::default()).await;
                        seen.filter(|s| s.outcome == "completed").and_then(|s| s.ttft_s)
                    }));
                    rest(1.0 / 150.0 - at.elapsed().as_secs_f64()).await;
                }
                let mut first = Vec::new();
                for a in asked {
                    first.extend(a.await);
                }
                first
            }))
        });
        thread::sleep(Duration::from_secs(2));
        if let Some(drained) = drained {
            let mut leaving = std::collections::VecDeque::new();
            for (n, line) in old.iter().enumerate() {
                let at = Instant::now();
                put(&deployed(n, 1)?);
                let mut going = line.clone();
                if drained {
                    going.state = EngineState::Draining;
                    put(&going);
                }
                leaving.push_back(going);
                // It is gone two seconds after its drain, or at once.
                let stays = if drained { 20 } else { 0 };
                while leaving.len() > stays {
                    if let Some(l) = leaving.pop_front() {
                        order(&registry, json!({"order": "delete", "key": format!("{PREFIX}{}", l.id)}));
                        order(&l.address, json!({"fault": "die"}));
                    }
                }
                thread::sleep(Duration::from_millis(100).saturating_sub(at.elapsed()));
            }
        }
        let mut first = asking.join().unwrap_or_default();
        first.sort_by(f64::total_cmp);
        let in_target = first.iter().filter(|s| **s <= 1.0).count();
        let p99 = first.get(first.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0.0);
        println!(
            "  {name}: {} of 2100 completed, {in_target} in target, first token p99 {:.0} ms",
            first.len(),
            1e3 * p99
        );
        let _ = std::fs::remove_file(&kept);
    }
    Ok(())
}

struct Site {
    dir: PathBuf,
    lines: Vec<EndpointEntry>,
    registry: String,
}

fn settings(site: &Site, source: &str, kept: &Path) -> String {
    format!(
        "name: 'node0' zone: 'a' zones: 'a' listen: '127.0.0.1:0' last_list: '{}' {source}
         model_route {{ model: 'chat' first_token_target_ms: 1000 route_timeout_ms: 4000 }}",
        kept.display()
    )
    .replace("REGISTRY", &site.registry)
}

fn order(address: &str, v: serde_json::Value) {
    smol::block_on(client::control(address, &v));
}

const PREFIX: &str = "nickelgw/engines/";

impl Site {
    fn new() -> Result<Site, Unusable> {
        let dir = std::env::temp_dir().join(format!("nickelgw-bench-fleet-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let mut lines = Vec::new();
        for n in 0..12 {
            let l = TcpListener::bind("127.0.0.1:0")?;
            let address = l.local_addr()?.to_string();
            let role = if n % 2 == 0 { Role::Prefill } else { Role::Decode };
            let f = EngineFigures {
                id: format!("e{n}"),
                role,
                slots: 32,
                mean_output_tokens: 10,
                ..EngineFigures::default()
            };
            lines.push(line(n, &address));
            thread::spawn(move || {
                smol::block_on(nickelgw_test_servers::engine::run(l, f, Recorder::default(), 1))
            });
        }
        let l = TcpListener::bind("127.0.0.1:0")?;
        let registry = l.local_addr()?.to_string();
        thread::spawn(move || smol::block_on(nickelgw_test_servers::registry::run(l, Recorder::default())));
        for l in &lines {
            order(&registry, json!({"order": "put", "key": format!("{PREFIX}{}", l.id), "value": l}));
        }
        Ok(Site { dir, lines, registry })
    }

    /// Starts a node in this process; its address, and seconds until it was healthy.
    fn node(&self, source: &str, kept: &Path) -> Result<(String, f64), Unusable> {
        let text = settings(self, source, kept);
        let node = nickelgw_settings::parse_node("bench", &text).map_err(|p| crate::start::problems(&p))?;
        let start = crate::start::start(&node, None)?;
        let l = TcpListener::bind("127.0.0.1:0")?;
        let address = l.local_addr()?.to_string();
        let from = Instant::now();
        thread::spawn(move || smol::block_on(nickelgw_node::run(l, start)));
        let call = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        while client::response_status(&smol::block_on(client::send_raw(&address, &[call], 0.0, 1.0))) != 200 {
            if from.elapsed() > Duration::from_secs(10) {
                return Err(Unusable("the node did not come to serve".into()));
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok((address, from.elapsed().as_secs_f64()))
    }
}

/// An engine's line in the list that the node keeps.
fn kept(list: &Path, id: &str) -> serde_json::Value {
    let text = std::fs::read_to_string(list).unwrap_or_default();
    let v: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    v["engines"].as_array().into_iter().flatten().find(|l| l["id"] == id).cloned().unwrap_or_default()
}

impl BenchFleet {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        resync();
        if !self.short {
            rolling()?;
        }
        let site = Site::new()?;
        let done = self.site(&site);
        let _ = std::fs::remove_dir_all(&site.dir);
        done?;
        Ok(ExitCode::SUCCESS)
    }

    fn site(&self, site: &Site) -> Result<(), Unusable> {
        println!("from a change at the source to the list that the node keeps on disk:");
        let file = site.dir.join("engines.json");
        let write = |lines: &[EndpointEntry]| {
            let text = serde_json::to_vec(&json!({"revision": 1, "engines": lines})).unwrap_or_default();
            std::fs::write(site.dir.join("engines.new"), text)
                .and_then(|()| std::fs::rename(site.dir.join("engines.new"), &file))
        };
        write(&site.lines)?;
        let sources = [
            ("registry", "registry { endpoint: 'REGISTRY' nodes_prefix: '' }".to_string()),
            ("file", format!("list_file: '{}'", file.display())),
        ];
        for (name, source) in &sources {
            let list = site.dir.join(format!("{name}.kept"));
            site.node(source, &list)?;
            let mut h = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("a valid range");
            let rounds = if *name == "file" { self.changes / 5 } else { self.changes };
            for n in 0..rounds {
                let mut lines = site.lines.clone();
                // One that comes and goes each moment would be held out: another figure of it changes.
                lines[1].memory_tokens = 1e5 + n as f64;
                let from = Instant::now();
                if *name == "file" {
                    write(&lines)?;
                } else {
                    order(
                        &site.registry,
                        json!({"order": "put", "key": format!("{PREFIX}e1"), "value": lines[1]}),
                    );
                }
                while kept(&list, "e1")["memory_tokens"] != lines[1].memory_tokens
                    && from.elapsed() < Duration::from_secs(10)
                {
                    thread::sleep(Duration::from_micros(500));
                }
                h.saturating_record(from.elapsed().as_micros() as u64);
                // Damping is not what is measured: one that comes and goes each moment would be held out.
                thread::sleep(Duration::from_millis(if n.is_multiple_of(2) { 20 } else { 5 }));
            }
            let ms = |q| h.value_at_quantile(q) as f64 / 1e3;
            println!(
                "  {name}: p50 {:.1} ms, p99 {:.1} ms, worst {:.1} ms, of {}",
                ms(0.5),
                ms(0.99),
                ms(1.0),
                h.len()
            );
        }
        // Through breaks: the registry restarts, its history compacted, just before the change.
        let list = site.dir.join("breaks.kept");
        site.node("registry { endpoint: 'REGISTRY' nodes_prefix: '' }", &list)?;
        let mut h = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("a valid range");
        for n in 0..12usize {
            order(&site.registry, json!({"order": "restart", "for_s": 0.2}));
            let id = 2 + n % 10;
            let mut l = site.lines[id].clone();
            l.state = EngineState::Draining;
            order(&site.registry, json!({"order": "put", "key": format!("{PREFIX}e{id}"), "value": l}));
            order(&site.registry, json!({"order": "compact"}));
            let from = Instant::now();
            while kept(&list, &format!("e{id}"))["state"] != "draining"
                && from.elapsed() < Duration::from_secs(20)
            {
                thread::sleep(Duration::from_millis(1));
            }
            h.saturating_record(from.elapsed().as_micros() as u64);
            order(
                &site.registry,
                json!({"order": "put", "key": format!("{PREFIX}e{id}"), "value": site.lines[id]}),
            );
            thread::sleep(Duration::from_millis(200));
        }
        let ms = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "  registry away for 200 ms and compacted: p50 {:.0} ms, worst {:.0} ms, of {}",
            ms(0.5),
            ms(1.0),
            h.len()
        );

        println!("a registry emptied by mistake for 3 s, 40 requests a second for 6 s:");
        for (name, doubt) in [("with doubt", ""), ("without", "doubt { share: 1 }")] {
            let kept = site.dir.join(format!("empty-{}.kept", doubt.len()));
            let (address, _) =
                site.node(&format!("registry {{ endpoint: 'REGISTRY' nodes_prefix: '' }} {doubt}"), &kept)?;
            thread::sleep(Duration::from_millis(300));
            let asks: Vec<_> = (0..240)
                .map(|n| {
                    let address = address.clone();
                    thread::spawn(move || {
                        smol::block_on(async move {
                            rest(0.025 * f64::from(n)).await;
                            let ask = client::ChatCall {
                                request_id: format!("q{n}"),
                                address,
                                model: "chat".into(),
                                prompt: "tell me".into(),
                                max_tokens: Some(3),
                                stream: true,
                                timeout_s: 4.0,
                                ttft_target_s: 1.0,
                                intended_start: nickelgw_test_servers::recorder::unix_now(),
                                ..client::ChatCall::default()
                            };
                            client::call(&ask, &Recorder::default())
                                .await
                                .is_some_and(|s| s.outcome == "completed")
                        })
                    })
                })
                .collect();
            thread::sleep(Duration::from_secs(1));
            order(&site.registry, json!({"order": "empty", "key": PREFIX}));
            thread::sleep(Duration::from_secs(3));
            for l in &site.lines {
                order(
                    &site.registry,
                    json!({"order": "put", "key": format!("{PREFIX}{}", l.id), "value": l}),
                );
            }
            let served = asks.into_iter().map(|a| a.join().unwrap_or(false)).filter(|s| *s).count();
            println!("  {name}: {served} of 240 completed");
        }

        println!("from start to serving, of 5:");
        let last = site.dir.join("breaks.kept");
        let down = "registry { endpoint: '127.0.0.1:1' nodes_prefix: '' }";
        for (name, source, kept) in [
            ("registry there, nothing kept", "registry { endpoint: 'REGISTRY' nodes_prefix: '' }", None),
            ("registry down, the last list kept", down, Some(&last)),
        ] {
            let mut took = Vec::new();
            for n in 0..5 {
                let path = site.dir.join(format!("start-{n}-{}", source.len()));
                if let Some(k) = kept {
                    std::fs::copy(k, &path)?;
                }
                took.push(site.node(source, &path)?.1);
            }
            took.sort_by(f64::total_cmp);
            println!("  {name}: median {:.1} ms, longest {:.1} ms", 1e3 * took[2], 1e3 * took[4]);
        }
        Ok(())
    }
}
