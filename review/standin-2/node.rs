//! A node's process, started by the `run` command of the deploy file.

use crate::discovery::List;
use crate::http::Reader;
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Longest deadline of the class that the cases use (`nakuru-rounds`).
const DEADLINE_S: f64 = 4.0;

/// Limits of a node, as its configuration states them.
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
    /// Time after which nothing new may go to an engine once its drain was told, in seconds.
    pub grace_s: f64,
}

/// A node of a small deployment, under one name and address for all of its processes.
pub struct Node {
    pub address: SocketAddr,
    limits: Limits,
    folder: PathBuf,
    process: Option<Child>,
    record: Arc<Record>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Node {
    pub fn new(limits: Limits, record: &Arc<Record>) -> Result<Node, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).map_err(|error| error.to_string())?;
        Ok(Node { address, limits, folder, process: None, record: record.clone() })
    }

    fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Replaces the configuration file. `known` is the list as the node had it last.
    pub fn write_config(&self, discovery: SocketAddr, known: &List) -> Result<(), String> {
        let Limits { memory_mb, sockets, grace_s } = self.limits;
        let (listen, known) = (self.address, known.json(None));
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"accounts":[],"az":"a","balancers":2,"charges":{{"cross_zone":0.01,"probe":0.003}},
"classes":[{{"name":"round-query","slo_s":1.0,"deadline_s":{DEADLINE_S},"idempotency":"pure","group":"all",
"late_worth":0.2,"memory_span_s":5.0,"streaming":true,"worth":1.0}}],
"client_habits":{{"marks_retry":true}},"family":"twostage",
"family_info":{{"aim_us_per_1000_prompt_tokens":[40000.0],"kind_memory_tokens":[250000,150000],
"local_read":true,"may_reserve":false,"release_s":0.5,"resume":true,"role_by_kind":["read","write"],
"token_aim_s":[0.06],"transfer_price":0.03}},
"kinds":["m1","m2"],
"limits":{{"cancel":true,"connect_timeout_s":0.25,"idle_close_s":15.0,"max_open":20000,
"max_retry_after_s":2.0,"most_tries":6,"peers":false,"probes":true,"retry_after":false,
"second_copies":false,"streams_per_conn":1}},
"my_number":0,"registry_mode":"automatic","reporting":{{"fields":["load_share","depth","x0"],"how":"pull"}},
"rules":{{"answer_slack_s":0.016,"ask_within_s":10.0,"cold_from":0.26,"fall_s":2.0,
"stop_sending_within_s":{grace_s},"tip_multiple":4.0,"warm_within_s":11.0}},
"tick_s":0.004,"weights":"silent","worth_by":"work","zones":["a","b"]}}}}"#
        );
        let next = self.folder.join("next.json");
        std::fs::write(&next, config).map_err(|error| error.to_string())?;
        std::fs::rename(next, self.config()).map_err(|error| error.to_string())
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&mut self, discovery: SocketAddr) -> Result<(), String> {
        let command = format!("ulimit -n {}; {}", self.limits.sockets, run_command()?);
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", self.address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", self.config())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.line(&format!("node: started, discovery at {discovery}"));
        self.process = Some(process);
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if let Some(status) = self.exit_status() {
                return Err(format!("the node ended at its start: {status}"));
            }
            if Instant::now() > deadline {
                return Err("the node was not ready within 10 s".into());
            }
            sleep(Duration::from_millis(5));
        }
        self.record.line("node: ready");
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let call = b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        let until = Some(Instant::now() + Duration::from_secs(1));
        stream.write_all(call).is_ok()
            && Reader::new(stream).head(until).is_some_and(|head| head.status() == Some(200))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            self.record.line(&format!("node: signal {signal}"));
            // SAFETY: `kill` only takes numbers; the process is a child that has not been waited for.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            self.record.line("node: killed by the case");
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Ends the process with SIGTERM, and with SIGKILL at the earliest time at which that may come.
    pub fn end(&mut self) {
        self.signal(SIGTERM);
        let longest_s = DEADLINE_S.min(3.0) + 0.7;
        let deadline = Instant::now() + Duration::from_secs_f64(longest_s);
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status() {
                self.record.line(&format!("node: ended by itself, {status}"));
                self.process = None;
                return;
            }
            sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    /// Returns how the process has ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.try_wait().ok()?
    }

    /// Returns a size of the process in kB from its status file, such as `RssAnon`.
    pub fn size_kb(&self, name: &str) -> Option<u64> {
        let process = self.process.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

/// Returns the command in the key `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let path = "deploy/balancer.toml";
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let value = text.lines().find_map(|line| line.strip_prefix("run")?.trim_start().strip_prefix('='));
    let command = value.and_then(|value| value.split('"').nth(1));
    command.map(str::to_string).ok_or_else(|| format!("{path}: no command under run"))
}
