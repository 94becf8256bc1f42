//! What the nodes of a fleet tell each other: [`core`] decides what goes to whom; here are the socket and the clock.

pub mod core;

use crate::core::record::MAX_DATAGRAM_BYTES;
use crate::core::Gossip;
use async_channel::{Receiver, Sender};
use smol::net::{SocketAddr, UdpSocket};
use smol::Timer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Refused datagrams are logged so often at most.
const LOG_S: f64 = 60.0;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Carries the accord's datagrams until dropped. `began`: the node's time zero; `told`: there may be something to send at
/// once; `heard`: something new has come.
pub async fn run(
    socket: UdpSocket,
    accord: Rc<RefCell<Gossip>>,
    began: Instant,
    told: Receiver<()>,
    heard: Sender<()>,
) {
    let now = || began.elapsed().as_secs_f64();
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut addresses: HashMap<String, SocketAddr> = HashMap::new();
    let mut logged_at = f64::NEG_INFINITY;
    loop {
        let (datagrams, next) = accord.borrow_mut().poll_datagrams(now(), unix_ms());
        for (to, bytes) in datagrams {
            let known = addresses.get(&to).copied();
            // Names are looked up once; one that cannot be is tried again with the next datagram to it.
            let found = match known {
                Some(a) => Some(a),
                None => smol::net::resolve(to.as_str()).await.ok().and_then(|a| a.into_iter().next()),
            };
            let Some(a) = found else { continue };
            if addresses.len() < 8192 {
                addresses.insert(to, a);
            }
            // One that is lost is told again by others.
            let _ = socket.send_to(&bytes, a).await;
        }
        let come = async { Some(socket.recv_from(&mut buffer).await) };
        let due = async {
            Timer::after(Duration::from_secs_f64((next - now()).clamp(0.0, 10.0))).await;
            None
        };
        let told = async {
            let _ = told.recv().await;
            None
        };
        match futures_lite::future::or(come, futures_lite::future::or(told, due)).await {
            Some(Ok((n, from))) => {
                let new = accord.borrow_mut().receive(now(), unix_ms(), &buffer[..n]);
                if new == Ok(true) {
                    let _ = heard.try_send(());
                }
                if let Err(why) = new {
                    if now() >= logged_at + LOG_S {
                        logged_at = now();
                        let refused = accord.borrow().counters.rejected;
                        tracing::warn!(%from, %why, ?refused, "a datagram between nodes was refused");
                    }
                }
            }
            // A peer that is down says so with an error on the next call.
            Some(Err(_)) => drop(Timer::after(Duration::from_millis(1)).await),
            None => {}
        }
    }
}
