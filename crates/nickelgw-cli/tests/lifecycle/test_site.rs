//! A node's process with three test engines, which run on threads of the test.

use nickelgw_protocol::list::{self, EngineState};
use nickelgw_test_servers::client::{self, ChatCall};
use nickelgw_test_servers::engine_config::{EngineConfig, Role};
use nickelgw_test_servers::recorder::unix_now;
use nickelgw_test_servers::Recorder;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// An event that the test waits for must happen within this time.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// A node that shuts down must exit within this time.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A node's settings and store in a folder of their own, with its engines and endpoint list.
pub struct TestSite {
    pub dir: PathBuf,
    list: String,
    /// Addresses of the engines: the prefill engine, then two decode engines.
    pub engines: Vec<String>,
    record: Recorder,
    /// Address on which the node listens.
    address: String,
}

impl Drop for TestSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl TestSite {
    /// Starts the engines and the endpoint list, and writes the node's settings. `step_s` is the time between
    /// tokens in seconds.
    pub fn new(name: &str, step_s: f64) -> TestSite {
        let dir = std::env::temp_dir().join(format!("nickelgw-life-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let record = Recorder::memory("driver");
        let engines = [("r0", Role::Prefill), ("w0", Role::Decode), ("w1", Role::Decode)];
        let entries: Vec<_> =
            engines.map(|(id, role)| spawn_engine(id, role, step_s, &record)).into_iter().collect();
        let engines = entries.iter().map(|entry| entry.address.clone()).collect();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let list = listener.local_addr().unwrap().to_string();
        thread::spawn(move || {
            smol::block_on(nickelgw_test_servers::list::run(listener, entries, 0.0, Recorder::default()))
        });
        let site = TestSite { dir, list, engines, record, address: reusable_address() };
        site.write_settings("");
        site
    }

    /// Writes the node's settings with `more` added to the default ones.
    pub fn write_settings(&self, more: &str) {
        let text = format!(
            "name: 'node0' zone: 'a' zones: 'a' listen: '{}' list: '{}'\n\
             model_route {{ model: 'chat' first_token_target_ms: 2000 route_timeout_ms: 8000 }}\n\
             model_route {{ model: 'booking' first_token_target_ms: 2000 route_timeout_ms: 8000 repeat: NON_RETRIABLE }}
\
             leaving {{ notice_ms: 300 grace_ms: 4000 end_ms: 1000 }}\n{more}",
            self.address, self.list
        );
        let store = format!("store: '{}'\n", self.dir.join("node.store").display());
        std::fs::write(self.dir.join("node.txtpb"), text + &store).unwrap();
    }

    /// Starts a node and waits until it serves.
    pub fn start_node(&self) -> Child {
        let mut child = Command::new(env!("CARGO_BIN_EXE_nickelgw"))
            .args(["serve", "--config"])
            .arg(self.dir.join("node.txtpb"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let serves = lines.any(|line| line.is_ok_and(|line| line == "serving"));
        assert!(serves, "the node exited before it printed that it serves");
        child
    }

    /// Sends a streamed chat request. Returns what the client received.
    pub fn chat(&self, id: &str) -> Option<client::CallResult> {
        let request = ChatCall {
            request_id: id.into(),
            address: self.address.clone(),
            model: "chat".into(),
            prompt: "tell me more".into(),
            stream: true,
            timeout_s: 8.0,
            ttft_target_s: 2.0,
            intended_start: unix_now(),
            ..ChatCall::default()
        };
        smol::block_on(client::call(&request, &Recorder::default()))
    }

    pub fn chat_completes(&self, id: &str) -> bool {
        self.chat(id).is_some_and(|result| result.outcome == "completed")
    }

    /// Returns the number of KV states that the prefill engine holds, or -1 if the engine does not say.
    pub fn held_states(&self) -> i64 {
        let order = serde_json::json!({"fault": "forget"});
        let answer = smol::block_on(client::control(&self.engines[0], &order));
        answer.and_then(|answer| answer["states"].as_i64()).unwrap_or(-1)
    }

    /// Sends a request with an idempotency key. Returns the bytes of the response that arrive within three
    /// seconds.
    pub fn send_keyed(&self, model: &str, key: &str) -> String {
        let body = format!(
            r#"{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"pay {key}"}}]}}"#
        );
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: {key}\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = smol::block_on(client::send_raw(&self.address, &[request.as_bytes()], 0.0, 3.0));
        String::from_utf8_lossy(&response).to_string()
    }

    /// Returns the number of events of this kind that the engines have recorded.
    pub fn count(&self, event: &str) -> usize {
        self.record.entries().iter().filter(|line| line["ev"] == event).count()
    }

    pub fn wait_until(&self, what: &str, has_happened: impl Fn() -> bool) {
        let started_at = Instant::now();
        while !has_happened() {
            assert!(started_at.elapsed() < EVENT_TIMEOUT, "did not happen within ten seconds: {what}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the address on which the node listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Kills the node's process after a handover, when it is not a child of the test.
    pub fn kill_successor(&self) {
        self.signal_successor(Signal::KILL);
    }

    /// Sends a signal to the node's process after a handover, when it is not a child of the test. The process
    /// is found by the settings file in its command line.
    pub fn signal_successor(&self, signal: Signal) {
        let settings = self.dir.join("node.txtpb").display().to_string();
        for process in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
            let Ok(pid) = process.file_name().to_string_lossy().parse::<i32>() else { continue };
            let command_line = std::fs::read_to_string(process.path().join("cmdline")).unwrap_or_default();
            if command_line.contains(&settings) {
                let _ = kill_process(Pid::from_raw(pid).unwrap(), signal);
            }
        }
    }
}

fn spawn_engine(id: &str, role: Role, step_s: f64, record: &Recorder) -> list::EndpointEntry {
    let engine = EngineConfig {
        id: id.into(),
        role,
        mean_output_tokens: 8,
        decode_step_s: step_s,
        slots: 64,
        ..EngineConfig::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = list::EndpointEntry {
        id: id.into(),
        address: listener.local_addr().unwrap().to_string(),
        zone: "a".into(),
        cell: 0,
        role: if role == Role::Prefill { list::EngineRole::Prefill } else { list::EngineRole::Decode },
        memory_tokens: 2e5,
        state: EngineState::Active,
        started_at: None,
        tls_name: None,
    };
    let record = record.for_source(id);
    thread::spawn(move || smol::block_on(nickelgw_test_servers::engine::run(listener, engine, record, 1)));
    entry
}

/// Returns an address that a restarted node can listen on again. Each site has a loopback address of its own,
/// since on 127.0.0.1 the port may meanwhile have been assigned to a connection of another test.
fn reusable_address() -> String {
    static SITES: AtomicU8 = AtomicU8::new(1);
    let site_address = Ipv4Addr::new(127, 2, SITES.fetch_add(1, Ordering::Relaxed), 1);
    TcpListener::bind((site_address, 0)).unwrap().local_addr().unwrap().to_string()
}

pub fn kill(node: &mut Child) {
    node.kill().unwrap();
    node.wait().unwrap();
}

pub fn send_signal(node: &Child, signal: Signal) {
    kill_process(Pid::from_child(node), signal).unwrap();
}

/// Waits until the node has exited. Returns its exit code, or -1 if a signal ended it.
pub fn exit_code(node: &mut Child) -> i32 {
    let started_at = Instant::now();
    loop {
        if let Some(status) = node.try_wait().unwrap() {
            return status.code().unwrap_or(-1);
        }
        assert!(started_at.elapsed() < EXIT_TIMEOUT, "the node has not exited within {EXIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(10));
    }
}
