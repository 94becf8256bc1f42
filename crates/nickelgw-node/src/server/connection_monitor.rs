//! Observes a client's connection: when the bytes read from it had arrived, and whether the client has
//! stopped reading its response, in which case the data buffered for it would be held forever.

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

/// Interval of the checks for a stalled client, as a fraction of the stall timeout, and its lower limit in
/// seconds.
const CHECK_INTERVAL_FRACTION: f64 = 0.25;
const MIN_CHECK_INTERVAL_S: f64 = 0.01;

/// Observations of one connection.
#[derive(Clone)]
pub(super) struct ConnectionMonitor {
    /// Time since which writes have been blocked; `None` if they are not.
    blocked_since: Rc<Cell<Option<Instant>>>,
    arrivals: Rc<RefCell<ArrivalTimes>>,
}

impl ConnectionMonitor {
    /// Creates the monitor of a connection on which nothing had arrived by `empty_at`.
    pub fn new(empty_at: Instant) -> ConnectionMonitor {
        let arrivals = Rc::new(RefCell::new(ArrivalTimes::new(empty_at)));
        ConnectionMonitor { blocked_since: Rc::default(), arrivals }
    }

    /// Returns when the last byte that was read had arrived at this machine.
    pub fn last_arrival(&self) -> Instant {
        self.arrivals.borrow_mut().arrival_before(0)
    }

    /// Wraps the connection so that its reads and writes are observed.
    pub fn watch<S>(&self, inner: S) -> WatchedStream<S> {
        WatchedStream { inner, monitor: self.clone() }
    }

    /// Completes once writes have been blocked for `timeout_s` seconds.
    pub async fn stalled_for(&self, timeout_s: f64) {
        loop {
            Timer::after(seconds((timeout_s * CHECK_INTERVAL_FRACTION).max(MIN_CHECK_INTERVAL_S))).await;
            let blocked_since = self.blocked_since.get();
            if blocked_since.is_some_and(|since| since.elapsed() >= seconds(timeout_s)) {
                return;
            }
        }
    }

    fn observe_write<T>(&self, write: &Poll<T>) {
        let blocked_since = match write {
            Poll::Pending => self.blocked_since.get().or(Some(Instant::now())),
            Poll::Ready(_) => None,
        };
        self.blocked_since.set(blocked_since);
    }
}

/// A client's connection whose reads and writes are observed.
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
        self.monitor.observe_write(&write);
        write
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
