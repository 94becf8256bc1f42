//! Node processes, started as the platform starts them.

use crate::common::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A node's process, which is killed when this is dropped.
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

/// Returns a free address on 127.1.`address_byte`.1, a loopback address that no other test uses.
pub fn loopback_address(address_byte: u8) -> SocketAddr {
    TcpListener::bind((std::net::Ipv4Addr::new(127, 1, address_byte, 1), 0)).unwrap().local_addr().unwrap()
}

/// Starts a node's process with this configuration file and limit of file descriptors.
pub fn start_process(path: &std::path::Path, descriptors: usize) -> Child {
    start_process_with(path, descriptors, |command| {
        command.stderr(Stdio::piped());
    })
}

/// Starts a node's process after a change to its command.
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

/// Starts a node whose configuration states a limit of `stated` sockets, in a process that may open
/// `descriptors` descriptors.
pub fn start_node(
    address_byte: u8,
    discovery: &Peer,
    known: Value,
    stated: usize,
    descriptors: usize,
) -> Node {
    start_node_with(address_byte, discovery, known, descriptors, |config| {
        config["limits"]["sockets"] = json!(stated)
    })
}

/// Starts a node after a change to its configuration.
pub fn start_node_with(
    address_byte: u8,
    discovery: &Peer,
    known: Value,
    descriptors: usize,
    change: impl Fn(&mut Value),
) -> Node {
    let (address, path) = write_config(address_byte, discovery, known, change);
    Node { child: start_process(&path, descriptors), address, path }
}

/// Writes the configuration of a node that is yet to be started. Returns its address and the path of the
/// file.
pub fn write_config(
    address_byte: u8,
    discovery: &Peer,
    known: Value,
    change: impl Fn(&mut Value),
) -> (SocketAddr, PathBuf) {
    write_config_for(address_byte, discovery.address, known, change)
}

/// Like `write_config`, with discovery at this address.
pub fn write_config_for(
    address_byte: u8,
    discovery: SocketAddr,
    known: Value,
    change: impl Fn(&mut Value),
) -> (SocketAddr, PathBuf) {
    let address = loopback_address(address_byte);
    let mut config = node_config(&address.to_string(), &discovery.to_string(), known);
    change(&mut config);
    let path =
        std::env::temp_dir().join(format!("nickelgw-platform-{address_byte}-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    (address, path)
}

/// Starts an engine that reads requests without keeping them, and gives this response to each.
pub fn quick_engine(response: fn() -> Vec<u8>) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for mut connection in listener.incoming().flatten() {
            connection.set_nodelay(true).unwrap();
            spawn(
                move || while skip_request(&mut connection) && connection.write_all(&response()).is_ok() {},
            );
        }
    });
    Peer::at(address)
}

/// Reads one request. Returns `false` at the end of the connection.
fn skip_request(connection: &mut TcpStream) -> bool {
    let (mut head, mut bytes) = (Vec::new(), vec![0; 64 * 1024]);
    let head_end = loop {
        match connection.read(&mut bytes) {
            Ok(length) if length > 0 => head.extend_from_slice(&bytes[..length]),
            _ => return false,
        }
        if let Some(end) = head.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
    };
    let text = String::from_utf8_lossy(&head[..head_end]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut remaining = (head_end + length.unwrap_or(0)).saturating_sub(head.len());
    while remaining > 0 {
        match connection.read(&mut bytes) {
            Ok(length) if length > 0 => remaining = remaining.saturating_sub(length),
            _ => return false,
        }
    }
    true
}

/// Opens a client's connection to a node.
pub fn connect(address: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
}

/// Sends these bytes on a new connection and returns the node's response.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut client = connect(address);
    client.write_all(bytes).unwrap();
    read_response(&mut client)
}

/// Whether a node is ready. Silent clients occupy their connections for half a second each: behind 200 of
/// them, with 31 connections served at once, this client is served after about 3 s.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut client) = TcpStream::connect(address) else { return false };
    client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").is_ok()
        && read_response(&mut client).starts_with("HTTP/1.1 200")
}

impl Node {
    /// Whether the node is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.address)
    }

    /// Waits until the node is ready. Returns how long that took.
    pub fn wait_until_ready(&self) -> Duration {
        let started_at = Instant::now();
        while !self.is_ready() {
            assert!(
                started_at.elapsed() < 2 * TEST_TIMEOUT,
                "node {} is not ready after 2 * TEST_TIMEOUT",
                self.address
            );
            sleep(Duration::from_millis(20));
        }
        started_at.elapsed()
    }

    /// Returns the anonymous memory of the node's process in kB; its program's file pages are not counted.
    pub fn anonymous_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the node's process has ended");
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let value = line.expect("the node's process has ended").trim();
        value.trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns the targets of the process's open file descriptors.
    pub fn descriptors(&self) -> Vec<String> {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap();
        let target = |entry: std::fs::DirEntry| {
            std::fs::read_link(entry.path()).ok().map(|target| target.display().to_string())
        };
        entries.flatten().filter_map(target).collect()
    }

    /// Returns the processor time that the process has used, in hundredths of a second.
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Starts clients that connect and send nothing, and reconnect when they are closed, until the returned
    /// flag is cleared.
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
    /// Suspends the process, which has the effect of an event loop that is stalled until `resume`.
    pub fn suspend(&self) {
        kill_process(Pid::from_child(&self.child), Signal::STOP).unwrap();
        let deadline = Instant::now() + TEST_TIMEOUT;
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        while !stat().rsplit(')').next().unwrap().trim_start().starts_with('T') {
            assert!(Instant::now() < deadline, "the process still runs after SIGSTOP");
            sleep(Duration::from_millis(1));
        }
    }

    /// Resumes the suspended process.
    pub fn resume(&self) {
        kill_process(Pid::from_child(&self.child), Signal::CONT).unwrap();
    }
}
