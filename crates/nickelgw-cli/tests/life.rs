//! A node as a process: taken over under load, killed, told to go.

use nickelgw_protocol::list::{self, State};
use nickelgw_standin::client::{self, Ask};
use nickelgw_standin::model::{Figures, Role};
use nickelgw_standin::record::unix_now;
use nickelgw_standin::Record;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

struct Site {
    dir: PathBuf,
    list: String,
    reader: String,
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
        for (id, role) in [("r0", Role::Read), ("w0", Role::Write), ("w1", Role::Write)] {
            let f = Figures { id: id.into(), role, out_tokens: 8, step_s, slots: 64, ..Figures::default() };
            let l = TcpListener::bind("127.0.0.1:0").unwrap();
            lines.push(list::Line {
                id: id.into(),
                address: l.local_addr().unwrap().to_string(),
                zone: "a".into(),
                cell: 0,
                role: if role == Role::Read { list::Role::Read } else { list::Role::Write },
                memory_tokens: 2e5,
                state: State::In,
                started_at: None,
                tls_name: None,
            });
            thread::spawn(move || smol::block_on(nickelgw_standin::engine::run(l, f, Record::default(), 1)));
        }
        let reader = lines[0].address.clone();
        let l = TcpListener::bind("127.0.0.1:0").unwrap();
        let listed = l.local_addr().unwrap().to_string();
        thread::spawn(move || smol::block_on(nickelgw_standin::list::run(l, lines, 0.0, Record::default())));
        // A port that a node started anew can listen on again.
        let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
        let site = Site { dir, list: listed, reader, address: free };
        site.settings("");
        site
    }

    fn settings(&self, more: &str) {
        let text = format!(
            "name: 'node0' zone: 'a' zones: 'a' listen: '{}' list: '{}'\n\
             model_route {{ model: 'chat' first_token_target_ms: 2000 route_timeout_ms: 8000 }}\n\
             leaving {{ notice_ms: 300 grace_ms: 4000 end_ms: 1000 }}\n{more}",
            self.address, self.list
        );
        std::fs::write(self.dir.join("node.txtpb"), text).unwrap();
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

    fn ask(&self, req: &str) -> Option<client::Seen> {
        let ask = Ask {
            req: req.into(),
            address: self.address.clone(),
            model: "chat".into(),
            prompt: "tell me more".into(),
            stream: true,
            timeout_s: 8.0,
            target_s: 2.0,
            intended: unix_now(),
            ..Ask::default()
        };
        smol::block_on(client::ask(&ask, &Record::default()))
    }

    fn states(&self) -> i64 {
        let all = smol::block_on(client::control(&self.reader, &serde_json::json!({"fault": "forget"})));
        all.and_then(|v| v["states"].as_i64()).unwrap_or(-1)
    }
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
                        Some(s) if s.how == "completed" => {}
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
    assert!(after.is_some_and(|s| s.how == "completed"), "the new process serves");
}

#[test]
fn a_take_over_with_bad_settings_leaves_the_old_process_serving() {
    let site = Site::new("bad", 0.005);
    let mut old = site.start();
    site.settings("most_of_all: 3");
    signal(&old, Signal::HUP);
    thread::sleep(Duration::from_millis(600));
    assert!(old.try_wait().unwrap().is_none());
    assert!(site.ask("q").is_some_and(|s| s.how == "completed"));
    // Set right, it is taken over.
    site.settings("limits { most_open: 100 }");
    signal(&old, Signal::HUP);
    let code = exit_of(&mut old);
    let after = site.ask("after");
    end(&site);
    assert_eq!((code, after.map(|s| s.how)), (0, Some("completed".into())));
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
    assert!(asked.join().unwrap().is_some_and(|s| s.how == "completed"));
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
    assert!(asked.join().unwrap().is_some_and(|s| s.how != "completed"));
    assert_eq!(exit_of(&mut node), 3);
    assert_eq!(site.states(), 0);
}
