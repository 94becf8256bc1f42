//! Random faults that overlap: each is begun at a random moment and ends by itself some time later.

use crate::fleet::Fleet;
use crate::member::Member;
use nanorand::{Rng, WyRand};
use nickelgw_test_servers::platform::{lock, Behaviour, Proxy};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Kinds of faults; those from the second number on hit a node, the others an engine or the way to it.
const FAULT_KINDS: usize = 18;
const FIRST_NODE_FAULT: usize = 12;
/// Work for a new connection, while it costs any.
const CONNECTION_WORK_MS: u64 = 20;
/// Signals of one series, at most, and the longest gap between two.
const MAX_SERIES: usize = 6;
const MAX_SERIES_GAP: Duration = Duration::from_millis(250);
/// A node is held up for less than 0.15 s, and runs on for this before the next time.
const MAX_SUSPENSION_MS: usize = 140;
const RUNS_BETWEEN: Duration = Duration::from_millis(60);
/// An engine that drains leaves the list after the first time and more, and returns cold after the second.
const DRAIN_TIME: Duration = Duration::from_millis(1300);
const ABSENCE: Duration = Duration::from_millis(400);

/// What ends a fault, and when.
struct Ending {
    at: Instant,
    end: Box<dyn Fn(&Fleet) + Send>,
}

/// One step of a series of signals.
struct SeriesStep {
    gap: Duration,
    suspended_for: Duration,
    kind: usize,
}

/// Holds a process up.
fn suspend(member: &Member, duration: Duration) {
    member.signal(Signal::STOP);
    sleep(duration);
    member.signal(Signal::CONT);
    sleep(RUNS_BETWEEN);
}

pub struct Faults {
    random: WyRand,
    /// An engine drains, or is away.
    draining: Arc<AtomicBool>,
    endings: Vec<Ending>,
    started_at: Instant,
    /// The faults so far: when each began and what it hit, and when it ends by itself.
    pub played: Vec<Value>,
}

impl Faults {
    /// Faults of this seed, in a play that started then.
    pub fn new(seed: u64, started_at: Instant) -> Faults {
        let random = WyRand::new_seed(seed);
        Faults { random, draining: Arc::default(), endings: Vec::new(), started_at, played: Vec::new() }
    }

    fn below(&mut self, n: usize) -> usize {
        self.random.generate_range(0..n)
    }

    fn ends_in(&mut self, ms: usize, end: impl Fn(&Fleet) + Send + 'static) {
        let after = Duration::from_millis(self.below(ms) as u64 + 100);
        self.endings.push(Ending { at: Instant::now() + after, end: Box::new(end) });
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Waits a while, ends what is over, and begins one more.
    pub fn next(&mut self, fleet: &Fleet) {
        sleep(Duration::from_millis(self.below(200) as u64));
        self.end_expired(fleet, Instant::now());
        let engine = self.below(fleet.engines.len());
        let proxy = fleet.engines[engine].proxy.clone();
        let behaviour = fleet.engines[engine].engine.behaviour.clone();
        let node = self.below(fleet.nodes());
        let (began_at, open) = (Instant::now(), self.endings.len());
        let kind = self.below(FAULT_KINDS);
        let name = match kind {
            0..=5 => self.begin_connection_fault(kind, proxy),
            6..=9 => self.begin_engine_fault(kind, behaviour),
            10 => self.begin_drain(fleet, engine),
            11 => self.begin_connection_work(fleet),
            _ => self.begin_node_fault(kind, fleet, node),
        };
        let ends_at = self.endings.get(open).map(|ending| self.seconds(ending.at));
        let target = if kind < FIRST_NODE_FAULT { json!({"engine": engine}) } else { json!({"node": node}) };
        let fault =
            json!({"at_s": self.seconds(began_at), "fault": name, "target": target, "ends_at_s": ends_at});
        self.played.push(fault);
    }

    /// A fault between the nodes and one engine.
    fn begin_connection_fault(&mut self, kind: usize, proxy: Proxy) -> &'static str {
        match kind {
            0 | 1 => {
                proxy.silence_connections();
                "connections fall silent"
            }
            2 => {
                proxy.silence(true);
                self.ends_in(2000, move |_| Proxy::heal(&proxy));
                "an engine is cut off"
            }
            3 => {
                proxy.break_connections();
                "connections break"
            }
            4 => {
                proxy.refuse(true);
                self.ends_in(1000, move |_| proxy.refuse(false));
                "connections are refused"
            }
            _ => {
                proxy.delay(Duration::from_millis(40));
                self.ends_in(1000, move |_| proxy.delay(Duration::ZERO));
                "connections are late"
            }
        }
    }

