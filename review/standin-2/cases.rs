//! The cases. Each starts a node and its stand-ins, causes one disruption and judges one rule.

use crate::client::{Exchange, Outcome, Request};
use crate::discovery::{Agent, Entry, List};
use crate::engine::{Engine, Held};
use crate::node::{Limits, Node, SIGHUP};
use crate::record::Record;
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, Builder, JoinHandle};
use std::time::{Duration, Instant};

/// Time by which every limit is longer on sockets (PROTOCOL.md).
const SOCKET_SLACK_S: f64 = 0.05;
/// Time after a request's own time up to which its answer only earns nothing (STANDING.md).
const LATE_ANSWER_S: f64 = 0.5;
/// Stack of a client's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Limits of a node: those of the process within those of the scored days (DAYS.md), the grace of
/// `nakuru-rounds`.
const LIMITS: Limits = Limits { memory_mb: 96, sockets: 256, grace_s: 0.5 };
/// Version of the list with which each case begins.
const FIRST_VERSION: u64 = 42;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn spawn<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> Result<JoinHandle<T>, String> {
    Builder::new().stack_size(STACK_BYTES).spawn(run).map_err(|error| error.to_string())
}

/// Two readers and two writers, and the list that names them.
struct Site {
    engines: Vec<Arc<Engine>>,
    list: List,
}

impl Site {
    fn start(record: &Arc<Record>) -> Result<Site, String> {
        let held = Arc::new(Held::default());
        let names = [("reader-1", "m1"), ("reader-2", "m1"), ("writer-1", "m2"), ("writer-2", "m2")];
        let mut engines = Vec::new();
        let mut entries = Vec::new();
        for (name, kind) in names {
            let engine = Engine::start(name, kind == "m1", &held, record)?;
            let (address, changed_in) = (engine.address, FIRST_VERSION);
            entries.push(Entry { id: name, address, kind, lifecycle: "up", changed_in });
            engines.push(engine);
        }
        Ok(Site { engines, list: List { generation: FIRST_VERSION, entries } })
    }

    /// Returns the engine that drains in the cases about drains.
    fn drained(&self) -> &Arc<Engine> {
        &self.engines[3]
    }
}

/// Sends requests one after another; all of them have to be served before the disruption begins.
fn warm_up(node: SocketAddr, record: &Record) -> Result<(), String> {
    for number in 0..10 {
        let request = Request { id: format!("warm-{number}"), budget: ms(4000), body_bytes: 2000 };
        let exchange = request.send(node, ms(5000), record);
        if !matches!(exchange.outcome, Outcome::Served) {
            return Err(format!("request warm-{number} was not served before the disruption"));
        }
    }
    Ok(())
}

/// Two hundred clients send half of a request each and stay. Meanwhile usual clients send whole requests on
/// new connections. Each of these has to get its final answer in time.
pub fn half_requests(record: &Arc<Record>, trouble: bool) -> Verdict {
    const BAD_CLIENTS: usize = 200;
    const USUAL_CLIENTS: usize = 20;
    const BUDGET: Duration = Duration::from_millis(550);
    let site = Site::start(record)?;
    let agent = Agent::start("agent", site.list.clone(), record)?;
    let mut node = Node::new(LIMITS, record)?;
    node.write_config(agent.address, &site.list)?;
    node.start(agent.address)?;
    warm_up(node.address, record)?;

    let mut bad = Vec::new();
    if trouble {
        record.line(&format!("{BAD_CLIENTS} clients send half of a request each and stay"));
        for number in 0..BAD_CLIENTS {
            let (address, record) = (node.address, record.clone());
            bad.push(spawn(move || half_a_request(address, number, &record))?);
        }
        sleep(ms(200));
    }
    let mut usual = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (address, record) = (node.address, record.clone());
        usual.push(spawn(move || {
            let request = Request { id: format!("usual-{number}"), budget: BUDGET, body_bytes: 2000 };
            request.send(address, ms(8000), &record)
        })?);
        sleep(ms(25));
    }
    let limit_s = BUDGET.as_secs_f64() + LATE_ANSWER_S + SOCKET_SLACK_S;
    let mut lost = 0;
    let mut served = 0;
    for client in usual {
        let exchange = client.join().map_err(|_| "a client failed".to_string())?;
        lost += usize::from(is_lost(&exchange, limit_s));
        served += usize::from(matches!(exchange.outcome, Outcome::Served));
    }
    for client in bad {
        let _ = client.join();
    }
    record.line(&format!(
        "{USUAL_CLIENTS} usual requests: {served} served, {lost} without a final answer within {limit_s:.2} s"
    ));
    Ok(lost == 0)
}

/// Returns whether a request that the node's machine took got no final answer in time. A connection that was
/// not established, or that the node closed without having read the request, is no loss.
fn is_lost(exchange: &Exchange, limit_s: f64) -> bool {
    match exchange.outcome {
        Outcome::NotConnected | Outcome::Closed => false,
        _ => exchange.answered_after_s.is_none_or(|after_s| after_s > limit_s),
    }
}

