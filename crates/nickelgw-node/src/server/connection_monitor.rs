//! Observes a client's connection: when what was read of it had arrived, and whether the client reads nothing of its response,
//! in which case what is buffered for it would be held for ever.

use crate::arrival::ArrivalTimes;
use crate::clock::seconds;
use smol::io::{self, AsyncRead, AsyncWrite};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Part of the stall timeout after which it is checked, and the shortest such interval.
const CHECK_SHARE: f64 = 0.25;
const MIN_CHECK_S: f64 = 0.01;

/// What is observed of one connection.
#[derive(Clone)]
pub(super) struct ConnectionMonitor {
    /// Since when writes are blocked.
    blocked_since: Rc<Cell<Option<Instant>>>,
    arrivals: Rc<RefCell<ArrivalTimes>>,
}

impl ConnectionMonitor {
    /// Of a connection on which nothing had arrived by `empty_at`.
    pub fn new(empty_at: Instant) -> ConnectionMonitor {
        let arrivals = Rc::new(RefCell::new(ArrivalTimes::new(empty_at)));
        ConnectionMonitor { blocked_since: Rc::default(), arrivals }
    }

    /// When the last byte that was read had arrived at this machine.
    pub fn last_arrival(&self) -> Instant {
        self.arrivals.borrow_mut().arrival_before(0)
    }

    /// The connection, with its reads and writes observed.
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

/// A client's connection that is observed.
pub(super) struct WatchedStream<S> {
    inner: S,
    monitor: ConnectionMonitor,
}

impl<S: AsyncRead + AsFd + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read_at = Instant::now();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        let mut arrivals = self.monitor.arrivals.borrow_mut();
        match &read {
            Poll::Ready(Ok(length)) if *length > 0 => arrivals.record_read(read_at, &self.inner, *length),
            Poll::Pending => arrivals.record_empty(read_at),
            Poll::Ready(_) => {}
        }
        read
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
