//! Nodes as processes with clients each that send requests all the time, and what was found wrong in the end.

use crate::clients::{Clients, TryCounts, UnreadRequest};
use crate::judge::Finding;
use crate::lateness::Lateness;
use crate::member::Member;
use crate::processes::write_config_for;
use crate::world::{endpoints, start_engines, ProxiedEngine};
use nickelgw_test_servers::platform::{lock, Discovery, Outcome, RequestTable, RuleLimits};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of the first node in addresses of loopback.
const FIRST_ADDRESS: u8 = 120;
const PREFILLS: usize = 4;
const DECODES: usize = 5;
/// Longest deadline of the settings, in seconds.
const DEADLINE_S: f64 = 2.0;
/// Crowds come with one seed in so many, at so many nodes.
const SEEDS_PER_CROWD: u64 = 4;
const CROWDED_NODES: usize = 2;
/// Time after the last request in which reservations that are being released end.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// The rule of a line that a node logs when a release was not confirmed in time.
const OVERDUE_RULE: &str = "reservation_overdue";

/// What a node logs of a client that sends a request without an end.
const ENDLESS_REQUEST: &str = "source=\"client\" reason=\"a request that does not end\"";

/// Plays that this process has started.
static PLAYS_STARTED: AtomicUsize = AtomicUsize::new(0);

pub struct Fleet {
    pub engines: Vec<ProxiedEngine>,
    pub discovery: Discovery,
    pub lateness: Arc<Lateness>,
    members: Vec<Arc<Member>>,
    table: Arc<RequestTable>,
    running: Arc<AtomicBool>,
    clients: Vec<Arc<Clients>>,
    sending: Vec<JoinHandle<Vec<Outcome>>>,
    /// Threads that run faults of nodes to their end.
    node_faults: Mutex<Vec<JoinHandle<()>>>,
}

/// The result of a play.
pub struct Report {
    pub asked: usize,
    pub served: usize,
    /// Requests that crossed the close of a connection, and were not read.
    pub unread: usize,
    pub tries: TryCounts,
    /// Everything that was found wrong.
    pub findings: Vec<Finding>,
    pub lateness: Arc<Lateness>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (asked, served, unread, found) = (self.asked, self.served, self.unread, self.findings.len());
        let TryCounts { first, second } = &self.tries;
        write!(
            formatter,
            "{asked} asked, {served} served, {unread} unread, {found} findings; {first} first tries, second tries {second:?}; \
             harness late by {:?}",
            self.lateness.max()
        )
    }
}

fn change_settings(config: &mut Value, nodes: usize, probes: bool) {
    let settings = &mut config["settings"];
    settings["balancers"] = nodes.into();
    settings["limits"]["probes"] = probes.into();
    settings["limits"]["most_tries"] = 6.into();
    settings["classes"][0]["deadline_s"] = DEADLINE_S.into();
    let once = json!({"name": "pay", "slo_s": 1.0, "deadline_s": DEADLINE_S, "idempotency": "side_effect", "worth": 1.0});
    settings["classes"].as_array_mut().unwrap().push(once);
    settings["family_info"]["aim_us_per_1000_prompt_tokens"] = json!([40000.0, 40000.0]);
    settings["family_info"]["token_aim_s"] = json!([0.06, 0.06]);
}

impl Fleet {
    pub fn start(nodes: usize, seed: u64) -> Fleet {
        let table = Arc::new(RequestTable::new(RuleLimits::default()));
        let engines = start_engines(&table, PREFILLS, DECODES);
        let discovery = smol::block_on(Discovery::start(endpoints(&engines))).unwrap();
        let play = PLAYS_STARTED.fetch_add(1, Relaxed);
        let probes = seed.is_multiple_of(2);
        let start_member = |n: usize| {
            let (address, path) =
                write_config_for(FIRST_ADDRESS + n as u8, discovery.address, endpoints(&engines), |config| {
                    change_settings(config, nodes, probes);
                });
            // A play is not judged by the log of another.
            let log = path.with_extension(format!("play-{play}.log"));
            Member::start(n, address, path, log)
        };
        let members: Vec<Arc<Member>> = (0..nodes).map(start_member).collect();
        members.iter().for_each(|member| member.wait_until_ready());
        let running = Arc::new(AtomicBool::new(true));
        let has_crowds = seed.is_multiple_of(SEEDS_PER_CROWD);
        let clients: Vec<Arc<Clients>> = members
            .iter()
            .enumerate()
            .map(|(n, member)| {
                let is_crowded = has_crowds && n < CROWDED_NODES;
                Clients::new(member.clone(), table.clone(), is_crowded)
            })
            .collect();
        clients.iter().filter(|clients| clients.is_crowded).for_each(|clients| clients.start_crowd(&running));
        let start_sending = |(n, clients): (usize, &Arc<Clients>)| {
            let (clients, running) = (clients.clone(), running.clone());
            spawn(move || clients.send_requests(n, seed, &running))
        };
        let sending = clients.iter().enumerate().map(start_sending).collect();
        let lateness = Lateness::measure();
        let node_faults = Mutex::default();
        Fleet { engines, discovery, lateness, members, table, running, clients, sending, node_faults }
    }

