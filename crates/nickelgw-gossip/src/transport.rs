//! The UDP socket and the timers around [`Gossip`].

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

/// Rejected datagrams are logged once in so long.
const LOG_INTERVAL_S: f64 = 60.0;
/// Resolved addresses that are cached, at most.
const MAX_CACHED_ADDRESSES: usize = 8192;
/// The socket is polled at least this often, whatever the core asks for.
const MAX_SLEEP_S: f64 = 10.0;
/// Pause after an error of the socket, so that a persistent one does not spin.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// What ended a wait of the loop.
enum Wakeup {
    /// A datagram, or an error that an earlier one to a peer that is down has caused.
    Datagram(io::Result<(usize, SocketAddr)>),
    /// There may be something to send.
    Send,
}

/// Exchanges datagrams with the peers until dropped. `started_at`: the node's time zero; `published`: there may be
/// something to send at once; `received`: signalled when a peer has sent something new.
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
    /// Addresses of peers by host:port. Each is resolved once; one that fails is tried again with the next datagram.
    addresses: HashMap<String, SocketAddr>,
    /// When a rejected datagram was last logged.
    logged_at: f64,
}

impl Transport {
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Sends what is due; gives the time of the next poll.
    async fn send_pending(&mut self) -> f64 {
        let (datagrams, next_poll_at) = self.gossip.borrow_mut().poll_datagrams(self.now(), unix_ms());
        for OutgoingDatagram { to, bytes } in datagrams {
            let Some(address) = self.resolve(to).await else { continue };
            // A datagram that is lost is made good by other peers.
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
