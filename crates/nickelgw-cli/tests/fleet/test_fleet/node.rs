//! A node's process, and calls to it.

use nickelgw_test_servers::client;
use nickelgw_test_servers::relay::Link;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A node that shuts down must exit within this time.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A node's settings and addresses, and its process while it runs.
pub struct Node {
    pub name: String,
    pub zone: &'static str,
    /// Address on which the node receives gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Address of the relay before `gossip_address`, to which other nodes send.
    pub relay_address: SocketAddr,
    pub gossip_relay: Link,
    pub(super) address: String,
    pub(super) admin: String,
    pub(super) child: Mutex<Option<Child>>,
    pub(super) settings: String,
    pub(super) file: PathBuf,
}

impl Node {
    /// Starts the process and waits until it serves.
    pub fn start(&self) {
        std::fs::write(&self.file, &self.settings).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.file.with_extension("log"));
        let mut child = Command::new(env!("CARGO_BIN_EXE_nickelgw"))
            .args(["--log-level", "info", "serve", "--config"])
            .arg(&self.file)
            .stdout(Stdio::piped())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let serves = lines.any(|line| line.is_ok_and(|line| line == "serving"));
        assert!(serves, "node {} exited before it printed that it serves", self.name);
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn send_signal(&self, signal: Signal) {
        let child = self.child.lock().unwrap();
        kill_process(Pid::from_child(child.as_ref().unwrap()), signal).unwrap();
    }

    /// Waits until the process has exited by itself.
    pub fn wait_for_exit(&self) {
        let mut child = self.child.lock().unwrap().take().unwrap();
        let started_at = Instant::now();
        while child.try_wait().unwrap().is_none() {
            assert!(
                started_at.elapsed() < EXIT_TIMEOUT,
                "node {} has not exited within {EXIT_TIMEOUT:?}",
                self.name
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the path of the node's file of deferred requests.
    pub fn deferred_file(&self) -> PathBuf {
        self.file.with_extension("parked")
    }

    /// Calls the chat API. Returns the response's status and body.
    pub fn call(&self, method: &str, path: &str, key: &str, body: &str) -> (u16, Value) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = smol::block_on(client::send_raw(&self.address, &[request.as_bytes()], 0.0, 5.0));
        let text = String::from_utf8_lossy(&response).to_string();
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        (client::response_status(&response), serde_json::from_str(body).unwrap_or_default())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }

    /// Returns a metric by its name and labels, from the admin address. `None` if the node does not return
    /// it.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let request = format!("GET /metrics HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", self.admin);
        let response = smol::block_on(client::send_raw(&self.admin, &[request.as_bytes()], 0.0, 1.0));
        let text = String::from_utf8_lossy(&response).to_string();
        let name = format!("nickelgw_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&name));
        value.and_then(|value| value.trim().parse().ok())
    }

    /// Returns the traffic weight that the node gives a zone.
    pub fn zone_weight(&self, zone: &str) -> Option<f64> {
        self.metric(&format!("zone_part{{zone=\"{zone}\"}}"))
    }
}
