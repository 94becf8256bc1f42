//! The platform's node as a process: small limits filled by idle clients while discovery is down, and restarts.

#[allow(dead_code)]
#[path = "../../nickelgw-platform/tests/common/mod.rs"]
mod common;

#[allow(dead_code)]
mod processes;

use common::*;
use processes::{client, node, node_but, say, start, Node};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A discovery that is silent until told otherwise; then it tells this list.
fn sleeping(after: Value) -> (Peer, Arc<AtomicBool>) {
    let up = Arc::new(AtomicBool::new(false));
    let on = up.clone();
    let p = peer(move |asked, _| match on.load(Ordering::Relaxed) && !asked.contains("since=") {
        true => Then::Answer(plain("200 OK", &after.to_string())),
        false => Then::Hold,
    });
    (p, up)
}

/// Descriptors are a budget: however many idle clients there are, the node answers, streams go on, and the list is read
/// when discovery returns.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    const LIMIT: usize = 72;
    let (go, gone) = async_channel::bounded::<()>(1);
    let (first, second) = (reader(), reader());
    // The first stream stays open until the end.
    let w = peer(move |_, n| {
        if n == 1 {
            let _ = gone.recv_blocking();
        }
        Then::Answer(stream())
    });
    let known = list(&[&first], &[&w]);
    let mut after = list(&[&first, &second], &[&w]);
    after["instances"][0]["lifecycle"] = "draining".into();
    let (discovery, up) = sleeping(after);
    let n = node(1, &discovery, known, LIMIT, LIMIT);
    n.ready_in();
    let mut open = client(n.address);
    open.write_all(ask("ea01").as_bytes()).unwrap();
    w.wait("POST");
    let (on, crowd) = n.crowd(200);
    sleep(Duration::from_millis(1500));
    let (before, ticks) = (Instant::now(), n.ticks());
    assert!(n.is_ready(), "it answers while the crowd is there");
    sleep(Duration::from_secs(1));
    let used = (n.ticks() - ticks) as f64 / 100.0 / before.elapsed().as_secs_f64();
    assert!(used < 0.3, "it turns: {used} of a core");
    let used = n.descriptors();
    // 31 of them are the clients', 11 the process's own and discovery's; no more, though 200 are at the door.
    let sockets = used.iter().filter(|d| d.starts_with("socket:")).count();
    assert!(sockets <= 31 + 11, "{used:?}");
    up.store(true, Ordering::Relaxed);
    let returned = Instant::now();
    let mut k = 0;
    while second.seen("POST").is_empty() {
        assert!(returned.elapsed() < Duration::from_secs(5), "the list was not had");
        say(n.address, ask(&format!("eb{k}")).as_bytes());
        k += 1;
    }
    let before = first.seen("POST").len();
    (0..3).for_each(|k| drop(say(n.address, ask(&format!("ec{k}")).as_bytes())));
    assert_eq!(first.seen("POST").len(), before, "it drains");
    go.send_blocking(()).unwrap();
    let got = answer(&mut open);
    assert!(got.ends_with("0\r\n\r\n"), "the one with a request in it stayed: {got}");
    on.store(false, Ordering::Relaxed);
    crowd.join().unwrap();
}

/// Fewer descriptors than it was told: what rests is closed, and it waits in between.
#[test]
fn out_of_descriptors_it_goes_on_without_turning() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let n = node(2, &silent(), list(&[&r], &[&w]), 256, 40);
    n.ready_in();
    let (on, crowd) = n.crowd(60);
    sleep(Duration::from_millis(800));
    let (before, ticks) = (Instant::now(), n.ticks());
    let ready = (0..4).filter(|_| n.is_ready()).count();
    let rest = Duration::from_secs(1).saturating_sub(before.elapsed());
    sleep(rest);
    let used = (n.ticks() - ticks) as f64 / 100.0 / before.elapsed().as_secs_f64();
    assert!(ready >= 3 && used < 0.3, "ready {ready} of 4, {used} of a core");
    on.store(false, Ordering::Relaxed);
    crowd.join().unwrap();
    // The crowd has gone: it serves.
    sleep(Duration::from_millis(300));
    let got = say(n.address, ask("ed01").as_bytes());
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
}

