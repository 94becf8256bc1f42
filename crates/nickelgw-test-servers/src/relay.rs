//! Relay between two parties that causes network faults. It can stall, delay, duplicate, drop or refuse
//! traffic.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Number of datagrams kept, so that tests can replay them.
const MAX_KEPT_DATAGRAMS: usize = 64;
/// Time between checks of the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the buffer of a connection.
const TCP_BUFFER_BYTES: usize = 16 * 1024;
/// Size of the largest datagram relayed.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Fault that the relay causes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// Everything is passed on.
    #[default]
    Pass,
    /// Nothing is passed on in either direction. Connections stay open, and new ones are accepted.
    Stall,
    /// Requests are passed on, and responses are not.
    StallResponses,
    /// Open and new connections are closed.
    Refuse,
    /// Requests and datagrams are passed on after this number of seconds.
    Delay(f64),
    /// Datagrams are sent twice.
    Duplicate,
    /// Datagrams are dropped.
    Drop,
}

/// Handle of a relay, to set its mode and to read what it has received.
#[derive(Clone, Default)]
pub struct Link(Arc<Mutex<LinkState>>);

#[derive(Default)]
struct LinkState {
    mode: Mode,
    /// Modes for the datagrams of individual senders, which override `mode`.
    sender_modes: Vec<(SocketAddr, Mode)>,
    connections: usize,
    datagrams: Vec<Vec<u8>>,
}

impl Link {
    fn with_state<T>(&self, action: impl FnOnce(&mut LinkState) -> T) -> T {
        action(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the mode.
    pub fn set_mode(&self, mode: Mode) {
        self.with_state(|state| state.mode = mode);
    }

    /// Sets the mode for the datagrams of one sender.
    pub fn set_sender_mode(&self, sender: SocketAddr, mode: Mode) {
        self.with_state(|state| {
            state.sender_modes.retain(|(address, _)| *address != sender);
            state.sender_modes.push((sender, mode));
        });
    }

    fn mode(&self) -> Mode {
        self.with_state(|state| state.mode)
    }

    fn sender_mode(&self, sender: SocketAddr) -> Mode {
        self.with_state(|state| {
            let own_mode = state.sender_modes.iter().find(|(address, _)| *address == sender);
            own_mode.map_or(state.mode, |(_, mode)| *mode)
        })
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.with_state(|state| state.connections)
    }

    /// Returns the most recent datagrams received.
    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        self.with_state(|state| state.datagrams.clone())
    }

    fn keep_datagram(&self, bytes: &[u8]) {
        self.with_state(|state| {
            state.datagrams.push(bytes.to_vec());
            let excess = state.datagrams.len().saturating_sub(MAX_KEPT_DATAGRAMS);
            state.datagrams.drain(..excess);
        });
    }
}

/// Relays TCP connections until the future is dropped.
pub async fn tcp(listener: std::net::TcpListener, to: SocketAddr, link: Link) -> std::io::Result<()> {
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let (client, _) = listener.accept().await?;
            link.with_state(|state| state.connections += 1);
            if link.mode() != Mode::Refuse {
                let link = link.clone();
                executor.spawn(async move { drop(relay_connection(client, to, link).await) }).detach();
            }
        }
    };
    executor.run(accept).await
}

async fn relay_connection(client: TcpStream, to: SocketAddr, link: Link) -> std::io::Result<()> {
    let _ = client.set_nodelay(true);
    while link.mode() == Mode::Stall {
        Timer::after(POLL_INTERVAL).await;
    }
    let server = TcpStream::connect(to).await?;
    let _ = server.set_nodelay(true);
    let refused = async {
        while link.mode() != Mode::Refuse {
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    };
    let requests = copy(client.clone(), server.clone(), &link, Direction::Requests);
    let responses = copy(server, client, &link, Direction::Responses);
    // The end of either direction ends both, so that each party sees immediately when the other closes.
    futures_lite::future::or(refused, futures_lite::future::or(requests, responses)).await
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Requests,
    Responses,
}

impl Direction {
    fn is_stalled(self, mode: Mode) -> bool {
        mode == Mode::Stall || (mode == Mode::StallResponses && self == Direction::Responses)
    }
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    link: &Link,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buffer = vec![0; TCP_BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        if let (Mode::Delay(seconds), Direction::Requests) = (link.mode(), direction) {
            Timer::after(Duration::from_secs_f64(seconds)).await;
        }
        while direction.is_stalled(link.mode()) {
            Timer::after(POLL_INTERVAL).await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

/// Relays UDP datagrams until the future is dropped.
pub async fn udp(socket: std::net::UdpSocket, to: SocketAddr, link: Link) -> std::io::Result<()> {
    let socket = UdpSocket::from(smol::Async::<std::net::UdpSocket>::try_from(socket)?);
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let executor = LocalExecutor::new();
    let relay = async {
        loop {
            // A peer that is down causes an error on the next call.
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else { continue };
            let bytes = buffer[..length].to_vec();
            link.keep_datagram(&bytes);
            match link.sender_mode(sender) {
                Mode::Drop | Mode::Stall | Mode::Refuse => {}
                Mode::Delay(seconds) => {
                    let socket = socket.clone();
                    executor
                        .spawn(async move {
                            Timer::after(Duration::from_secs_f64(seconds)).await;
                            let _ = socket.send_to(&bytes, to).await;
                        })
                        .detach();
                }
                mode => {
                    let copies = if mode == Mode::Duplicate { 2 } else { 1 };
                    for _ in 0..copies {
                        let _ = socket.send_to(&bytes, to).await;
                    }
                }
            }
        }
    };
    executor.run(relay).await
}
