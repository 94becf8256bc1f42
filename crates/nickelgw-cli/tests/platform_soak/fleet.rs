//! Nodes as processes with a client each that sends requests all the time, and the violations found in the end.

use crate::common::silent_discovery;
use crate::judge::Finding;
use crate::lateness::Lateness;
use crate::processes::{start_process_with, write_config};
use crate::world::{endpoints, start_engines, ProxiedEngine};
use nanorand::{Rng, WyRand};
use nickelgw_test_servers::platform::{send_request, ClientRequest, Outcome, RequestTable, RuleLimits};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PREFILLS: usize = 4;
const DECODES: usize = 5;
const DESCRIPTORS: usize = 256;
const TIMEOUT: Duration = Duration::from_millis(2000);
/// Gap between the requests of a node's client.
const GAP: Duration = Duration::from_millis(60);
/// After the request to shut down clients still come for so long; it is killed no sooner than its longest deadline and 0.7 s later.
const ACCEPT_DURATION: Duration = Duration::from_millis(400);
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// The rule of a line that a node logs when a release was not confirmed in time.
const OVERDUE_RULE: &str = "reservation_overdue";

/// Plays that this process has started.
static PLAYS_STARTED: AtomicUsize = AtomicUsize::new(0);

/// One node over the lives of its processes.
struct Member {
    address: SocketAddr,
    path: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    /// It is being restarted: clients send it nothing.
    restarting: AtomicBool,
    /// Requests that were open as it was killed are nobody's loss.
    killed: Mutex<Vec<Instant>>,
}

impl Member {
    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap()
    }

    fn spawn(path: &std::path::Path, log: &std::path::Path) -> Child {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        start_process_with(path, DESCRIPTORS, |process| {
            process.env("LEVEL", "--log-level debug").stderr(Stdio::from(file));
        })
    }

    fn restart(&self) {
        let mut child = self.child();
        let _ = child.wait();
        *child = Member::spawn(&self.path, &self.log);
        self.restarting.store(false, Relaxed);
    }

    fn remove_files(self: &Arc<Self>) {
        let _ = std::fs::remove_file(&self.log);
        let _ = std::fs::remove_file(&self.path);
    }

    fn was_killed_since(&self, since: Instant) -> bool {
        self.killed.lock().unwrap().iter().any(|killed_at| *killed_at >= since)
    }
}

pub struct Fleet {
    pub engines: Vec<ProxiedEngine>,
    members: Vec<Arc<Member>>,
    table: Arc<RequestTable>,
    running: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<(String, Outcome)>>>,
    shutdowns: Mutex<Vec<JoinHandle<()>>>,
    pub lateness: Arc<Lateness>,
}

/// The result of a play.
pub struct Report {
    pub asked: usize,
    pub served: usize,
    /// Everything that was found wrong.
    pub findings: Vec<Finding>,
    pub lateness: Arc<Lateness>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (asked, served, found) = (self.asked, self.served, self.findings.len());
        write!(
            formatter,
            "{asked} asked, {served} served, {found} findings; harness late by {:?}",
            self.lateness.max()
        )
    }
}

impl Fleet {
    pub fn start(nodes: usize, seed: u64) -> Fleet {
        let table = Arc::new(RequestTable::new(RuleLimits::default()));
        let engines = start_engines(&table, PREFILLS, DECODES);
        let discovery = silent_discovery();
        // A play that counts is not judged by the logs of one that did not.
        let play = PLAYS_STARTED.fetch_add(1, Relaxed);
        let members: Vec<Arc<Member>> = (0..nodes)
            .map(|n| {
                let (address, path) =
                    write_config(120 + n as u8, &discovery, endpoints(&engines), |config| {
                        let settings = &mut config["settings"];
                        settings["balancers"] = nodes.into();
                        settings["limits"]["probes"] = seed.is_multiple_of(2).into();
                        settings["limits"]["most_tries"] = 6.into();
                        let once =
                            json!({"name": "pay", "slo_s": 1.0, "idempotency": "side_effect", "worth": 1.0});
                        settings["classes"].as_array_mut().unwrap().push(once);
                        settings["family_info"]["aim_us_per_1000_prompt_tokens"] = json!([40000.0, 40000.0]);
                        settings["family_info"]["token_aim_s"] = json!([0.06, 0.06]);
                    });
                let log = path.with_extension(format!("play-{play}.log"));
                let child = Mutex::new(Member::spawn(&path, &log));
                let (restarting, killed) = (AtomicBool::new(false), Mutex::default());
                Arc::new(Member { address, path, log, child, restarting, killed })
            })
            .collect();
        sleep(Duration::from_secs(1));
        let running = Arc::new(AtomicBool::new(true));
        let client = |(n, member): (usize, &Arc<Member>)| {
            let (member, table, running) = (member.clone(), table.clone(), running.clone());
            spawn(move || send_requests(n, seed, &member, &table, &running))
        };
        let clients = members.iter().enumerate().map(client).collect();
        Fleet {
            engines,
            members,
            table,
            running,
            clients,
            shutdowns: Mutex::default(),
            lateness: Lateness::measure(),
        }
    }

    pub fn nodes(&self) -> usize {
        self.members.len()
    }

    pub fn signal(&self, node: usize, signal: Signal) {
        let child = self.members[node].child();
        let _ = kill_process(Pid::from_child(&child), signal);
    }

