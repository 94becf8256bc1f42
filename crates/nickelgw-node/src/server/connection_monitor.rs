//! Detects clients that read nothing of their response: what is buffered for them would be held for ever.

use crate::clock::seconds;
use smol::io::{self, AsyncRead, AsyncWrite};
use smol::Timer;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Part of the stall timeout after which it is checked, and the shortest such interval.
const CHECK_SHARE: f64 = 0.25;
const MIN_CHECK_S: f64 = 0.01;

/// Since when writes to a connection are blocked.
#[derive(Clone, Default)]
pub(super) struct StallMonitor {
    blocked_since: Rc<Cell<Option<Instant>>>,
}

impl StallMonitor {
    /// The connection, with its writes observed.
    pub fn watch<S>(&self, inner: S) -> WatchedStream<S> {
        WatchedStream { inner, monitor: self.clone() }
    }

    /// Ends once writes have been blocked for so long.
    pub async fn stalled_for(&self, timeout_s: f64) {
        loop {
            Timer::after(seconds((timeout_s * CHECK_SHARE).max(MIN_CHECK_S))).await;
            let blocked_since = self.blocked_since.get();
            if blocked_since.is_some_and(|since| since.elapsed() >= seconds(timeout_s)) {
                return;
            }
        }
    }

    fn observe<T>(&self, write: &Poll<T>) {
        let blocked_since = match write {
            Poll::Pending => self.blocked_since.get().or(Some(Instant::now())),
            Poll::Ready(_) => None,
        };
        self.blocked_since.set(blocked_since);
    }
}

/// A client's connection whose writes are observed.
pub(super) struct WatchedStream<S> {
    inner: S,
    monitor: StallMonitor,
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.monitor.observe(&write);
        write
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