/// Ten nodes are killed and started again, with discovery silent, idle clients at the door and requests coming all the
/// while.
#[test]
fn nine_in_ten_restarted_processes_are_ready_in_time() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let known = list(&[&r], &[&w]);
    let discovery = silent();
    let mut all: Vec<Node> = (0..10).map(|k| node(10 + k, &discovery, known.clone(), 128, 128)).collect();
    for n in &all {
        n.ready_in();
    }
    let on = Arc::new(AtomicBool::new(true));
    let load: Vec<_> = all
        .iter()
        .enumerate()
        .map(|(k, n)| {
            let (on, to) = (on.clone(), n.address);
            spawn(move || {
                let (mut served, mut i) = (0, 0);
                while on.load(Ordering::Relaxed) {
                    i += 1;
                    if let Ok(mut c) = TcpStream::connect(to) {
                        let _ = c.set_read_timeout(Some(Duration::from_secs(2)));
                        let sent = c.write_all(ask(&format!("f{k}x{i}")).as_bytes()).is_ok();
                        served += usize::from(sent && answer(&mut c).ends_with("0\r\n\r\n"));
                    }
                    sleep(Duration::from_millis(10));
                }
                served
            })
        })
        .collect();
    let crowds: Vec<_> = all.iter().map(|n| n.crowd(100)).collect();
    sleep(Duration::from_millis(300));
    for n in &mut all {
        kill_process(Pid::from_child(&n.child), Signal::KILL).unwrap();
        n.child.wait().unwrap();
    }
    let began = Instant::now();
    all.iter_mut().for_each(|n| n.child = start(&n.path, 128));
    let mut took: Vec<f64> = all
        .iter()
        .map(|n| {
            n.ready_in();
            began.elapsed().as_secs_f64()
        })
        .collect();
    took.sort_by(f64::total_cmp);
    sleep(Duration::from_millis(500));
    on.store(false, Ordering::Relaxed);
    let served: Vec<usize> = load.into_iter().map(|l| l.join().unwrap()).collect();
    for (still, crowd) in crowds {
        still.store(false, Ordering::Relaxed);
        crowd.join().unwrap();
    }
    println!("ready after {took:?} s, served {served:?}");
    assert!(took[8] < 10.0, "{took:?}");
    assert!(served.iter().all(|&n| n > 0), "they serve what they knew: {served:?}");
}

/// Bytes that cannot be read: what one client sends costs that client alone, and the log one line.
#[test]
fn junk_costs_its_connection_alone_and_one_line_of_the_log() {
    let (r, w) = (reader(), peer(|_, _| Then::Answer(stream())));
    let mut n = node(3, &silent(), list(&[&r], &[&w]), 128, 128);
    n.ready_in();
    for k in 0..200 {
        let Ok(mut c) = TcpStream::connect(n.address) else { continue };
        let _ = c.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = c.write_all(&[b'a' + (k % 20) as u8; 700]);
        let _ = c.write_all(b"\r\n\r\n");
        let _ = c.read(&mut [0; 64]);
    }
    assert!(say(n.address, ask("ee01").as_bytes()).ends_with("0\r\n\r\n"));
    n.child.kill().unwrap();
    let mut log = String::new();
    n.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(log.matches("malformed message rejected").count(), 1, "{log}");
}

