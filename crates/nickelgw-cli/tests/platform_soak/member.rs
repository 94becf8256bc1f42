//! One node across all its processes: it is started, signalled, killed and restarted as the platform does it.

use crate::common::TEST_TIMEOUT;
use crate::processes::{is_ready, start_process_with};
use nickelgw_test_servers::platform::lock;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Limit of a node's file descriptors.
const DESCRIPTORS: usize = 256;
/// Range of the time after SIGTERM in which clients still open new connections.
const ACCEPT_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(400));
/// Time from SIGTERM to SIGKILL: the platform's shortest, which is the longest deadline plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2700);
/// A request that is unanswered at SIGKILL is excused if it was sent within this time after SIGTERM; a later
/// one counts as lost.
const UNANSWERED_EXCUSED: Duration = Duration::from_millis(700);
/// Shortest time from a process's readiness to SIGHUP: the platform documents that it sends none before.
const MIN_READY_BEFORE_RELOAD: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A kill of a process. Its connections are closed at some time between the kill and `ended_at`.
struct Kill {
    /// When SIGTERM was sent. `None` if the process was killed without it.
    shutdown_at: Option<Instant>,
    /// When the process had exited. `None` if it may still be exiting.
    ended_at: Option<Instant>,
}

impl Kill {
    /// Whether the kill cut a request that was sent at `sent_at` and is open now.
    fn cuts(&self, sent_at: Instant) -> bool {
        self.ended_at.is_none_or(|ended_at| ended_at >= sent_at)
    }

    /// Whether the kill cut such a request, and the loss is excused.
    fn excuses(&self, sent_at: Instant) -> bool {
        self.cuts(sent_at)
            && self.shutdown_at.is_none_or(|shutdown_at| sent_at <= shutdown_at + UNANSWERED_EXCUSED)
    }
}

/// One node of the fleet.
pub struct Member {
    /// Prefix of the IDs of its clients' requests.
    pub request_prefix: String,
    /// Address on which the node listens.
    pub address: SocketAddr,
    /// Log file of all its processes.
    pub log: PathBuf,
    config: PathBuf,
    child: Mutex<Child>,
    /// Set while clients must open no new connections, since the node is shutting down or not ready yet.
    is_closed: AtomicBool,
    /// Set while a shutdown or a kill is in progress, until the node has restarted.
    is_ending: AtomicBool,
    kills: Mutex<Vec<Kill>>,
    /// When the current process became ready. `None` if it is not ready yet.
    ready_at: Mutex<Option<Instant>>,
}

fn spawn_process(config: &Path, log: &Path) -> Child {
    let file = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    start_process_with(config, DESCRIPTORS, |process| {
        process.env("LEVEL", "--log-level debug").stderr(Stdio::from(file));
    })
}

impl Member {
    /// Starts the first process.
    pub fn start(number: usize, address: SocketAddr, config: PathBuf, log: PathBuf) -> Arc<Member> {
        let child = Mutex::new(spawn_process(&config, &log));
        let (is_closed, is_ending) = (AtomicBool::new(false), AtomicBool::new(false));
        let (kills, ready_at) = (Mutex::default(), Mutex::default());
        let request_prefix = format!("s{number}x");
        Arc::new(Member {
            request_prefix,
            address,
            log,
            config,
            child,
            is_closed,
            is_ending,
            kills,
            ready_at,
        })
    }

    /// Waits until the node answers that it is ready.
    pub fn wait_until_ready(&self) {
        let started_at = Instant::now();
        while !is_ready(self.address) {
            assert!(
                started_at.elapsed() < 3 * TEST_TIMEOUT,
                "node {} is not ready after 3 * TEST_TIMEOUT",
                self.address
            );
            sleep(POLL_INTERVAL);
        }
        *lock(&self.ready_at) = Some(Instant::now());
    }

    /// Whether the node accepts new connections now.
    pub fn accepts_connections(&self) -> bool {
        !self.is_closed.load(Relaxed)
    }

