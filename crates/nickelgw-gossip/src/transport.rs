//! UDP transport: connects [`Gossip`] to a socket and timers.

use crate::core::record::{DatagramError, MAX_DATAGRAM_BYTES};
use crate::core::{Gossip, OutgoingDatagram};
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use smol::net::{SocketAddr, UdpSocket};
use smol::Timer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Minimum interval in seconds between log lines about rejected datagrams.
const LOG_INTERVAL_S: f64 = 60.0;
/// Maximum number of resolved addresses in the cache.
const MAX_CACHED_ADDRESSES: usize = 8192;
/// Upper bound in seconds of the time between two polls of the core.
const MAX_SLEEP_S: f64 = 10.0;
/// Pause after an error of the socket, so that the loop does not spin on a persistent error.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Event that ended a wait of the loop.
enum Wakeup {
    /// A datagram was received, or the socket reported an error, such as one caused by an earlier datagram to
    /// a peer that is down.
    Datagram(io::Result<(usize, SocketAddr)>),
    /// There may be datagrams to send.
    Send,
}

/// Exchanges datagrams with the peers until the future is dropped. `started_at` is the origin of the node's
/// time. A message on `published` means that there may be datagrams to send at once. `received` is signalled
/// when a peer has sent a new record.
pub async fn run(
    socket: UdpSocket,
    gossip: Rc<RefCell<Gossip>>,
    started_at: Instant,
    published: Receiver<()>,
    received: Sender<()>,
) {
    let mut transport = Transport {
        socket,
        gossip,
        started_at,
        received,
        addresses: HashMap::new(),
        logged_at: f64::NEG_INFINITY,
    };
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let next_poll_at = transport.send_pending().await;
        match transport.wait(&mut buffer, next_poll_at, &published).await {
            Wakeup::Datagram(Ok((length, from))) => transport.receive(&buffer[..length], from),
            Wakeup::Datagram(Err(_)) => drop(Timer::after(SOCKET_ERROR_PAUSE).await),
            Wakeup::Send => {}
        }
    }
}

struct Transport {
    socket: UdpSocket,
    gossip: Rc<RefCell<Gossip>>,
    started_at: Instant,
    received: Sender<()>,
    /// Addresses of peers by host:port. Each name is resolved once; if that fails, it is resolved again for
    /// the next datagram.
    addresses: HashMap<String, SocketAddr>,
    /// Time at which a rejected datagram was last logged.
    logged_at: f64,
}

impl Transport {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Sends the datagrams that are due, and returns the time of the next poll.
    async fn send_pending(&mut self) -> f64 {
        let (datagrams, next_poll_at) = self.gossip.borrow_mut().poll_datagrams(self.now(), unix_ms());
        for OutgoingDatagram { to, bytes } in datagrams {
            let Some(address) = self.resolve(to).await else { continue };
            // Loss of a datagram is compensated by other peers.
            let _ = self.socket.send_to(&bytes, address).await;
        }
        next_poll_at
    }

    async fn resolve(&mut self, peer: String) -> Option<SocketAddr> {
        let address = match self.addresses.get(&peer) {
            Some(address) => *address,
            None => smol::net::resolve(peer.as_str()).await.ok()?.into_iter().next()?,
        };
        if self.addresses.len() < MAX_CACHED_ADDRESSES {
            self.addresses.insert(peer, address);
        }
        Some(address)
    }

    async fn wait(&self, buffer: &mut [u8], next_poll_at: f64, published: &Receiver<()>) -> Wakeup {
        let datagram = async { Wakeup::Datagram(self.socket.recv_from(buffer).await) };
        let publication = async {
            let _ = published.recv().await;
            Wakeup::Send
        };
        let poll = async {
            let sleep_s = (next_poll_at - self.now()).clamp(0.0, MAX_SLEEP_S);
            Timer::after(Duration::from_secs_f64(sleep_s)).await;
            Wakeup::Send
        };
        or(datagram, or(publication, poll)).await
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let result = self.gossip.borrow_mut().receive(self.now(), unix_ms(), bytes);
        match result {
            Ok(true) => drop(self.received.try_send(())),
            Ok(false) => {}
            Err(error) => self.log_rejected(error, from),
        }
    }

    fn log_rejected(&mut self, why: DatagramError, from: SocketAddr) {
        let now = self.now();
        if now >= self.logged_at + LOG_INTERVAL_S {
            self.logged_at = now;
            let refused = self.gossip.borrow().counters.rejected;
            tracing::warn!(%from, %why, ?refused, "a datagram between nodes was refused");
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
