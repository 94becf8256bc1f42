//! Closes a listening socket. The system resets the connections that wait in the backlog when the socket is
//! closed. It has accepted them, so a request on them has to be answered: the backlog must be empty at the
//! close.

use crate::clock::seconds;
use smol::{Async, Timer};
use socket2::{SockFilter, SockRef};
use std::io;
use std::net::TcpListener;

/// Time in seconds for TCP handshakes in progress to complete: a round trip within a region.
const HANDSHAKE_TIME_S: f64 = 0.02;

/// Offset of the flags in a TCP header, and the flag of a segment that opens a connection.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
/// Instructions of classic BPF (linux/bpf_common.h): load a byte of the segment, jump if a bit is set, return
/// a constant.
const BPF_LOAD_BYTE: u16 = 0x30;
const BPF_JUMP_IF_SET: u16 = 0x45;
const BPF_RETURN: u16 = 0x06;
/// Return values of a filter: the number of bytes of the segment to keep.
const DROP_SEGMENT: u32 = 0;
const KEEP_SEGMENT: u32 = u32::MAX;

/// Makes the system ignore attempts to open a connection. The clients repeat them after a second and are
/// refused then.
fn ignore_new_handshakes(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(BPF_JUMP_IF_SET, 0, 1, TCP_SYN),
        SockFilter::new(BPF_RETURN, 0, 0, DROP_SEGMENT),
        SockFilter::new(BPF_RETURN, 0, 0, KEEP_SEGMENT),
    ])
}

/// Closes a listener once its backlog is empty and no further connections enter it. `accept_waiting` has to
/// accept connections until the backlog is empty, and then return at once.
pub async fn close_listener(listener: Async<TcpListener>, accept_waiting: impl AsyncFn(&TcpListener)) {
    if let Err(error) = ignore_new_handshakes(listener.get_ref()) {
        tracing::debug!(%error, "socket filter not attached; closing the listener may reset connections");
    }
    accept_waiting(listener.get_ref()).await;
    Timer::after(seconds(HANDSHAKE_TIME_S)).await;
    accept_waiting(listener.get_ref()).await;
}

#[cfg(test)]
mod tests;
