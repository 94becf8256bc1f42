//! Signals as events: SIGINT and SIGTERM end, SIGHUP renews.

use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use std::future::Future;
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    End,
    /// A new process with the settings as they are now takes over.
    Renew,
}

pub struct Signals {
    end: Async<UnixStream>,
    renew: Async<UnixStream>,
}

fn pipe(signals: &[i32]) -> std::io::Result<Async<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    for s in signals {
        signal_hook::low_level::pipe::register(*s, write.try_clone()?)?;
    }
    Async::new(read)
}

/// Waits for a signal's byte. A call that fails for a moment is made again: it must not end the process.
async fn arrives(pipe: &mut Async<UnixStream>) -> std::io::Result<()> {
    loop {
        match pipe.read(&mut [0]).await {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done.map(drop),
        }
    }
}

impl Signals {
    pub fn new() -> std::io::Result<Signals> {
        Ok(Signals { end: pipe(&[SIGINT, SIGTERM])?, renew: pipe(&[SIGHUP])? })
    }

    pub async fn next(&mut self) -> std::io::Result<Signal> {
        let end = async { arrives(&mut self.end).await.map(|()| Signal::End) };
        let renew = async { arrives(&mut self.renew).await.map(|()| Signal::Renew) };
        futures_lite::future::or(end, renew).await
    }
}

/// Ready when the process is to end.
pub fn ended() -> std::io::Result<impl Future<Output = std::io::Result<()>>> {
    let mut read = pipe(&[SIGINT, SIGTERM])?;
    Ok(async move { arrives(&mut read).await })
}
