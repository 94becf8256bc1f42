//! Ends on SIGINT and SIGTERM.

use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use smol::Async;
use std::future::Future;
use std::os::unix::net::UnixStream;

/// Ready when one of the signals has come.
pub fn ended() -> std::io::Result<impl Future<Output = std::io::Result<()>>> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGINT, write.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGTERM, write)?;
    let mut read = Async::new(read)?;
    Ok(async move { read.read(&mut [0]).await.map(|_| ()) })
}
