//! A node as a process: taken over under load, killed, told to go.

use nickelgw_protocol::list::{self, EngineState};
use nickelgw_test_servers::client::{self, ChatCall};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

struct Site {
    dir: PathBuf,
    list: String,
    engines: Vec<String>,
    record: Recorder,
    address: String,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Site {
    fn new(name: &str, step_s: f64) -> Site {
        let dir = std::env::temp_dir().join(format!("nickelgw-life-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let mut lines = Vec::new();
        let record = Recorder::memory("driver");
        for (id, role) in [("r0", Role::Prefill), ("w0", Role::Decode), ("w1", Role::Decode)] {
            let f = EngineConfig {
                id: id.into(),
                role,
                mean_output_tokens: 8,
                decode_step_s: step_s,
                slots: 64,
                ..EngineConfig::default()
            };
            let l = TcpListener::bind("127.0.0.1:0").unwrap();
            lines.push(list::EndpointEntry {
                id: id.into(),
                address: l.local_addr().unwrap().to_string(),
                zone: "a".into(),
                cell: 0,
                role: if role == Role::Prefill {
                    list::EngineRole::Prefill
                } else {
                    list::EngineRole::Decode
                },
                memory_tokens: 2e5,
                state: EngineState::Active,
                started_at: None,
                tls_name: None,
            });
            let of = record.for_source(id);
            thread::spawn(move || smol::block_on(nickelgw_test_servers::engine::run(l, f, of, 1)));
        }
        let engines = lines.iter().map(|l| l.address.clone()).collect();
        let l = TcpListener::bind("127.0.0.1:0").unwrap();
        let listed = l.local_addr().unwrap().to_string();
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::list::run(l, lines, 0.0, Recorder::default()))
        });
        // A port that a node started anew can listen on again, at an address of its own: at 127.0.0.1 a connection made
        // meanwhile by another test may have been given it.
        static SITES: AtomicU8 = AtomicU8::new(1);
        let own = Ipv4Addr::new(127, 2, SITES.fetch_add(1, Ordering::Relaxed), 1);
        let free = TcpListener::bind((own, 0)).unwrap().local_addr().unwrap().to_string();
        let site = Site { dir, list: listed, engines, record, address: free };
        site.settings("");
        site
    }

    fn settings(&self, more: &str) {
        let text = format!(
            "name: 'node0' zone: 'a' zones: 'a' listen: '{}' list: '{}'\n\
             model_route {{ model: 'chat' first_token_target_ms: 2000 route_timeout_ms: 8000 }}\n\
             model_route {{ model: 'booking' first_token_target_ms: 2000 route_timeout_ms: 8000 repeat: NON_RETRIABLE }}
\
             leaving {{ notice_ms: 300 grace_ms: 4000 end_ms: 1000 }}\n{more}",
            self.address, self.list
        );
        let store = format!("store: '{}'\n", self.dir.join("node.store").display());
        std::fs::write(self.dir.join("node.txtpb"), text + &store).unwrap();
    }

