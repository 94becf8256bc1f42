//! Carries between the core and the other nodes of the fleet: their records in, this node's out, a round at a time.

use crate::event_loop::{Event, TimedEvent};
use crate::{seconds, Clock};
use async_channel::{bounded, Receiver, Sender};
use nickelgw_gossip::core::Gossip;
use smol::net::UdpSocket;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a node is one of a fleet.
pub struct GossipOptions {
    pub gossip: Gossip,
    pub zones: nickelgw_zones::core::ZoneConfig,
    pub sockets: GossipSockets,
}

pub struct GossipSockets {
    /// Bound already, or later: the process before may have it still.
    pub socket: Option<std::net::UdpSocket>,
    pub listen: String,
}

/// The address is tried again after so long.
const BIND_S: f64 = 0.1;

/// Until dropped, or until the node listens no more: who takes over tells the others from then on. `new`: something was met,
/// here or by another node, that is looked at without waiting for the round.
pub async fn run(
    sockets: GossipSockets,
    accord: Rc<RefCell<Gossip>>,
    to_core: Sender<TimedEvent>,
    clock: Clock,
    closing: Receiver<()>,
    (new, heard): (Sender<()>, Receiver<()>),
    whole: Rc<Cell<bool>>,
) {
    let mut socket = sockets.socket;
    while socket.is_none() {
        socket = std::net::UdpSocket::bind(&sockets.listen).ok();
        if socket.is_none() {
            Timer::after(seconds(BIND_S)).await;
        }
    }
    let bound = socket.and_then(|s| smol::Async::<std::net::UdpSocket>::try_from(s).ok());
    let Some(socket) = bound.map(UdpSocket::from) else { return };
    let (tell, told) = bounded(1);
    let round_s = accord.borrow().round_s();
    let carry = nickelgw_gossip::run(socket, accord.clone(), clock.0, told, new);
    let rounds = async {
        loop {
            let others = accord.borrow().zone_peers(clock.now());
            let (to, told) = bounded(1);
            if to_core.send(TimedEvent::new(Event::ZoneRound { others, to })).await.is_err() {
                return;
            }
            if let Ok(round) = told.recv().await {
                whole.set(round.all_zones_active);
                accord.borrow_mut().publish(clock.now(), round.reports, round.urgent);
                if round.urgent {
                    let _ = tell.try_send(());
                }
            }
            // What others have just met is looked at without waiting for the round, but not at every datagram.
            Timer::after(seconds(round_s / 4.0)).await;
            let next = async {
                Timer::after(seconds(round_s * 0.75)).await;
            };
            let news = async {
                let _ = heard.recv().await;
            };
            futures_lite::future::or(news, next).await;
        }
    };
    let closed = async {
        let _ = closing.recv().await;
    };
    futures_lite::future::or(closed, futures_lite::future::or(carry, rounds)).await;
}
