//! Random overlapping faults: each begins at a random time, and most end by themselves some time later.

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

/// Number of kinds of faults.
const FAULT_KINDS: usize = 18;
/// Kinds from this one on affect a node; those before it affect an engine or the connections to it.
const FIRST_NODE_FAULT: usize = 12;
/// Work of an engine for each new connection while that fault lasts.
const CONNECTION_WORK_MS: u64 = 20;
/// Largest number of signals in one series.
const MAX_SERIES: usize = 6;
/// Longest time between two signals of a series.
const MAX_SERIES_GAP: Duration = Duration::from_millis(250);
/// Longest suspension of a node: below 0.15 s.
const MAX_SUSPENSION_MS: usize = 140;
/// Time for which a node runs after a suspension before the next signal.
const RUN_TIME_AFTER_SUSPENSION: Duration = Duration::from_millis(60);
/// Shortest time for which an engine drains before it is removed from the list.
const DRAIN_TIME: Duration = Duration::from_millis(1300);
/// Time for which a drained engine is absent from the list before it returns cold.
const ABSENCE: Duration = Duration::from_millis(400);

/// When a fault ends, and the function that ends it.
struct Ending {
    at: Instant,
    end: Box<dyn Fn(&Fleet) + Send>,
}

/// One step of a series of signals.
struct SeriesStep {
    delay: Duration,
    suspended_for: Duration,
    kind: usize,
}

/// Suspends the node's process for this time, and then lets it run for `RUN_TIME_AFTER_SUSPENSION`.
fn suspend(member: &Member, duration: Duration) {
    member.signal(Signal::STOP);
    sleep(duration);
    member.signal(Signal::CONT);
    sleep(RUN_TIME_AFTER_SUSPENSION);
}

pub struct Faults {
    random: WyRand,
    /// Whether an engine is draining or absent from the list.
    is_draining: Arc<AtomicBool>,
    endings: Vec<Ending>,
    started_at: Instant,
    /// Records of the faults so far: when each began, which engine or node it affected, and when it ends by
    /// itself.
    pub injected: Vec<Value>,
}

impl Faults {
    /// Creates the generator of the faults for this seed, in a run that started at `started_at`.
    pub fn new(seed: u64, started_at: Instant) -> Faults {
        let random = WyRand::new_seed(seed);
        Faults { random, is_draining: Arc::default(), endings: Vec::new(), started_at, injected: Vec::new() }
    }

    /// Returns a random number from 0 up to, but not including, `limit`.
    fn random_below(&mut self, limit: usize) -> usize {
        self.random.generate_range(0..limit)
    }

    /// Lets a fault end after 100 ms and a random time below `max_ms`.
    fn end_within(&mut self, max_ms: usize, end: impl Fn(&Fleet) + Send + 'static) {
        let after = Duration::from_millis(self.random_below(max_ms) as u64 + 100);
        self.endings.push(Ending { at: Instant::now() + after, end: Box::new(end) });
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Waits for a random time of up to 200 ms, ends the faults that are due to end, and begins another one.
    pub fn inject_next(&mut self, fleet: &Fleet) {
        sleep(Duration::from_millis(self.random_below(200) as u64));
        self.end_expired(fleet, Instant::now());
        let engine = self.random_below(fleet.engines.len());
        let proxy = fleet.engines[engine].proxy.clone();
        let behaviour = fleet.engines[engine].engine.behaviour.clone();
        let node = self.random_below(fleet.nodes());
        let (began_at, open_endings) = (Instant::now(), self.endings.len());
        let kind = self.random_below(FAULT_KINDS);
        let name = match kind {
            0..=5 => self.begin_connection_fault(kind, proxy),
            6..=9 => self.begin_engine_fault(kind, behaviour),
            10 => self.begin_drain(fleet, engine),
            11 => self.begin_connection_work(fleet),
            _ => self.begin_node_fault(kind, fleet, node),
        };
        let ends_at = self.endings.get(open_endings).map(|ending| self.seconds(ending.at));
        let target = if kind < FIRST_NODE_FAULT { json!({"engine": engine}) } else { json!({"node": node}) };
        let fault =
            json!({"at_s": self.seconds(began_at), "fault": name, "target": target, "ends_at_s": ends_at});
        self.injected.push(fault);
    }

    /// Begins a fault between the nodes and one engine. Returns the fault's name.
    fn begin_connection_fault(&mut self, kind: usize, proxy: Proxy) -> &'static str {
        match kind {
            0 | 1 => {
                proxy.silence_connections();
                "connections fall silent"
            }
            2 => {
                proxy.silence(true);
                self.end_within(2000, move |_| Proxy::heal(&proxy));
                "an engine is cut off"
            }
            3 => {
                proxy.break_connections();
                "connections break"
            }
            4 => {
                proxy.refuse(true);
                self.end_within(1000, move |_| proxy.refuse(false));
                "connections are refused"
            }
            _ => {
                proxy.delay(Duration::from_millis(40));
                self.end_within(1000, move |_| proxy.delay(Duration::ZERO));
                "connections are late"
            }
        }
    }

