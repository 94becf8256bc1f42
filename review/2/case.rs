//! Case 2: discovery answers slowly; engines begin to drain, and the node must stop sending to them.

#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const RUN_S: f64 = 40.0;
const REQUESTS_PER_S: f64 = 8.0;
/// From when on discovery's answers come late, and by how much.
const SLOW_FROM_S: f64 = 4.0;
const SLOW_MS: u64 = 100;
/// When engines begin to drain.
const DRAIN_AT_S: f64 = 8.0;
/// A change counts as told at the latest this long after discovery had it.
const TOLD_AFTER_S: f64 = 6.0;
/// What the settings allow after that, with the 50 ms of the protocol page.
const GRACE_S: f64 = ESTACIONAMIENTO.drain_grace_s + 0.05;

fn main() {
    let record = Record::new();
    let folder = Folder::new();
    let (states, attempts) = (Arc::new(States::default()), Arc::default());
    let start = |id: &str, role| Engine::start(id, role, ESTACIONAMIENTO.kinds, "sala-centro", 1, &states, &attempts, &record);
    let engines = vec![
        start("s-r1", Role::Read),
        start("s-r2", Role::Read),
        start("s-r3", Role::Read),
        start("s-w1", Role::Write),
        start("s-w2", Role::Write),
        start("s-w3", Role::Write),
    ];
    let agent = Agent::start("A", &engines, &record);
    let node = Node::start(&ESTACIONAMIENTO, &agent, &engines, &folder.0);
    let draining = ["s-r1", "s-w1"];
    let drained_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (changing, changed_agent, drain_time, told) = (engines.clone(), agent.clone(), drained_at.clone(), record.clone());
    spawn(move || {
        sleep(Duration::from_secs_f64(SLOW_FROM_S));
        if trouble() {
            told.say(format!("discovery answers {SLOW_MS} ms late from now on"));
            changed_agent.slow_ms.store(SLOW_MS, SeqCst);
        }
        sleep(Duration::from_secs_f64(DRAIN_AT_S - SLOW_FROM_S));
        for engine in changing.iter().filter(|engine| draining.contains(&&*engine.id)) {
            *lock(&engine.lifecycle) = "draining";
        }
        *lock(&drain_time) = Some(Instant::now());
        changed_agent.changed(&draining);
        told.say(format!("discovery has that {draining:?} drain"));
    });
    let mut random = Random::new(59);
    let mut clients = Vec::new();
    let (started, mut number, mut next_at) = (Instant::now(), 0u64, 0.0);
    while next_at < RUN_S {
        sleep(Duration::from_secs_f64((next_at - started.elapsed().as_secs_f64()).max(0.0)));
        next_at += -(1.0 - random.unit()).ln() / REQUESTS_PER_S;
        number += 1;
        let record = record.clone();
        let (session, prefix) = (random.next(), random.next() % 12);
        let prompt_tokens = random.between(3100.0, 3300.0) as usize;
        let (id, address) = (format!("{:08x}{number:08x}", random.next() as u32), node.address);
        clients.push(spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_nodelay(true);
            let text = RequestText { id: &id, class: "consulta", caller: "-", session, prefix, budget_ms: 4500, prompt_tokens, prefix_tokens: 3000 };
            record.say(format!("client sends {id}"));
            if stream.write_all(&text.encode()).is_ok() {
                let answer = read_answer(&mut stream, Duration::from_secs(15));
                record.say(format!("client of {id} got {} whole: {}", answer.status, answer.whole));
            }
        }));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(node);
    let drained_at = lock(&drained_at).expect("the drain");
    let latest = drained_at + Duration::from_secs_f64(TOLD_AFTER_S + GRACE_S);
    let sent = lock(&attempts);
    let late: Vec<&Attempt> =
        sent.iter().filter(|attempt| draining.contains(&&*attempt.engine) && attempt.at > latest).collect();
    let broken: Vec<String> = late
        .iter()
        .map(|attempt| {
            let after = attempt.at.duration_since(drained_at).as_secs_f64();
            format!("{} was sent to {} {after:.2} s after discovery had that it drains", attempt.id, attempt.engine)
        })
        .collect();
    let last = sent.iter().filter(|attempt| draining.contains(&&*attempt.engine)).last();
    let last_s = last.map_or(0.0, |last| last.at.saturating_duration_since(drained_at).as_secs_f64());
    let summary = format!(
        "{number} requests, {} attempts; the last at a draining engine {last_s:.2} s after discovery had it, allowed {:.2} s",
        sent.len(),
        TOLD_AFTER_S + GRACE_S
    );
    let code = record.finish(&broken, &summary);
    drop(folder);
    std::process::exit(code);
}