    /// A node is killed; its reservations are released by the platform.
    pub fn kill_and_restart(&self, node: usize) {
        let member = &self.members[node];
        if member.restarting.swap(true, Relaxed) {
            return;
        }
        member.killed.lock().unwrap().push(Instant::now());
        let _ = member.child().kill();
        self.table.excuse_requests(&format!("s{node}x"));
        member.restart();
    }

    /// A node shuts down, and is killed when its time is up.
    pub fn shut_down_and_restart(&self, node: usize) {
        let member = self.members[node].clone();
        if member.restarting.load(Relaxed) {
            return;
        }
        self.signal(node, Signal::TERM);
        self.shutdowns.lock().unwrap().push(spawn(move || {
            sleep(ACCEPT_DURATION);
            if member.restarting.swap(true, Relaxed) {
                return;
            }
            let deadline = Instant::now() + KILL_AFTER;
            while member.child().try_wait().unwrap().is_none() && Instant::now() < deadline {
                sleep(Duration::from_millis(10));
            }
            let _ = member.child().kill();
            member.restart();
        }));
    }

    /// Ends all, and judges.
    pub fn end(self) -> Report {
        self.running.store(false, Relaxed);
        let outcomes: Vec<(String, Outcome)> =
            self.clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
        self.shutdowns.into_inner().unwrap().into_iter().for_each(|thread| thread.join().unwrap());
        sleep(Duration::from_secs(1));
        let limits = RuleLimits::default();
        let mut findings: Vec<Finding> = self
            .table
            .observed_violations()
            .iter()
            .map(|observed| Finding::observed(observed, &limits))
            .collect();
        let reserved = self.table.reserved_requests().into_iter();
        findings.extend(reserved.map(|(id, out)| stays_reserved(id, out)));
        for member in &self.members {
            let _ = member.child().kill();
            let _ = member.child().wait();
            findings.extend(findings_of_log(member));
        }
        if findings.is_empty() {
            self.members.iter().for_each(Member::remove_files);
        } else {
            // The logs of a failed play are kept: a violation is followed by its request's id.
            println!("logs: {} and those of the other nodes", self.members[0].log.display());
        }
        let served = outcomes.iter().filter(|(_, outcome)| *outcome == Outcome::Completed).count();
        Report { asked: outcomes.len(), served, findings, lateness: self.lateness }
    }
}

fn stays_reserved(id: String, attempts: u32) -> Finding {
    let now = Instant::now();
    let what = format!("{id} stays reserved, {attempts} attempts out");
    Finding { what, request: Some(id), from: now, until: now, excess: None }
}

/// What a node finds wrong itself, and whatever else it logs that is no usual step.
fn findings_of_log(member: &Member) -> Vec<Finding> {
    let log = std::fs::read_to_string(&member.log).unwrap_or_default();
    let is_unusual = |line: &&str| !line.contains(" DEBUG ") && !line.contains(" INFO ");
    let finding = |line: &str| {
        let logged_at = time_of(line).unwrap_or_else(Instant::now);
        // Only that a release was not confirmed in time can be the harness's lateness.
        let excess = line.contains(OVERDUE_RULE).then_some(Duration::ZERO);
        let from = logged_at.checked_sub(RuleLimits::default().max_unattended).unwrap_or(logged_at);
        let what = format!("{}: {line}", member.address);
        Finding { what, request: None, from, until: logged_at, excess }
    };
    log.lines().filter(is_unusual).map(finding).collect()
}

/// When a line was logged; its first word is the time in UTC.
fn time_of(line: &str) -> Option<Instant> {
    const DAY_S: f64 = 86_400.0;
    let (_, time) = line.split_once('T')?;
    let (time, _) = time.split_once('Z')?;
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    let second_of_day = hours * 3600.0 + minutes * 60.0 + seconds;
    let now_s = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_secs_f64();
    let ago_s = (now_s - second_of_day).rem_euclid(DAY_S);
    Instant::now().checked_sub(Duration::from_secs_f64(ago_s))
}

/// A client that sends requests to one node all the time, several at once.
fn send_requests(
    node: usize,
    seed: u64,
    member: &Arc<Member>,
    table: &Arc<RequestTable>,
    running: &AtomicBool,
) -> Vec<(String, Outcome)> {
    let mut random = WyRand::new_seed(seed ^ ((node as u64 + 1) << 32));
    let mut open = Vec::new();
    let mut number = 0;
    while running.load(Relaxed) {
        sleep(GAP.mul_f64(0.5 + random.generate::<f64>()));
        if member.restarting.load(Relaxed) {
            continue;
        }
        number += 1;
        let once = random.generate_range(0..4u32) == 0;
        let leaves = random.generate_range(0..8u32) == 0;
        let asked = ClientRequest {
            id: format!("s{node}x{number}"),
            class: if once { "pay" } else { "chat" }.into(),
            at_most_once: once,
            timeout: TIMEOUT,
            disconnect_after: leaves.then(|| Duration::from_millis(random.generate_range(0..600u64))),
        };
        let (member, table) = (member.clone(), table.clone());
        open.push(smol::spawn(async move {
            let sent_at = Instant::now();
            let outcome =
                send_request(member.address, &asked, &table, RuleLimits::default().answer_slack).await;
            let lost = matches!(outcome, Outcome::ConnectionClosed | Outcome::TimedOut);
            if lost && !member.was_killed_since(sent_at) {
                table.no_final_answer(&asked.id, format!("{outcome:?} after {:?}", sent_at.elapsed()));
            }
            (asked.id, outcome)
        }));
    }
    open.into_iter().map(smol::block_on).collect()
}