    /// Begins a fault of one engine. Returns the fault's name.
    fn begin_engine_fault(&mut self, kind: usize, behaviour: Arc<Behaviour>) -> &'static str {
        match kind {
            6 => {
                behaviour.loses_responses.store(true, Relaxed);
                self.end_within(600, move |_| behaviour.loses_responses.store(false, Relaxed));
                "answers get lost"
            }
            7 => {
                behaviour.hangs.store(true, Relaxed);
                self.end_within(1500, move |_| behaviour.hangs.store(false, Relaxed));
                "an engine hangs"
            }
            8 => {
                behaviour.is_full.store(true, Relaxed);
                self.end_within(800, move |_| behaviour.is_full.store(false, Relaxed));
                "an engine is full"
            }
            _ => {
                behaviour.work_ms.store(self.random_below(500) as u64 + 5, Relaxed);
                self.end_within(1500, move |_| behaviour.work_ms.store(10, Relaxed));
                "an engine is slow"
            }
        }
    }

    /// Makes each new connection cost every engine some work, as a handshake does. Returns the fault's name.
    fn begin_connection_work(&mut self, fleet: &Fleet) -> &'static str {
        let engines: Vec<_> = fleet.engines.iter().map(|proxied| proxied.engine.behaviour.clone()).collect();
        let set = move |work_ms| {
            engines.iter().for_each(|behaviour| behaviour.connection_work_ms.store(work_ms, Relaxed));
        };
        set(CONNECTION_WORK_MS);
        self.end_within(1500, move |_| set(0));
        "new connections cost engines work"
    }

    /// Lets an engine drain, leave the list, and return with a new start time; one engine at a time. Returns
    /// the fault's name.
    fn begin_drain(&mut self, fleet: &Fleet, engine: usize) -> &'static str {
        if self.is_draining.swap(true, Relaxed) {
            return "no drain, as another engine drains";
        }
        let drains_for = DRAIN_TIME + Duration::from_millis(self.random_below(700) as u64);
        let (discovery, is_draining) = (fleet.discovery.clone(), self.is_draining.clone());
        let behaviour = fleet.engines[engine].engine.behaviour.clone();
        let id = json!(format!("e{engine}"));
        fleet.run_concurrently(move || {
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

    /// Begins a fault of one node. Returns the fault's name.
    fn begin_node_fault(&mut self, kind: usize, fleet: &Fleet, node: usize) -> &'static str {
        match kind {
            12 => {
                suspend(
                    &fleet.member(node),
                    Duration::from_millis(self.random_below(MAX_SUSPENSION_MS) as u64),
                );
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

    /// Sends a series of signals of random kinds to one node. With a shutdown, the node also gets SIGTERM at
    /// the start of the series, and the other signals follow.
    fn begin_series(&mut self, fleet: &Fleet, node: usize, with_shutdown: bool) {
        let member = fleet.member(node);
        let steps: Vec<SeriesStep> = (0..2 + self.random_below(MAX_SERIES - 1))
            .map(|_| SeriesStep {
                delay: MAX_SERIES_GAP.mul_f64(self.random.generate()),
                suspended_for: Duration::from_millis(self.random_below(MAX_SUSPENSION_MS) as u64),
                kind: self.random_below(3),
            })
            .collect();
        let shutdown_random = with_shutdown.then(|| self.random.generate());
        // Further SIGTERMs go only to the process that this series ends: no one would restart another
        // process.
        let ending_process = shutdown_random.and_then(|random| fleet.shut_down_and_restart(node, random));
        fleet.run_concurrently(move || {
            for step in steps {
                sleep(step.delay);
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

    /// Ends all faults, after the nodes that are being restarted serve again.
    pub fn end(&mut self, fleet: &Fleet) {
        fleet.join_node_faults();
        let endings = std::mem::take(&mut self.endings);
        endings.iter().for_each(|ending| (ending.end)(fleet));
        fleet.engines.iter().for_each(|proxied| proxied.proxy.heal());
    }
}