/// Sends the beginning of a request and stays until the node answers or closes.
fn half_a_request(node: SocketAddr, number: usize, record: &Record) {
    let began_at = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&node, ms(3000)) else {
        return record.line(&format!("bad client {number}: not connected"));
    };
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: half-{number}\r\nX-Call-Class: round-query\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.set_read_timeout(Some(ms(8000)));
    let mut answer = [0; 200];
    let length = stream.read(&mut answer).unwrap_or(0);
    let status = String::from_utf8_lossy(&answer[..length]).lines().next().unwrap_or("-").to_string();
    record.line(&format!("bad client {number}: {status} after {:.3} s", began_at.elapsed().as_secs_f64()));
}

/// Some five hundred clients send a head that does not end and stay; each comes back when it has got its
/// error. Usual clients send long prompts. The node has to stay within its memory limit.
pub fn memory(record: &Arc<Record>, trouble: bool) -> Verdict {
    const LIMIT_MB: u32 = 32;
    const BAD_CLIENTS: usize = 510;
    const USUAL_CLIENTS: usize = 60;
    const DURATION: Duration = Duration::from_secs(10);
    let site = Site::start(record)?;
    let agent = Agent::start("agent", site.list.clone(), record)?;
    let mut node = Node::new(Limits { memory_mb: LIMIT_MB, sockets: 1024, ..LIMITS }, record)?;
    node.write_config(agent.address, &site.list)?;
    node.start(agent.address)?;
    warm_up(node.address, record)?;

    let running = Arc::new(AtomicBool::new(true));
    let errors = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..if trouble { BAD_CLIENTS } else { 0 } {
        let (address, running, errors) = (node.address, running.clone(), errors.clone());
        clients.push(spawn(move || {
            while running.load(Relaxed) {
                let got_error = endless_head(address, number) > 0;
                errors.fetch_add(usize::from(got_error), Relaxed);
            }
        })?);
    }
    for number in 0..USUAL_CLIENTS {
        let (address, record, running) = (node.address, record.clone(), running.clone());
        clients.push(spawn(move || {
            for turn in 0.. {
                if !running.load(Relaxed) {
                    break;
                }
                let id = format!("usual-{number}-{turn}");
                let request = Request { id, budget: ms(4000), body_bytes: 120_000 };
                request.send(address, ms(5000), &record);
                sleep(ms(200));
            }
        })?);
    }
    let limit_kb = u64::from(LIMIT_MB) * 1024;
    let until = Instant::now() + DURATION;
    let (mut peak_kb, mut held) = (0, true);
    while held && Instant::now() < until {
        let Some(anonymous_kb) = node.size_kb("RssAnon") else {
            record.line("node: its process has ended");
            held = false;
            break;
        };
        if anonymous_kb > peak_kb {
            let resident_kb = node.size_kb("VmRSS").unwrap_or(0);
            peak_kb = anonymous_kb;
            record.line(&format!("node: memory {anonymous_kb} kB anonymous, {resident_kb} kB resident"));
        }
        if anonymous_kb > limit_kb {
            record.line(&format!("platform: the node is over its {limit_kb} kB and is killed"));
            node.kill();
            held = false;
        }
        sleep(ms(5));
    }
    running.store(false, Relaxed);
    record.line(&format!(
        "peak {peak_kb} kB anonymous of {limit_kb} kB; bad clients got {} errors",
        errors.load(Relaxed)
    ));
    drop(node);
    for client in clients {
        let _ = client.join();
    }
    Ok(held)
}

/// Sends most of a head and stays until the node answers or closes. Returns the length of the answer.
fn endless_head(node: SocketAddr, number: usize) -> usize {
    const HEAD_BYTES: usize = 16_000;
    let Ok(mut stream) = TcpStream::connect_timeout(&node, ms(1000)) else {
        sleep(ms(50));
        return 0;
    };
    let mut head =
        format!("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: bad-{number}\r\nX-Note: ")
            .into_bytes();
    head.resize(HEAD_BYTES, b'x');
    let _ = stream.write_all(&head);
    let _ = stream.set_read_timeout(Some(ms(5000)));
    stream.read(&mut [0; 200]).unwrap_or(0)
}

/// Usual clients that send a request every 25 ms until this is dropped.
struct Traffic {
    running: Arc<AtomicBool>,
    sending: Option<JoinHandle<()>>,
}

