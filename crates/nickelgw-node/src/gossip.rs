//! Runs the gossip protocol for the core. In each round the core receives the records of other nodes and
//! returns what this node publishes in its own record.

use crate::clock::{seconds, Clock};
use crate::events::{Event, TimedEvent};
use async_channel::{bounded, Receiver, Sender};
use nickelgw_gossip::core::Gossip;
use nickelgw_zones::core::ZoneConfig;
use smol::net::UdpSocket;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Options of a node's gossip with the other nodes of its fleet.
pub struct GossipOptions {
    /// State of the protocol, including this node's own record.
    pub gossip: Gossip,
    /// Configuration of zone failover.
    pub zones: ZoneConfig,
    /// UDP socket that sends and receives the gossip datagrams.
    pub socket: GossipSocket,
}

/// UDP socket of the gossip protocol, bound already or still to be bound.
pub struct GossipSocket {
    /// The bound socket; `None` if the node has to bind it, which fails while the previous process still
    /// holds the address.
    pub bound: Option<std::net::UdpSocket>,
    /// Address to bind if `bound` is `None`.
    pub address: String,
}

/// Delay before a failed bind is retried.
const BIND_RETRY_S: f64 = 0.1;
/// Fraction of a round that passes before the next one even if other nodes report something urgent.
const MIN_ROUND_FRACTION: f64 = 0.25;

/// Exchanges gossip records between the socket and the event loop.
pub struct GossipTask {
    /// State of the protocol.
    pub gossip: Rc<RefCell<Gossip>>,
    /// The event loop's queue.
    pub events: Sender<TimedEvent>,
    /// The node's clock.
    pub clock: Clock,
    /// Closed when the node stops listening; from then on its successor publishes.
    pub stop: Receiver<()>,
    /// Signals that this node or another one has observed a failure, so that the next round begins early.
    pub urgent: (Sender<()>, Receiver<()>),
    /// Whether no zone is evacuated or recovering; updated in each round.
    pub all_zones_active: Rc<Cell<bool>>,
}

/// Binds the socket, retrying until its address is free. Returns `None` if the socket cannot be used
/// asynchronously.
async fn bind(options: GossipSocket) -> Option<UdpSocket> {
    let mut socket = options.bound;
    while socket.is_none() {
        socket = std::net::UdpSocket::bind(&options.address).ok();
        if socket.is_none() {
            Timer::after(seconds(BIND_RETRY_S)).await;
        }
    }
    socket.and_then(|socket| smol::Async::try_from(socket).ok()).map(UdpSocket::from)
}

impl GossipTask {
    /// Runs until dropped or until the node stops listening.
    pub async fn run(self, socket: GossipSocket) {
        let Some(socket) = bind(socket).await else { return };
        let (send_now, send_requested) = bounded(1);
        let exchange = nickelgw_gossip::run(
            socket,
            self.gossip.clone(),
            self.clock.origin(),
            send_requested,
            self.urgent.0.clone(),
        );
        let stopped = async {
            let _ = self.stop.recv().await;
        };
        futures_lite::future::or(stopped, futures_lite::future::or(exchange, self.run_rounds(send_now)))
            .await;
    }

    async fn run_rounds(&self, send_now: Sender<()>) {
        let round_s = self.gossip.borrow().round_s();
        loop {
            let peers = self.gossip.borrow().zone_peers(self.clock.now());
            let (reply_to, replied) = bounded(1);
            let event = TimedEvent::new(Event::ZoneRound { peers, reply_to });
            if self.events.send(event).await.is_err() {
                return;
            }
            if let Ok(round) = replied.recv().await {
                self.all_zones_active.set(round.all_zones_active);
                self.gossip.borrow_mut().publish(self.clock.now(), round.reports, round.urgent);
                if round.urgent {
                    let _ = send_now.try_send(());
                }
            }
            self.wait_for_next_round(round_s).await;
        }
    }

    /// Waits until the round is over. Urgent observations end the wait early, but not before
    /// [`MIN_ROUND_FRACTION`] of the round, so that not every datagram starts a round.
    async fn wait_for_next_round(&self, round_s: f64) {
        Timer::after(seconds(round_s * MIN_ROUND_FRACTION)).await;
        let round_ended = async {
            Timer::after(seconds(round_s * (1.0 - MIN_ROUND_FRACTION))).await;
        };
        let urgent = async {
            let _ = self.urgent.1.recv().await;
        };
        futures_lite::future::or(urgent, round_ended).await;
    }
}
