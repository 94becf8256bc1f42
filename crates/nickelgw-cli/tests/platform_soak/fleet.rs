//! Node processes, each with clients that send requests continuously, and the findings at the end of a run.

use crate::clients::{Clients, SendCounts, UnreadRequest};
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

/// Third byte of the first node's loopback address, 127.1.120.1.
const FIRST_ADDRESS: u8 = 120;
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 5;
/// Longest deadline in the settings, in seconds.
const DEADLINE_S: f64 = 2.0;
/// One seed in this number has crowded nodes.
const SEEDS_PER_CROWD: u64 = 4;
/// Number of crowded nodes with such a seed.
const CROWDED_NODES: usize = 2;
/// Time after the last request within which release calls in progress end.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// Rule named in the line that a node logs if a release was not confirmed in time.
const OVERDUE_RULE: &str = "reservation_overdue";

/// Fields that a node logs for a client whose request does not end.
const ENDLESS_REQUEST: &str = "source=\"client\" reason=\"a request that does not end\"";
/// Reason in the log for a stream that fell short.
const SHORT_STREAM: &str = "reason=stream ended before its final event";

/// Number of runs that this process has started.
static RUNS_STARTED: AtomicUsize = AtomicUsize::new(0);

pub struct Fleet {
    pub engines: Vec<ProxiedEngine>,
    pub discovery: Discovery,
    pub lateness: Arc<Lateness>,
    members: Vec<Arc<Member>>,
    table: Arc<RequestTable>,
    running: Arc<AtomicBool>,
    clients: Vec<Arc<Clients>>,
    sending: Vec<JoinHandle<Vec<Outcome>>>,
    /// Threads that run faults of nodes until these end.
    node_faults: Mutex<Vec<JoinHandle<()>>>,
}

