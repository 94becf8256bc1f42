//! A relay between any two parties, that a test lets pass, hold up, cut one way only, refuse or repeat what goes over it.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream, UdpSocket};
use smol::Timer;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Pass,
    /// Nothing gets through either way; connections stand, and new ones are taken and say nothing.
    Hold,
    /// What is asked gets through, what is answered does not.
    HoldAnswers,
    /// Connections are closed, new ones too.
    Refuse,
    /// What is asked comes so much later, in seconds.
    Delay(f64),
    /// Datagrams come twice.
    Twice,
    /// Datagrams do not come.
    Drop,
}

/// The handle on a relay: its mode, by sender where datagrams have one of their own, and what came.
#[derive(Clone, Default)]
pub struct Way(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    mode: Mode,
    of: Vec<(SocketAddr, Mode)>,
    connections: usize,
    datagrams: Vec<Vec<u8>>,
}

/// Datagrams kept, to be played again.
const KEPT: usize = 64;
const LOOK: Duration = Duration::from_millis(5);

impl Way {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }

    pub fn set(&self, mode: Mode) {
        self.with(|i| i.mode = mode);
    }

    /// What this sender's datagrams meet, whatever others' do.
    pub fn set_of(&self, sender: SocketAddr, mode: Mode) {
        self.with(|i| {
            i.of.retain(|o| o.0 != sender);
            i.of.push((sender, mode));
        });
    }

    fn mode(&self) -> Mode {
        self.with(|i| i.mode)
    }

    fn mode_of(&self, sender: SocketAddr) -> Mode {
        self.with(|i| i.of.iter().find(|o| o.0 == sender).map_or(i.mode, |o| o.1))
    }

    /// Connections that came.
    pub fn connections(&self) -> usize {
        self.with(|i| i.connections)
    }

    /// The last datagrams that came.
    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        self.with(|i| i.datagrams.clone())
    }
}

/// Relays connections until dropped.
pub async fn tcp(listener: std::net::TcpListener, to: SocketAddr, way: Way) -> std::io::Result<()> {
    let listener = TcpListener::from(smol::Async::new(listener)?);
    let ex = smol::LocalExecutor::new();
    let accept = async {
        loop {
            let (near, _) = listener.accept().await?;
            way.with(|i| i.connections += 1);
            if way.mode() != Mode::Refuse {
                let way = way.clone();
                ex.spawn(async move { drop(connection(near, to, way).await) }).detach();
            }
        }
    };
    ex.run(accept).await
}

async fn connection(near: TcpStream, to: SocketAddr, way: Way) -> std::io::Result<()> {
    let _ = near.set_nodelay(true);
    while way.mode() == Mode::Hold {
        Timer::after(LOOK).await;
    }
    let far = TcpStream::connect(to).await?;
    let _ = far.set_nodelay(true);
    let refused = async {
        while way.mode() != Mode::Refuse {
            Timer::after(LOOK).await;
        }
        Ok(())
    };
    let there = pass(near.clone(), far.clone(), &way, true);
    let back = pass(far, near, &way, false);
    // An end of either way ends both: what an engine drops its client's node hears at once.
    futures_lite::future::or(refused, futures_lite::future::or(there, back)).await
}

async fn pass(mut from: TcpStream, mut to: TcpStream, way: &Way, asks: bool) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let n = from.read(&mut buffer).await?;
        if n == 0 {
            return Ok(());
        }
        if let (Mode::Delay(s), true) = (way.mode(), asks) {
            Timer::after(Duration::from_secs_f64(s)).await;
        }
        let held = |m: Mode| m == Mode::Hold || (m == Mode::HoldAnswers && !asks);
        while held(way.mode()) {
            Timer::after(LOOK).await;
        }
        to.write_all(&buffer[..n]).await?;
    }
}

/// Relays datagrams until dropped.
pub async fn udp(socket: std::net::UdpSocket, to: SocketAddr, way: Way) -> std::io::Result<()> {
    let socket = UdpSocket::from(smol::Async::<std::net::UdpSocket>::try_from(socket)?);
    let mut buffer = [0; 2048];
    let ex = smol::LocalExecutor::new();
    let carry = async {
        loop {
            // A peer that is down says so with an error on the next call.
            let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
            let bytes = buffer[..n].to_vec();
            way.with(|i| {
                i.datagrams.push(bytes.clone());
                let over = i.datagrams.len().saturating_sub(KEPT);
                i.datagrams.drain(..over);
            });
            match way.mode_of(from) {
                Mode::Drop | Mode::Hold | Mode::Refuse => {}
                Mode::Delay(s) => {
                    let socket = socket.clone();
                    ex.spawn(async move {
                        Timer::after(Duration::from_secs_f64(s)).await;
                        let _ = socket.send_to(&bytes, to).await;
                    })
                    .detach();
                }
                mode => {
                    for _ in 0..if mode == Mode::Twice { 2 } else { 1 } {
                        let _ = socket.send_to(&bytes, to).await;
                    }
                }
            }
        }
    };
    ex.run(carry).await
}
