//! Determines when the bytes that a client sent arrived at this machine. They may wait in the kernel, while
//! their connection is in the listener's backlog or the process is stalled, and in the node's buffers behind
//! an open request.

use std::collections::VecDeque;
use std::mem::{offset_of, size_of, MaybeUninit};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, Instant};

/// Largest number of reads of one connection whose arrival times are kept while their bytes are buffered.
/// Further reads are merged with the last one and get its earlier arrival time.
const MAX_ARRIVALS: usize = 1024;

/// Bytes with the same recorded arrival time, from one read or from several merged reads.
struct Arrival {
    /// Number of bytes of the connection up to and including the last of these.
    end: u64,
    arrived_at: Instant,
}

/// Arrival times of the bytes that were read from one connection.
pub struct ArrivalTimes {
    read_bytes: u64,
    arrivals: VecDeque<Arrival>,
    /// Latest time at which no unread bytes were waiting: bytes that are read later arrived after it.
    empty_at: Instant,
}

impl ArrivalTimes {
    /// Creates the arrival times of a connection on which nothing had arrived by `empty_at`.
    pub fn new(empty_at: Instant) -> ArrivalTimes {
        ArrivalTimes { read_bytes: 0, arrivals: VecDeque::new(), empty_at }
    }

    /// Records a read that began at `read_at` and found nothing.
    pub fn record_empty(&mut self, read_at: Instant) {
        self.empty_at = read_at;
    }

    /// Records a read of this socket that began at `read_at` and returned `bytes` bytes. If the process is
    /// stalled between `read_at` and the query of the socket here, the bytes are taken to be older than they
    /// are, never younger.
    pub fn record_read(&mut self, read_at: Instant, socket: &impl AsFd, bytes: usize) {
        let age = last_received_age(socket).unwrap_or_default();
        self.record(bytes, read_at.checked_sub(age).unwrap_or(read_at));
    }

    fn record(&mut self, bytes: usize, arrived_at: Instant) {
        self.read_bytes += bytes as u64;
        let arrived_at = arrived_at.max(self.empty_at);
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full => last.end = self.read_bytes,
            _ => self.arrivals.push_back(Arrival { end: self.read_bytes, arrived_at }),
        }
    }

    /// Returns when the last byte before the `unused` bytes at the end arrived. The arrival times of earlier
    /// bytes are discarded.
    pub fn arrival_before(&mut self, unused: usize) -> Instant {
        let last_byte = self.read_bytes.saturating_sub(unused as u64);
        while self.arrivals.len() > 1 && self.arrivals.front().is_some_and(|first| first.end < last_byte) {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map_or(self.empty_at, |arrival| arrival.arrived_at)
    }
}

/// Returns how long ago the connection last received data, by the kernel's monotonic clock; `None` if the
/// system does not report it.
#[allow(unsafe_code)]
fn last_received_age(socket: &impl AsFd) -> Option<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointers refer to `info` and `length`, which are valid for writes of the sizes stated for
    // the whole call, and the descriptor is open while `socket` is borrowed.
    let status = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    let field_end = offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    if status != 0 || (length as usize) < field_end {
        return None;
    }
    // SAFETY: the structure consists of integers, for which zero bytes are valid, and the call wrote integers
    // over them.
    let info = unsafe { info.assume_init() };
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

#[cfg(test)]
mod tests;