    /// Starts a node and waits until it serves.
    fn start(&self) -> Child {
        let mut child = Command::new(env!("CARGO_BIN_EXE_nickelgw"))
            .args(["serve", "--config"])
            .arg(self.dir.join("node.txtpb"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        assert!(lines.any(|l| l.is_ok_and(|l| l == "serving")), "it did not come to serve");
        child
    }

    fn ask(&self, req: &str) -> Option<client::CallResult> {
        let ask = ChatCall {
            request_id: req.into(),
            address: self.address.clone(),
            model: "chat".into(),
            prompt: "tell me more".into(),
            stream: true,
            timeout_s: 8.0,
            ttft_target_s: 2.0,
            intended_start: unix_now(),
            ..ChatCall::default()
        };
        smol::block_on(client::call(&ask, &Recorder::default()))
    }

    fn states(&self) -> i64 {
        let all = smol::block_on(client::control(&self.engines[0], &serde_json::json!({"fault": "forget"})));
        all.and_then(|v| v["states"].as_i64()).unwrap_or(-1)
    }

    /// A request with a key; what comes back within the patience.
    fn keyed(&self, model: &str, key: &str, patience: f64) -> String {
        let body = format!(
            r#"{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"pay {key}"}}]}}"#
        );
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: {key}\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let out = smol::block_on(client::send_raw(&self.address, &[text.as_bytes()], 0.0, patience));
        String::from_utf8_lossy(&out).to_string()
    }

    fn count(&self, ev: &str) -> usize {
        self.record.entries().iter().filter(|l| l["ev"] == ev).count()
    }

    fn wait(&self, what: &str, seen: impl Fn() -> bool) {
        let from = Instant::now();
        while !seen() {
            assert!(from.elapsed() < Duration::from_secs(10), "not seen in ten seconds: {what}");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn kill(node: &mut Child) {
    node.kill().unwrap();
    node.wait().unwrap();
}

fn signal(child: &Child, s: Signal) {
    kill_process(Pid::from_child(child), s).unwrap();
}

fn exit_of(child: &mut Child) -> i32 {
    let from = Instant::now();
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code().unwrap_or(-1);
        }
        assert!(from.elapsed() < Duration::from_secs(15), "it has not ended");
        thread::sleep(Duration::from_millis(10));
    }
}

/// The process that listens now, when it is none of ours: found by asking it to go.
fn end(site: &Site) {
    let pids = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let config = site.dir.join("node.txtpb").display().to_string();
    for p in pids {
        let Ok(pid) = p.file_name().to_string_lossy().parse::<i32>() else { continue };
        let line = std::fs::read_to_string(p.path().join("cmdline")).unwrap_or_default();
        if line.contains(&config) {
            let _ = kill_process(Pid::from_raw(pid).unwrap(), Signal::KILL);
        }
    }
}

#[test]
fn a_take_over_under_load_loses_no_request_and_no_stream() {
    let site = Arc::new(Site::new("over", 0.02));
    let mut old = site.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|c| {
            let (site, stop) = (site.clone(), stop.clone());
            thread::spawn(move || {
                let (mut n, mut bad) = (0, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    match site.ask(&format!("q{c}-{n}")) {
                        Some(s) if s.outcome == "completed" => {}
                        other => bad.push(format!("{other:?}")),
                    }
                    n += 1;
                }
                (n, bad)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    signal(&old, Signal::HUP);
    assert_eq!(exit_of(&mut old), 0);
    thread::sleep(Duration::from_millis(400));
    stop.store(true, Ordering::Relaxed);
    let all: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let (asked, bad): (usize, Vec<&String>) =
        (all.iter().map(|a| a.0).sum(), all.iter().flat_map(|a| &a.1).collect());
    let after = site.ask("after");
    end(&site);
    assert!(asked > 20 && bad.is_empty(), "{asked} asked: {bad:?}");
    assert!(after.is_some_and(|s| s.outcome == "completed"), "the new process serves");
}

#[test]
fn a_take_over_with_bad_settings_leaves_the_old_process_serving() {
    let site = Site::new("bad", 0.005);
    let mut old = site.start();
    site.settings("most_of_all: 3");
    signal(&old, Signal::HUP);
    thread::sleep(Duration::from_millis(600));
    assert!(old.try_wait().unwrap().is_none());
    assert!(site.ask("q").is_some_and(|s| s.outcome == "completed"));
    // Set right, it is taken over.
    site.settings("limits { most_open: 100 }");
    signal(&old, Signal::HUP);
    let code = exit_of(&mut old);
    let after = site.ask("after");
    end(&site);
    assert_eq!((code, after.map(|s| s.outcome)), (0, Some("completed".into())));
}

#[test]
fn a_signal_lets_streams_end_and_a_second_hastens() {
    let site = Arc::new(Site::new("term", 0.1));
    let mut node = site.start();
    let asked = {
        let s = site.clone();
        thread::spawn(move || s.ask("q"))
    };
    thread::sleep(Duration::from_millis(300));
    signal(&node, Signal::TERM);
    assert!(asked.join().unwrap().is_some_and(|s| s.outcome == "completed"));
    assert_eq!(exit_of(&mut node), 0);
    let mut node = site.start();
    let asked = {
        let s = site.clone();
        thread::spawn(move || s.ask("q"))
    };
    thread::sleep(Duration::from_millis(300));
    for _ in 0..3 {
        signal(&node, Signal::TERM);
        thread::sleep(Duration::from_millis(30));
    }
    assert!(asked.join().unwrap().is_some_and(|s| s.outcome != "completed"));
    assert_eq!(exit_of(&mut node), 3);
    assert_eq!(site.states(), 0);
}

#[test]
fn a_killed_node_runs_no_repeat_of_what_may_not_run_twice() {
    let site = Site::new("twice", 0.05);
    let mut node = site.start();
    // Killed while it streams, and while the prompt is read.
    thread::scope(|scope| {
        let first = scope.spawn(|| site.keyed("booking", "a", 3.0));
        site.wait("it has run", || site.count("ran") == 1);
        kill(&mut node);
        assert!(!first.join().unwrap().contains("[DONE]"));
    });
    let mut node = site.start();
    let again = site.keyed("booking", "a", 3.0);
    assert!(again.starts_with("HTTP/1.1 409") && again.contains("already_taken"), "{again}");
    // What may run again does.
    assert!(site.keyed("chat", "b", 3.0).contains("[DONE]"));
    kill(&mut node);
    let mut node = site.start();
    assert!(site.keyed("chat", "b", 3.0).contains("[DONE]"));
    assert!(site.keyed("booking", "a", 3.0).starts_with("HTTP/1.1 409"));
    // Taken over, the new process knows it too.
    assert!(site.keyed("booking", "c", 3.0).contains("[DONE]"));
    signal(&node, Signal::HUP);
    assert_eq!(exit_of(&mut node), 0);
    let again = site.keyed("booking", "c", 3.0);
    end(&site);
    assert!(again.starts_with("HTTP/1.1 409"), "{again}");
    assert_eq!(site.count("ran"), 4);
}

#[test]
fn what_a_killed_node_held_is_let_go_of_by_the_next() {
    let site = Site::new("held", 0.01);
    let mut node = site.start();
    for w in &site.engines[1..] {
        smol::block_on(client::control(w, &serde_json::json!({"fault": "silence", "for_s": 2.0})));
    }
    thread::scope(|scope| {
        let asked: Vec<_> = (0..5)
            .map(|n| {
                scope.spawn({
                    let site = &site;
                    move || site.ask(&format!("q{n}"))
                })
            })
            .collect();
        site.wait("all are read", || site.count("read") == 5);
        kill(&mut node);
        asked.into_iter().for_each(|a| drop(a.join()));
    });
    assert!(site.states() > 0);
    let mut node = site.start();
    let from = Instant::now();
    site.wait("they are let go of", || site.states() == 0);
    assert!(from.elapsed() < Duration::from_millis(1500), "{:?}", from.elapsed());
    kill(&mut node);
}

#[test]
fn a_node_started_again_and_again_serves_whatever_its_store_is_like() {
    let site = Site::new("often", 0.002);
    for n in 0..5 {
        let mut node = site.start();
        assert!(site.keyed("booking", &format!("k{n}"), 3.0).contains("[DONE]"));
        kill(&mut node);
    }
    let mut node = site.start();
    for n in 0..5 {
        assert!(site.keyed("booking", &format!("k{n}"), 3.0).starts_with("HTTP/1.1 409"));
    }
    kill(&mut node);
    let store = site.dir.join("node.store");
    let sound = std::fs::read(&store).unwrap();
    for bad in [b"no store at all".to_vec(), sound[..sound.len() / 2].to_vec(), Vec::new()] {
        std::fs::write(&store, bad).unwrap();
        let mut node = site.start();
        assert!(site.ask("q").is_some_and(|s| s.outcome == "completed"));
        kill(&mut node);
    }
}