    pub fn nodes(&self) -> usize {
        self.members.len()
    }

    pub fn member(&self, node: usize) -> Arc<Member> {
        self.members[node].clone()
    }

    /// Runs a fault of a node beside the others.
    pub fn run_beside(&self, fault: impl FnOnce() + Send + 'static) {
        lock(&self.node_faults).push(spawn(fault));
    }

    /// A node is killed; its reservations are released by the platform.
    pub fn kill_and_restart(&self, node: usize) {
        let member = self.member(node);
        if member.begin_end() {
            let (table, discovery) = (self.table.clone(), self.discovery.clone());
            self.run_beside(move || {
                member.kill();
                table.excuse_requests(&member.request_prefix);
                member.restart(&discovery.list());
            });
        }
    }

    /// A node shuts down, is killed when its time is up, and starts again. Returns its process; none: it is ending already.
    pub fn shut_down_and_restart(&self, node: usize, random: f64) -> Option<u32> {
        let member = self.member(node);
        member.begin_end().then(|| {
            let process = member.process();
            let discovery = self.discovery.clone();
            let accepts_for = Member::accept_duration(random);
            self.clients[node].start_shutdown_clients(random.to_bits(), accepts_for);
            self.run_beside(move || {
                member.shut_down(accepts_for);
                member.restart(&discovery.list());
            });
            process
        })
    }

    /// Waits until faults of nodes have run to their end.
    pub fn join_node_faults(&self) {
        let faults = std::mem::take(&mut *lock(&self.node_faults));
        faults.into_iter().for_each(|fault| fault.join().unwrap());
    }

    /// Ends all, and judges.
    pub fn end(self) -> Report {
        self.running.store(false, Relaxed);
        let outcomes: Vec<Outcome> =
            self.sending.into_iter().flat_map(|sending| sending.join().unwrap()).collect();
        sleep(RELEASE_TIME);
        let limits = RuleLimits::default();
        let observed = self.table.observed_violations();
        let mut findings: Vec<Finding> =
            observed.iter().map(|observed| Finding::observed(observed, &limits)).collect();
        let reserved = self.table.reserved_requests().into_iter();
        findings.extend(reserved.map(|(id, out)| stays_reserved(id, out)));
        let (mut unread, mut tries) = (0, TryCounts::default());
        for (member, clients) in self.members.iter().zip(&self.clients) {
            member.end();
            let log = std::fs::read_to_string(&member.log).unwrap_or_default();
            let of_log = findings_of_log(&member.address.to_string(), &log);
            // Slow clients send requests that never end, and the node has to say so.
            let is_expected =
                |finding: &Finding| clients.is_crowded && finding.what.contains(ENDLESS_REQUEST);
            findings.extend(of_log.into_iter().filter(|finding| !is_expected(finding)));
            let ended_unread = std::mem::take(&mut *lock(&clients.unread));
            let (read, not_read): (Vec<_>, Vec<_>) =
                ended_unread.iter().partition(|request| was_read(&log, &request.id));
            findings.extend(read.into_iter().map(read_and_unanswered));
            unread += not_read.len();
            tries.add(&lock(&clients.tries));
        }
        if findings.is_empty() {
            self.members.iter().for_each(|member| drop(std::fs::remove_file(&member.log)));
        } else {
            // The logs of a failed play are kept: a violation is followed by its request's id.
            println!("logs: {} and those of the other nodes", self.members[0].log.display());
        }
        let served = outcomes.iter().filter(|outcome| **outcome == Outcome::Completed).count();
        Report { asked: outcomes.len(), served, unread, tries, findings, lateness: self.lateness }
    }
}

/// Whether a node has read a request, by its log.
pub(crate) fn was_read(log: &str, id: &str) -> bool {
    let field = format!("request={id}");
    let names_it = |line: &&str| line.split_ascii_whitespace().any(|word| word == field);
    log.lines().filter(|line| line.contains("request received")).any(|line| names_it(&line))
}

fn read_and_unanswered(request: &UnreadRequest) -> Finding {
    let UnreadRequest { id, sent_at, ended_at, outcome } = request;
    let what = format!("{id} was read, and ended with no answer: {outcome:?}");
    let excess = (*outcome == Outcome::TimedOut).then_some(Duration::ZERO);
    Finding { what, request: Some(id.clone()), from: *sent_at, until: *ended_at, excess }
}

fn stays_reserved(id: String, attempts: u32) -> Finding {
    let now = Instant::now();
    let what = format!("{id} stays reserved, {attempts} attempts out");
    Finding { what, request: Some(id), from: now, until: now, excess: None }
}

/// What a node finds wrong itself, and whatever else it logs that is no usual step.
fn findings_of_log(address: &str, log: &str) -> Vec<Finding> {
    let is_unusual = |line: &&str| !line.contains(" DEBUG ") && !line.contains(" INFO ");
    let finding = |line: &str| {
        let logged_at = time_of(line).unwrap_or_else(Instant::now);
        // Only that a release was not confirmed in time can be the harness's lateness.
        let excess = line.contains(OVERDUE_RULE).then_some(Duration::ZERO);
        let from = logged_at.checked_sub(RuleLimits::default().max_unattended).unwrap_or(logged_at);
        let what = format!("{address}: {line}");
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
