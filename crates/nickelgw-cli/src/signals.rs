//! Signals as events: SIGINT and SIGTERM terminate, SIGHUP reloads.

use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use std::future::Future;
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The process is to end.
    Terminate,
    /// The settings are to be read again.
    Reload,
}

/// Receives the process's signals from its construction on.
pub struct SignalListener {
    terminate: Async<UnixStream>,
    reload: Async<UnixStream>,
}

/// A socket that gets a byte at each of these signals.
fn register(signals: &[i32]) -> std::io::Result<Async<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    Async::new(read)
}

/// Waits for a signal's byte. An interrupted call is retried: it must not end the process.
async fn signal_arrives(socket: &mut Async<UnixStream>) -> std::io::Result<()> {
    loop {
        match socket.read(&mut [0]).await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result.map(drop),
        }
    }
}

impl SignalListener {
    pub fn new() -> std::io::Result<SignalListener> {
        Ok(SignalListener { terminate: register(&[SIGINT, SIGTERM])?, reload: register(&[SIGHUP])? })
    }

    pub async fn next(&mut self) -> std::io::Result<Signal> {
        let terminate = async { signal_arrives(&mut self.terminate).await.map(|()| Signal::Terminate) };
        let reload = async { signal_arrives(&mut self.reload).await.map(|()| Signal::Reload) };
        futures_lite::future::or(terminate, reload).await
    }
}

/// Ready when the process is to end; signals count from this call on, not from the first poll.
pub fn terminated() -> std::io::Result<impl Future<Output = std::io::Result<()>>> {
    let mut terminate = register(&[SIGINT, SIGTERM])?;
    Ok(async move { signal_arrives(&mut terminate).await })
}