    /// Whether a kill that excuses the loss cut a request that was sent at `sent_at` and is open now.
    pub fn excuses(&self, sent_at: Instant) -> bool {
        lock(&self.kills).iter().any(|kill| kill.excuses(sent_at))
    }

    /// Whether a kill that does not excuse the loss cut a request that was sent at `sent_at` and is open now.
    pub fn was_cut_without_excuse(&self, sent_at: Instant) -> bool {
        lock(&self.kills).iter().any(|kill| kill.cuts(sent_at) && !kill.excuses(sent_at))
    }

    /// Sends a signal to the current process.
    pub fn signal(&self, signal: Signal) {
        let child = lock(&self.child);
        let _ = kill_process(Pid::from_child(&child), signal);
    }

    /// Sends SIGHUP to the current process, unless it has been ready for less than a second: the platform
    /// never does so.
    pub fn reload(&self) {
        let is_old_enough = |ready_at: &Instant| ready_at.elapsed() >= MIN_READY_BEFORE_RELOAD;
        if lock(&self.ready_at).as_ref().is_some_and(is_old_enough) {
            self.signal(Signal::HUP);
        }
    }

    /// Returns the ID of the current process.
    pub fn process(&self) -> u32 {
        lock(&self.child).id()
    }

    /// Sends a signal to this process if it is still the current one.
    pub fn signal_process(&self, process: u32, signal: Signal) {
        let child = lock(&self.child);
        if child.id() == process {
            let _ = kill_process(Pid::from_child(&child), signal);
        }
    }

    /// Claims the right to end the current process. Returns `false` if it is ending already.
    pub fn begin_end(&self) -> bool {
        !self.is_ending.swap(true, Relaxed)
    }

    /// Kills the current process, whose end `begin_end` has claimed.
    pub fn kill(&self) {
        self.is_closed.store(true, Relaxed);
        self.kill_process(None);
    }

    fn kill_process(&self, shutdown_at: Option<Instant>) {
        let kill = {
            let mut kills = lock(&self.kills);
            kills.push(Kill { shutdown_at, ended_at: None });
            kills.len() - 1
        };
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        // The sockets of the process are closed only now: until then the kernel accepted connections for the
        // exiting process.
        lock(&self.kills)[kill].ended_at = Some(Instant::now());
    }

    /// Returns how long clients open new connections after SIGTERM. `random` is between 0 and 1.
    pub fn accept_duration(random: f64) -> Duration {
        ACCEPT_RANGE.0 + (ACCEPT_RANGE.1 - ACCEPT_RANGE.0).mul_f64(random)
    }

    /// Sends SIGTERM to the current process, and SIGKILL at the platform's earliest time if it still runs.
    /// Clients open new connections for `accepts_for`.
    pub fn shut_down(&self, accepts_for: Duration) {
        let shutdown_at = Instant::now();
        self.signal(Signal::TERM);
        sleep(accepts_for);
        self.is_closed.store(true, Relaxed);
        let mut has_ended = false;
        while !has_ended && shutdown_at.elapsed() < KILL_AFTER {
            sleep(POLL_INTERVAL);
            has_ended = lock(&self.child).try_wait().unwrap().is_some();
        }
        if !has_ended {
            self.kill_process(Some(shutdown_at));
        }
    }

    /// Starts a new process after the previous one has ended. Its configuration contains the endpoint list
    /// `known`.
    pub fn restart(&self, known: &Value) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["known"] = known.clone();
        std::fs::write(&self.config, config.to_string()).unwrap();
        *lock(&self.ready_at) = None;
        *lock(&self.child) = spawn_process(&self.config, &self.log);
        self.wait_until_ready();
        self.is_closed.store(false, Relaxed);
        self.is_ending.store(false, Relaxed);
    }

    /// Kills the current process without a successor, and removes its configuration file.
    pub fn end(&self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
