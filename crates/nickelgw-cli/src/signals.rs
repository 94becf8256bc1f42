//! Process signals as asynchronous events: SIGINT and SIGTERM request termination, SIGHUP a reload.

use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Async;
use std::future::Future;
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;

/// Request that a signal makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// End the process.
    Terminate,
    /// Read the settings again.
    Reload,
}

/// Receives the signals sent to this process since the listener was created.
pub struct SignalListener {
    terminate: Async<UnixStream>,
    reload: Async<UnixStream>,
}

/// Returns a socket that receives one byte for each of the given signals.
fn register(signals: &[i32]) -> std::io::Result<Async<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    Async::new(read)
}

/// Waits for a signal's byte. An interrupted read is retried, because its error would end the process.
async fn wait_for_signal(socket: &mut Async<UnixStream>) -> std::io::Result<()> {
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
        let terminate = async { wait_for_signal(&mut self.terminate).await.map(|()| Signal::Terminate) };
        let reload = async { wait_for_signal(&mut self.reload).await.map(|()| Signal::Reload) };
        futures_lite::future::or(terminate, reload).await
    }
}

/// Returns a future that completes on SIGINT or SIGTERM. Signals count from this call on, not from the first
/// poll.
pub fn terminated() -> std::io::Result<impl Future<Output = std::io::Result<()>>> {
    let mut terminate = register(&[SIGINT, SIGTERM])?;
    Ok(async move { wait_for_signal(&mut terminate).await })
}
