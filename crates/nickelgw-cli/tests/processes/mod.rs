//! Nodes as processes, started as the platform starts them.

use crate::common::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A node's process; it ends with the test.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub path: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// An address of loopback that no other test uses.
pub fn loopback_address(n: u8) -> SocketAddr {
    TcpListener::bind((std::net::Ipv4Addr::new(127, 1, n, 1), 0)).unwrap().local_addr().unwrap()
}

/// A node's process with this configuration file and limit of descriptors.
pub fn start_process(path: &std::path::Path, descriptors: usize) -> Child {
    start_process_with(path, descriptors, |command| {
        command.stderr(Stdio::piped());
    })
}

/// A node's process, with a change of its command.
pub fn start_process_with(
    path: &std::path::Path,
    descriptors: usize,
    change: impl FnOnce(&mut Command),
) -> Child {
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(format!("ulimit -n {descriptors}; exec {} $LEVEL platform", env!("CARGO_BIN_EXE_nickelgw")))
        .env("RELAY_CONFIG", path)
        .stdout(Stdio::null());
    change(&mut command);
    command.spawn().unwrap()
}

/// A node whose configuration states so many descriptors, in a process that gets `descriptors` of them.
pub fn start_node(n: u8, discovery: &Peer, known: Value, stated: usize, descriptors: usize) -> Node {
    start_node_with(n, discovery, known, descriptors, |config| config["limits"]["sockets"] = json!(stated))
}

/// A node with a change of its configuration.
pub fn start_node_with(
    n: u8,
    discovery: &Peer,
    known: Value,
    descriptors: usize,
    change: impl Fn(&mut Value),
) -> Node {
    let (address, path) = write_config(n, discovery, known, change);
    Node { child: start_process(&path, descriptors), address, path }
}

/// The address and the configuration file of a node that is yet to be started.
pub fn write_config(
    n: u8,
    discovery: &Peer,
    known: Value,
    change: impl Fn(&mut Value),
) -> (SocketAddr, PathBuf) {
    write_config_for(n, discovery.address, known, change)
}

/// The same, with discovery at this address.
pub fn write_config_for(
    n: u8,
    discovery: SocketAddr,
    known: Value,
    change: impl Fn(&mut Value),
) -> (SocketAddr, PathBuf) {
    let address = loopback_address(n);
    let mut config = node_config(&address.to_string(), &discovery.to_string(), known);
    change(&mut config);
    let path = std::env::temp_dir().join(format!("nickelgw-platform-{n}-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    (address, path)
}

/// A client's connection to a node.
pub fn connect(address: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
}

/// The node's response to these bytes.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut client = connect(address);
    client.write_all(bytes).unwrap();
    read_response(&mut client)
}

/// Whether a node is ready. Silent clients keep their places for half a second each: behind 200 of them in a table of 31
/// this client is served after some 3 s.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut client) = TcpStream::connect(address) else { return false };
    client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").is_ok()
        && read_response(&mut client).starts_with("HTTP/1.1 200")
}

impl Node {
    /// Whether it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.address)
    }

    /// Waits until it is ready, and returns how long that took.
    pub fn wait_until_ready(&self) -> Duration {
        let started_at = Instant::now();
        while !self.is_ready() {
            assert!(started_at.elapsed() < 2 * TEST_TIMEOUT, "never ready");
            sleep(Duration::from_millis(20));
        }
        started_at.elapsed()
    }

    /// What its descriptors refer to.
    pub fn descriptors(&self) -> Vec<String> {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        let target = |entry: std::fs::DirEntry| {
            std::fs::read_link(entry.path()).ok().map(|target| target.display().to_string())
        };
        entries.flatten().filter_map(target).collect()
    }

    /// Processor time used, in hundredths of a second.
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// So many clients that connect and send nothing, repeatedly as they are closed, until the flag is cleared.
    pub fn start_silent_clients(&self, clients: usize) -> (Arc<AtomicBool>, std::thread::JoinHandle<()>) {
        let (running, address) = (Arc::new(AtomicBool::new(true)), self.address);
        let still_running = running.clone();
        let connect = move || {
            let mut connections: Vec<TcpStream> = Vec::new();
            while still_running.load(Ordering::Relaxed) {
                connections.retain(|connection| {
                    connection.set_nonblocking(true).unwrap();
                    !matches!(connection.peek(&mut [0]), Ok(0))
                });
                while connections.len() < clients {
                    let connection = TcpStream::connect_timeout(&address, Duration::from_millis(200));
                    let Ok(connection) = connection else { break };
                    connections.push(connection);
                }
                sleep(Duration::from_millis(20));
            }
        };
        (running, spawn(connect))
    }
}

impl Node {
    /// Stops the process, as if its event loop were late by all that time.
    pub fn suspend(&self) {
        kill_process(Pid::from_child(&self.child), Signal::STOP).unwrap();
        let deadline = Instant::now() + TEST_TIMEOUT;
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        while !stat().rsplit(')').next().unwrap().trim_start().starts_with('T') {
            assert!(Instant::now() < deadline, "it still runs");
            sleep(Duration::from_millis(1));
        }
    }

    /// Lets the process continue.
    pub fn resume(&self) {
        kill_process(Pid::from_child(&self.child), Signal::CONT).unwrap();
    }
}
