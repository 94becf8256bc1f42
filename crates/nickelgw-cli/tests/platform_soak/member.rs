//! One node over the lives of its processes: started, signalled, killed and started again as the platform does it.

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

/// Descriptors of a node.
const DESCRIPTORS: usize = 256;
/// After the request to shut down new connections still come for a time in this range.
const ACCEPT_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(400));
/// SIGKILL comes so long after it, the platform's earliest moment: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2700);
/// What is unanswered at SIGKILL is lost if it came later than this after the request to shut down.
const UNANSWERED_EXCUSED: Duration = Duration::from_millis(700);
/// SIGHUP never comes before a process is ready, nor in its first second (the platform's page).
const MIN_READY_BEFORE_RELOAD: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time in which a process was killed: its connections end at some moment of it.
struct Kill {
    /// The request to shut down, where one came before.
    shutdown_at: Option<Instant>,
    /// None: the process may still be dying.
    ended_at: Option<Instant>,
}

impl Kill {
    /// Whether it cut a request that was sent then and is open now.
    fn cuts(&self, sent_at: Instant) -> bool {
        self.ended_at.is_none_or(|ended_at| ended_at >= sent_at)
    }

    /// Whether that is nobody's loss.
    fn excuses(&self, sent_at: Instant) -> bool {
        self.cuts(sent_at)
            && self.shutdown_at.is_none_or(|shutdown_at| sent_at <= shutdown_at + UNANSWERED_EXCUSED)
    }
}

/// One node.
pub struct Member {
    /// What the ids of its clients' requests begin with.
    pub request_prefix: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its log, of all its processes.
    pub log: PathBuf,
    config: PathBuf,
    child: Mutex<Child>,
    /// It takes no new connections: it shuts down, or is not ready yet.
    closed: AtomicBool,
    /// A shutdown or a kill is under way.
    ending: AtomicBool,
    kills: Mutex<Vec<Kill>>,
    /// Since when its present process is ready.
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
        let (closed, ending) = (AtomicBool::new(false), AtomicBool::new(false));
        let (kills, ready_at) = (Mutex::default(), Mutex::default());
        let request_prefix = format!("s{number}x");
        Arc::new(Member { request_prefix, address, log, config, child, closed, ending, kills, ready_at })
    }

    /// Waits until it answers that it is ready.
    pub fn wait_until_ready(&self) {
        let started_at = Instant::now();
        while !is_ready(self.address) {
            assert!(started_at.elapsed() < 3 * TEST_TIMEOUT, "{} is not ready", self.address);
            sleep(POLL_INTERVAL);
        }
        *lock(&self.ready_at) = Some(Instant::now());
    }

    /// Whether new connections come now.
    pub fn takes_connections(&self) -> bool {
        !self.closed.load(Relaxed)
    }

    /// Whether a request that was sent then, and is open now, was cut by a kill and is nobody's loss.
    pub fn excuses(&self, sent_at: Instant) -> bool {
        lock(&self.kills).iter().any(|kill| kill.excuses(sent_at))
    }

    /// Whether a request that was sent then, and is open now, was cut by a kill that does not excuse it.
    pub fn cut_late(&self, sent_at: Instant) -> bool {
        lock(&self.kills).iter().any(|kill| kill.cuts(sent_at) && !kill.excuses(sent_at))
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        let child = lock(&self.child);
        let _ = kill_process(Pid::from_child(&child), signal);
    }

    /// Sends a reload to its process, unless that is ready since less than a second: the platform never does.
    pub fn reload(&self) {
        let is_old_enough = |ready_at: &Instant| ready_at.elapsed() >= MIN_READY_BEFORE_RELOAD;
        if lock(&self.ready_at).as_ref().is_some_and(is_old_enough) {
            self.signal(Signal::HUP);
        }
    }

    /// Its present process.
    pub fn process(&self) -> u32 {
        lock(&self.child).id()
    }

    /// Sends a signal to this process, if it is still the present one.
    pub fn signal_process(&self, process: u32, signal: Signal) {
        let child = lock(&self.child);
        if child.id() == process {
            let _ = kill_process(Pid::from_child(&child), signal);
        }
    }

    /// Claims the end of its process; false if it is ending already.
    pub fn begin_end(&self) -> bool {
        !self.ending.swap(true, Relaxed)
    }

    /// Kills its process, which `begin_end` has claimed.
    pub fn kill(&self) {
        self.closed.store(true, Relaxed);
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
        // Its sockets are closed only now: up to here the system accepted connections for a process that was dying.
        lock(&self.kills)[kill].ended_at = Some(Instant::now());
    }

    /// How long new connections come after the request to shut down. `random` is from 0 to 1.
    pub fn accept_duration(random: f64) -> Duration {
        ACCEPT_RANGE.0 + (ACCEPT_RANGE.1 - ACCEPT_RANGE.0).mul_f64(random)
    }

    /// Tells its process to shut down, and kills it at the platform's earliest moment. New connections come for `accepts_for`.
    pub fn shut_down(&self, accepts_for: Duration) {
        let shutdown_at = Instant::now();
        self.signal(Signal::TERM);
        sleep(accepts_for);
        self.closed.store(true, Relaxed);
        let mut has_ended = false;
        while !has_ended && shutdown_at.elapsed() < KILL_AFTER {
            sleep(POLL_INTERVAL);
            has_ended = lock(&self.child).try_wait().unwrap().is_some();
        }
        if !has_ended {
            self.kill_process(Some(shutdown_at));
        }
    }

    /// Starts a new process, which knows this list, after the end of the one before.
    pub fn restart(&self, known: &Value) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        let mut config: Value = serde_json::from_str(&text).unwrap();
        config["known"] = known.clone();
        std::fs::write(&self.config, config.to_string()).unwrap();
        *lock(&self.ready_at) = None;
        *lock(&self.child) = spawn_process(&self.config, &self.log);
        self.wait_until_ready();
        self.closed.store(false, Relaxed);
        self.ending.store(false, Relaxed);
    }

    /// Ends its process for good.
    pub fn end(&self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