impl Traffic {
    fn start(node: SocketAddr, record: &Arc<Record>) -> Result<Traffic, String> {
        let running = Arc::new(AtomicBool::new(true));
        let (continues, record) = (running.clone(), record.clone());
        let sending = spawn(move || {
            let mut clients = Vec::new();
            for number in 0.. {
                if !continues.load(Relaxed) {
                    break;
                }
                let record = record.clone();
                clients.extend(spawn(move || {
                    let id = format!("usual-{number}");
                    Request { id, budget: ms(1000), body_bytes: 2000 }.send(node, ms(2000), &record)
                }));
                sleep(ms(25));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        })?;
        Ok(Traffic { running, sending: Some(sending) })
    }

    fn end(mut self) {
        self.running.store(false, Relaxed);
        let _ = self.sending.take().map(JoinHandle::join);
    }
}

/// Judges whether anything was sent to the drained engine later than the grace after its drain was told.
fn judge_drain(site: &Site, told_at: f64, grace_s: f64, record: &Record) -> bool {
    let limit = told_at + grace_s + SOCKET_SLACK_S;
    let late = site.drained().sends_after(limit);
    record.line(&format!(
        "the drain counts as told at {told_at:.3}; {} sends to the draining engine after {limit:.3}",
        late.len()
    ));
    if let (Some((first, id)), Some((last, _))) = (late.first(), late.last()) {
        record.line(&format!("the first of them, of {id}, at {first:.3}; the last at {last:.3}"));
    }
    late.is_empty()
}

/// A drain is told. Then a new configuration names another agent, which is some seconds behind, and a planned
/// restart follows.
pub fn restart_behind(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let drained = site.list.with_drain("writer-2");
    let first = Agent::start("first", site.list.clone(), record)?;
    let second = Agent::start("second", site.list.clone(), record)?;
    let mut node = Node::new(LIMITS, record)?;
    node.write_config(first.address, &site.list)?;
    node.start(first.address)?;
    warm_up(node.address, record)?;
    let traffic = Traffic::start(node.address, record)?;
    sleep(ms(1000));

    first.set_list(drained.clone());
    let told_at = first.wait_until_told(drained.generation, ms(3000))?;
    if !trouble {
        second.set_list(drained.clone());
    }
    sleep(ms(1000));
    node.write_config(second.address, &drained)?;
    let reloaded_at = Instant::now();
    node.signal(SIGHUP);
    sleep(ms(500));
    node.end();
    node.start(second.address)?;
    // What discovery has to tell counts as told 4 s after SIGHUP: the second agent has it by then.
    sleep(ms(3800).saturating_sub(reloaded_at.elapsed()));
    if trouble {
        second.set_list(drained.clone());
    }
    sleep(ms(1000));
    traffic.end();
    Ok(judge_drain(&site, told_at, LIMITS.grace_s, record))
}

/// A drain is told. Then a new configuration names another agent while discovery is down. When discovery is
/// back, the agent has its former list at first, and learns of the drain two seconds later.
pub fn reload_outage(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let drained = site.list.with_drain("writer-2");
    let first = Agent::start("first", site.list.clone(), record)?;
    let second = Agent::start("second", site.list.clone(), record)?;
    let mut node = Node::new(LIMITS, record)?;
    node.write_config(first.address, &site.list)?;
    node.start(first.address)?;
    warm_up(node.address, record)?;
    let traffic = Traffic::start(node.address, record)?;
    sleep(ms(1000));

    first.set_list(drained.clone());
    let told_at = first.wait_until_told(drained.generation, ms(3000))?;
    sleep(ms(1000));
    if trouble {
        first.set_down(true);
        second.set_down(true);
    } else {
        second.set_list(drained.clone());
    }
    node.write_config(second.address, &drained)?;
    node.signal(SIGHUP);
    sleep(ms(5000));
    if trouble {
        second.set_down(false);
    }
    sleep(ms(2000));
    if trouble {
        second.set_list(drained.clone());
    }
    sleep(ms(1000));
    traffic.end();
    Ok(judge_drain(&site, told_at, LIMITS.grace_s, record))
}

/// The agent is crowded: it works off one call after another. Discovery is down for some seconds, and has the
/// drain of an engine when it is back.
pub fn crowded_agent(record: &Arc<Record>, trouble: bool) -> Verdict {
    /// Grace of `zagreb-main`.
    const GRACE_S: f64 = 0.25;
    /// Time after which a change counts as told at the latest, from when discovery had it and could be reached.
    const TOLD_AFTER_S: f64 = 6.0;
    let site = Site::start(record)?;
    let drained = site.list.with_drain("writer-2");
    let agent = Agent::start("agent", site.list.clone(), record)?;
    let mut node = Node::new(Limits { grace_s: GRACE_S, ..LIMITS }, record)?;
    node.write_config(agent.address, &site.list)?;
    if trouble {
        agent.set_crowded(ms(300));
    }
    node.start(agent.address)?;
    warm_up(node.address, record)?;
    let traffic = Traffic::start(node.address, record)?;
    sleep(ms(3000));

    if trouble {
        agent.set_down(true);
    }
    sleep(ms(4000));
    agent.set_list(drained);
    if trouble {
        agent.set_down(false);
    }
    let told_at = record.now() + TOLD_AFTER_S;
    let answers = agent.answers.load(Relaxed);
    sleep(ms(20_000));
    traffic.end();
    record.line(&format!(
        "discovery agent: {} answers written in the last 20 s",
        agent.answers.load(Relaxed) - answers
    ));
    Ok(judge_drain(&site, told_at, GRACE_S, record))
}