    /// A fault of one engine.
    fn begin_engine_fault(&mut self, kind: usize, behaviour: Arc<Behaviour>) -> &'static str {
        match kind {
            6 => {
                behaviour.loses_responses.store(true, Relaxed);
                self.ends_in(600, move |_| behaviour.loses_responses.store(false, Relaxed));
                "answers get lost"
            }
            7 => {
                behaviour.hangs.store(true, Relaxed);
                self.ends_in(1500, move |_| behaviour.hangs.store(false, Relaxed));
                "an engine hangs"
            }
            8 => {
                behaviour.is_full.store(true, Relaxed);
                self.ends_in(800, move |_| behaviour.is_full.store(false, Relaxed));
                "an engine is full"
            }
            _ => {
                behaviour.work_ms.store(self.below(500) as u64 + 5, Relaxed);
                self.ends_in(1500, move |_| behaviour.work_ms.store(10, Relaxed));
                "an engine is slow"
            }
        }
    }

    /// Each new connection costs every engine work, as a handshake does.
    fn begin_connection_work(&mut self, fleet: &Fleet) -> &'static str {
        let engines: Vec<_> = fleet.engines.iter().map(|proxied| proxied.engine.behaviour.clone()).collect();
        let set = move |work_ms| {
            engines.iter().for_each(|behaviour| behaviour.connection_work_ms.store(work_ms, Relaxed));
        };
        set(CONNECTION_WORK_MS);
        self.ends_in(1500, move |_| set(0));
        "new connections cost engines work"
    }

    /// An engine drains, leaves the list, and returns with a new start time; one at a time.
    fn begin_drain(&mut self, fleet: &Fleet, engine: usize) -> &'static str {
        if self.draining.swap(true, Relaxed) {
            return "no drain, as another engine drains";
        }
        let drains_for = DRAIN_TIME + Duration::from_millis(self.below(700) as u64);
        let (discovery, is_draining) = (fleet.discovery.clone(), self.draining.clone());
        let behaviour = fleet.engines[engine].engine.behaviour.clone();
        let id = json!(format!("e{engine}"));
        fleet.run_beside(move || {
            let set = |lifecycle: &str| {
                discovery.announce(|instances| {
                    let entry = instances.iter_mut().find(|entry| entry["instanceId"] == id);
                    entry.into_iter().for_each(|entry| entry["lifecycle"] = lifecycle.into());
                });
            };
            set("draining");
            *lock(&behaviour.draining_since) = Some(Instant::now());
            sleep(drains_for);
            let entry = discovery.list()["instances"]
                .as_array()
                .and_then(|instances| instances.iter().find(|entry| entry["instanceId"] == id).cloned());
            discovery.announce(|instances| instances.retain(|entry| entry["instanceId"] != id));
            sleep(ABSENCE);
            *lock(&behaviour.draining_since) = None;
            let started_at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
            discovery.announce(|instances| {
                instances.extend(entry.map(|mut entry| {
                    entry["lifecycle"] = "up".into();
                    entry["startedAtMs"] = started_at_ms.into();
                    entry
                }));
            });
            is_draining.store(false, Relaxed);
        });
        "an engine drains, leaves and returns cold"
    }

    /// A fault of one node.
    fn begin_node_fault(&mut self, kind: usize, fleet: &Fleet, node: usize) -> &'static str {
        match kind {
            12 => {
                suspend(&fleet.member(node), Duration::from_millis(self.below(MAX_SUSPENSION_MS) as u64));
                "a node is suspended"
            }
            13 => {
                fleet.member(node).reload();
                "a configuration is reloaded"
            }
            14 => {
                fleet.kill_and_restart(node);
                "a node is killed"
            }
            15 => {
                fleet.shut_down_and_restart(node, self.random.generate());
                "a node shuts down"
            }
            _ => {
                self.begin_series(fleet, node, kind == FAULT_KINDS - 1);
                "a node gets a series of signals"
            }
        }
    }

    /// Several signals to one node in a row, in any order; with a shutdown among them, they go on behind it.
    fn begin_series(&mut self, fleet: &Fleet, node: usize, with_shutdown: bool) {
        let member = fleet.member(node);
        let steps: Vec<SeriesStep> = (0..2 + self.below(MAX_SERIES - 1))
            .map(|_| SeriesStep {
                gap: MAX_SERIES_GAP.mul_f64(self.random.generate()),
                suspended_for: Duration::from_millis(self.below(MAX_SUSPENSION_MS) as u64),
                kind: self.below(3),
            })
            .collect();
        let shutdown_random = with_shutdown.then(|| self.random.generate());
        // Further requests to shut down go to the process that this series ends: nobody would start another one again.
        let ending_process = shutdown_random.and_then(|random| fleet.shut_down_and_restart(node, random));
        fleet.run_beside(move || {
            for step in steps {
                sleep(step.gap);
                match step.kind {
                    0 => member.reload(),
                    1 => suspend(&member, step.suspended_for),
                    _ => match ending_process {
                        Some(process) => member.signal_process(process, Signal::TERM),
                        None => {
                            member.reload();
                            member.reload();
                        }
                    },
                }
            }
        });
    }

    fn end_expired(&mut self, fleet: &Fleet, now: Instant) {
        let (ended, later) =
            std::mem::take(&mut self.endings).into_iter().partition(|ending: &Ending| ending.at <= now);
        self.endings = later;
        ended.iter().for_each(|ending: &Ending| (ending.end)(fleet));
    }

    /// All faults end. Nodes that are being restarted serve again before that.
    pub fn end(&mut self, fleet: &Fleet) {
        fleet.join_node_faults();
        let endings = std::mem::take(&mut self.endings);
        endings.iter().for_each(|ending| (ending.end)(fleet));
        fleet.engines.iter().for_each(|proxied| proxied.proxy.heal());
    }
}