/// Twenty processes, six of eight engines of each role fresh, twice what a fresh one bears as an even part: what all of
/// them send one, reads, writes and probes together, is within its budget of N calls and 2 x root of N + 2 for chance.
#[test]
fn all_processes_keep_to_what_a_cold_engine_bears() {
    const NODES: u8 = 20;
    /// Inferences a second that an engine bears when warm, and of all clients.
    const BEARS: f64 = 10.0;
    const RATE: f64 = 60.0;
    let calls: Vec<Arc<std::sync::Mutex<Vec<Instant>>>> = (0..16).map(|_| Arc::default()).collect();
    let engine = |k: usize| {
        let at = calls[k].clone();
        let busy = Duration::from_millis(20);
        peer(move |asked, _| {
            at.lock().unwrap().push(Instant::now());
            sleep(busy);
            match (asked.starts_with("GET"), k < 8) {
                (true, _) => Then::Answer(plain("200 OK", "x0=0.1,x1=0")),
                (_, true) => Then::Answer(plain("202 Accepted", r#"{"cached_tokens":0}"#)),
                _ => Then::Answer(stream()),
            }
        })
    };
    let engines: Vec<Peer> = (0..16).map(engine).collect();
    let (readers, writers): (Vec<&Peer>, Vec<&Peer>) =
        (engines[..8].iter().collect(), engines[8..].iter().collect());
    let mut known = list(&readers, &writers);
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    for (k, i) in known["instances"].as_array_mut().unwrap().iter_mut().enumerate() {
        i["startedAtMs"] = if k % 8 < 6 { unix.into() } else { 0.into() };
    }
    let (began, discovery) = (Instant::now(), silent());
    let nodes: Vec<Node> = (0..NODES)
        .map(|k| {
            node_but(40 + k, &discovery, known.clone(), 256, |all| {
                all["settings"]["balancers"] = NODES.into();
                all["settings"]["limits"]["probes"] = true.into();
            })
        })
        .collect();
    for n in &nodes {
        n.ready_in();
    }
    let load: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(k, n)| {
            let to = n.address;
            spawn(move || {
                let gap = Duration::from_secs_f64(f64::from(NODES) / RATE);
                let first = Instant::now() + gap.mul_f64(k as f64 / f64::from(NODES));
                let mut served = 0;
                for i in 0..(4.0 / gap.as_secs_f64()) as u32 {
                    sleep((first + gap * i).saturating_duration_since(Instant::now()));
                    // Each conversation of its own: the hash spreads them.
                    let text = ask(&format!("a{k}x{i}"))
                        .replace("X-Route-Hash: 7f3a", &format!("X-Route-Hash: {k}x{i}"));
                    served += usize::from(say(to, text.as_bytes()).ends_with("0\r\n\r\n"));
                }
                served
            })
        })
        .collect();
    let served: usize = load.into_iter().map(|l| l.join().unwrap()).sum();
    let mut most: f64 = 0.0;
    let fresh = || calls.iter().enumerate().filter(|(k, _)| k % 8 < 6).map(|(_, at)| at);
    for at in fresh() {
        let at = at.lock().unwrap();
        for (n, t) in at.iter().enumerate() {
            let within = at[..=n].iter().filter(|x| **x + Duration::from_secs(2) > *t).count() as f64;
            let age = t.duration_since(began).as_secs_f64() / 9.0;
            let budget = 3.0 * (0.3 + 0.7 * age * age) * BEARS * 2.0;
            most = most.max(within / (budget + 2.0 * budget.sqrt() + 2.0));
        }
    }
    println!("{served} served, at most {most:.2} of the bound");
    assert!(served as f64 > 0.8 * 4.0 * RATE, "{served}");
    assert!(most <= 1.0, "{most}");
    let used: usize = fresh().map(|at| at.lock().unwrap().len()).sum();
    assert!(used > 20, "they are used: {used}");
}

/// The client's end and what would have it sent on are there at once when the loop looks again: queued with no reader, and
/// then the list brings one; read, and then the reader answers; not taken yet.
#[test]
fn what_left_while_the_loop_was_late_is_not_sent_on() {
    let (open, opened) = async_channel::bounded::<()>(1);
    let at_reader = opened.clone();
    let r = peer(move |_, _| {
        let _ = at_reader.recv_blocking();
        Then::Answer(plain("202 Accepted", r#"{"cached_tokens":4}"#))
    });
    let w = peer(|_, _| Then::Answer(stream()));
    let told = list(&[&r], &[&w]).to_string();
    let agent = peer(move |asked, _| {
        if asked.contains("since=") {
            return Then::Hold;
        }
        let _ = opened.recv_blocking();
        Then::Answer(plain("200 OK", &told))
    });
    // One knows no reader until the agent tells it, the other has one from the start.
    let (queues, reads) =
        (node(60, &agent, list(&[], &[&w]), 128, 128), node(61, &silent(), list(&[&r], &[&w]), 128, 128));
    let begin = |n: &Node, id: &str| {
        n.ready_in();
        let mut c = client(n.address);
        c.write_all(ask(id).as_bytes()).unwrap();
        c
    };
    let queued: Vec<TcpStream> = (0..5).map(|k| begin(&queues, &format!("fa0{k}"))).collect();
    let read = begin(&reads, "fb01");
    r.wait("POST");
    agent.wait("GET /v1/servers HTTP");
    sleep(Duration::from_millis(50));
    [&queues, &reads].into_iter().for_each(Node::freeze);
    drop((queued, read));
    for (n, id) in [(&queues, "fa09"), (&reads, "fb09")] {
        let mut c = client(n.address);
        c.write_all(ask(id).as_bytes()).unwrap();
    }
    // The agent tells of the reader, and the reader has read.
    open.close();
    sleep(Duration::from_millis(100));
    [&queues, &reads].into_iter().for_each(Node::thaw);
    // Both go on and serve who stays.
    for (n, id) in [(&queues, "fa10"), (&reads, "fb10")] {
        assert!(say(n.address, ask(id).as_bytes()).ends_with("0\r\n\r\n"));
    }
    sleep(Duration::from_millis(500));
    let ids = |p: &Peer| {
        let id = |r: &String| r.split("X-Call-Id: ").nth(1).unwrap()[..4].to_string();
        let mut all: Vec<String> = p.seen("POST").iter().map(id).collect();
        all.sort();
        all
    };
    assert_eq!(ids(&r), ["fa10", "fb01", "fb10"]);
    assert_eq!(ids(&w), ["fa10", "fb10"]);
}
