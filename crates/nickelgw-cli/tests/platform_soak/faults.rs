//! Random faults that overlap: each is begun at a random moment and ends by itself some time later.

use crate::fleet::Fleet;
use nanorand::{Rng, WyRand};
use nickelgw_test_servers::platform::{Behaviour, Proxy};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Kinds of faults; those from the second number on hit a node, the others an engine or the way to it.
const FAULT_KINDS: usize = 14;
const FIRST_NODE_FAULT: usize = 10;

/// What ends a fault, and when.
struct Ending {
    at: Instant,
    end: Box<dyn Fn(&Fleet) + Send>,
}

pub struct Faults {
    random: WyRand,
    endings: Vec<Ending>,
    started_at: Instant,
    /// The faults so far: when each began and what it hit, and when it ends by itself.
    pub played: Vec<Value>,
}

impl Faults {
    /// Faults of this seed, in a play that started then.
    pub fn new(seed: u64, started_at: Instant) -> Faults {
        let random = WyRand::new_seed(seed);
        Faults { random, endings: Vec::new(), started_at, played: Vec::new() }
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
            6..FIRST_NODE_FAULT => self.begin_engine_fault(kind, behaviour),
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

    /// A fault of one node.
    fn begin_node_fault(&mut self, kind: usize, fleet: &Fleet, node: usize) -> &'static str {
        match kind {
            10 => {
                fleet.signal(node, Signal::STOP);
                sleep(Duration::from_millis(self.below(140) as u64));
                fleet.signal(node, Signal::CONT);
                "a node is suspended"
            }
            11 => {
                fleet.signal(node, Signal::HUP);
                "a configuration is reloaded"
            }
            12 => {
                fleet.kill_and_restart(node);
                "a node is killed"
            }
            _ => {
                fleet.shut_down_and_restart(node);
                "a node shuts down"
            }
        }
    }

    fn end_expired(&mut self, fleet: &Fleet, now: Instant) {
        let (ended, later) =
            std::mem::take(&mut self.endings).into_iter().partition(|ending: &Ending| ending.at <= now);
        self.endings = later;
        ended.iter().for_each(|ending: &Ending| (ending.end)(fleet));
    }

    /// All faults end.
    pub fn end(&mut self, fleet: &Fleet) {
        let endings = std::mem::take(&mut self.endings);
        endings.iter().for_each(|ending| (ending.end)(fleet));
        fleet.engines.iter().for_each(|proxied| proxied.proxy.heal());
    }
}