/// Result of a run.
pub struct Report {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests that were served completely.
    pub served: usize,
    /// Number of requests that ended as the node closed their connections without having read them.
    pub unread: usize,
    pub sends: SendCounts,
    /// All findings, whether they count or not.
    pub findings: Vec<Finding>,
    pub lateness: Arc<Lateness>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (sent, served, unread, found) = (self.sent, self.served, self.unread, self.findings.len());
        let SendCounts { first, retries } = &self.sends;
        write!(
            formatter,
            "{sent} sent, {served} served, {unread} unread, {found} findings; {first} first sends, retries {retries:?}; \
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
    let side_effect_class = json!({"name": "pay", "slo_s": 1.0, "deadline_s": DEADLINE_S, "idempotency": "side_effect", "worth": 1.0});
    settings["classes"].as_array_mut().unwrap().push(side_effect_class);
    settings["family_info"]["aim_us_per_1000_prompt_tokens"] = json!([40000.0, 40000.0]);
    settings["family_info"]["token_aim_s"] = json!([0.06, 0.06]);
}

impl Fleet {
    pub fn start(nodes: usize, seed: u64) -> Fleet {
        let table = Arc::new(RequestTable::new(RuleLimits::default()));
        let engines = start_engines(&table, PREFILL_ENGINES, DECODE_ENGINES);
        let discovery = smol::block_on(Discovery::start(endpoints(&engines))).unwrap();
        let run = RUNS_STARTED.fetch_add(1, Relaxed);
        let probes = seed.is_multiple_of(2);
        let start_member = |n: usize| {
            let (address, path) =
                write_config_for(FIRST_ADDRESS + n as u8, discovery.address, endpoints(&engines), |config| {
                    change_settings(config, nodes, probes);
                });
            // Each run has a log of its own, so that it is not judged by the log of another.
            let log = path.with_extension(format!("play-{run}.log"));
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

    /// Sets whether some of the engines' streams fall short.
    pub fn set_streams_fall_short(&self, fall_short: bool) {
        for proxied in &self.engines {
            proxied.engine.behaviour.falls_short.store(fall_short, Relaxed);
        }
    }

    pub fn nodes(&self) -> usize {
        self.members.len()
    }

    pub fn member(&self, node: usize) -> Arc<Member> {
        self.members[node].clone()
    }

    /// Runs a node's fault in a thread, concurrently with other faults.
    pub fn run_concurrently(&self, fault: impl FnOnce() + Send + 'static) {
        lock(&self.node_faults).push(spawn(fault));
    }

    /// Kills and restarts a node. Its requests are excused from then on, since the platform releases their
    /// reservations.
    pub fn kill_and_restart(&self, node: usize) {
        let member = self.member(node);
        if member.begin_end() {
            let (table, discovery) = (self.table.clone(), self.discovery.clone());
            self.run_concurrently(move || {
                member.kill();
                table.excuse_requests(&member.request_prefix);
                member.restart(&discovery.list());
            });
        }
    }

    /// Shuts a node down, kills it if it has not exited in time, and restarts it. Returns the ID of the
    /// process that ends, or `None` if it is ending already.
    pub fn shut_down_and_restart(&self, node: usize, random: f64) -> Option<u32> {
        let member = self.member(node);
        member.begin_end().then(|| {
            let process = member.process();
            let discovery = self.discovery.clone();
            let accepts_for = Member::accept_duration(random);
            self.clients[node].start_shutdown_clients(random.to_bits(), accepts_for);
            self.run_concurrently(move || {
                member.shut_down(accepts_for);
                member.restart(&discovery.list());
            });
            process
        })
    }

    /// Waits until all faults of nodes have ended.
    pub fn join_node_faults(&self) {
        let faults = std::mem::take(&mut *lock(&self.node_faults));
        faults.into_iter().for_each(|fault| fault.join().unwrap());
    }

    /// Stops the clients and nodes, and collects the findings.
    pub fn end(self) -> Report {
        self.running.store(false, Relaxed);
        let outcomes: Vec<Outcome> =
            self.sending.into_iter().flat_map(|sending| sending.join().unwrap()).collect();
        sleep(RELEASE_TIME);
        let streams_fall_short =
            self.engines.iter().any(|proxied| proxied.engine.behaviour.falls_short.load(Relaxed));
        let limits = RuleLimits::default();
        let observed = self.table.observed_violations();
        let mut findings: Vec<Finding> =
            observed.iter().map(|observed| Finding::observed(observed, &limits)).collect();
        let reserved = self.table.reserved_requests().into_iter();
        findings.extend(reserved.map(|(id, attempts)| stays_reserved(id, attempts)));
        let (mut unread, mut sends) = (0, SendCounts::default());
        for (member, clients) in self.members.iter().zip(&self.clients) {
            member.end();
            let log = std::fs::read_to_string(&member.log).unwrap_or_default();
            let of_log = findings_of_log(&member.address.to_string(), &log);
            // Slow clients send requests that never end, and the node is expected to log that.
            // The same holds for streams that fall short where the engines let some do so.
            let is_expected = |finding: &Finding| {
                (clients.is_crowded && finding.what.contains(ENDLESS_REQUEST))
                    || (streams_fall_short && finding.what.contains(SHORT_STREAM))
            };
            findings.extend(of_log.into_iter().filter(|finding| !is_expected(finding)));
            let ended_unread = std::mem::take(&mut *lock(&clients.unread));
            let (read, not_read): (Vec<_>, Vec<_>) =
                ended_unread.iter().partition(|request| was_read(&log, &request.id));
            findings.extend(read.into_iter().map(read_and_unanswered));
            unread += not_read.len();
            sends.add(&lock(&clients.sends));
        }
        if findings.is_empty() {
            self.members.iter().for_each(|member| drop(std::fs::remove_file(&member.log)));
        } else {
            // The logs of a run with findings are kept, so that a violation can be traced by the ID of its
            // request.
            println!("kept logs: {} and those of the other nodes", self.members[0].log.display());
        }
        let served = outcomes.iter().filter(|outcome| **outcome == Outcome::Completed).count();
        Report { sent: outcomes.len(), served, unread, sends, findings, lateness: self.lateness }
    }
}

/// Whether the node's log says that it has read a request.
pub(crate) fn was_read(log: &str, id: &str) -> bool {
    let field = format!("request={id}");
    let names_request = |line: &&str| line.split_ascii_whitespace().any(|word| word == field);
    log.lines().filter(|line| line.contains("request received")).any(|line| names_request(&line))
}

fn read_and_unanswered(request: &UnreadRequest) -> Finding {
    let UnreadRequest { id, sent_at, ended_at, outcome } = request;
    let what = format!("request {id} was read by its node and ended without an answer: {outcome:?}");
    let excess = (*outcome == Outcome::TimedOut).then_some(Duration::ZERO);
    Finding { what, request: Some(id.clone()), from: *sent_at, until: *ended_at, excess }
}

fn stays_reserved(id: String, attempts: u32) -> Finding {
    let now = Instant::now();
    let what = format!("request {id} still has a reservation, with {attempts} attempts at engines");
    Finding { what, request: Some(id), from: now, until: now, excess: None }
}

/// Returns a finding for each line of a node's log that is above the level INFO: violations that the node
/// found itself, and other warnings and errors.
fn findings_of_log(address: &str, log: &str) -> Vec<Finding> {
    let is_unusual = |line: &&str| !line.contains(" DEBUG ") && !line.contains(" INFO ");
    let finding = |line: &str| {
        let logged_at = time_of(line).unwrap_or_else(Instant::now);
        // Of these, only an overdue release can be explained by the harness's lateness.
        let excess = line.contains(OVERDUE_RULE).then_some(Duration::ZERO);
        let from = logged_at.checked_sub(RuleLimits::default().max_unattended).unwrap_or(logged_at);
        let what = format!("{address}: {line}");
        Finding { what, request: None, from, until: logged_at, excess }
    };
    log.lines().filter(is_unusual).map(finding).collect()
}

/// Returns when a line was logged. The line begins with the time in UTC. `None` if it does not.
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
