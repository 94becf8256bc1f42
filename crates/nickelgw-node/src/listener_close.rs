//! Closing a listening socket. The system resets what waits in the backlog at the close, so nothing may be in it then: a
//! request on a connection that the system has accepted is owed an answer.

use crate::clock::seconds;
use smol::{Async, Timer};
use socket2::{SockFilter, SockRef};
use std::io;
use std::net::TcpListener;

/// Time for handshakes that are under way to complete: a round trip within a region.
const HANDSHAKE_TIME_S: f64 = 0.02;

/// Offset of the flags in a TCP header, and the flag of a segment that opens a connection.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
/// Instructions of classic BPF (linux/bpf_common.h): load a byte of the segment, jump if a bit is set, return a constant.
const BPF_LOAD_BYTE: u16 = 0x30;
const BPF_JUMP_IF_SET: u16 = 0x45;
const BPF_RETURN: u16 = 0x06;
/// What a filter returns: how many bytes of the segment are kept.
const DROP_SEGMENT: u32 = 0;
const KEEP_SEGMENT: u32 = u32::MAX;

/// Lets the system ignore attempts to open a connection. Their clients repeat them after a second, and are refused then.
fn ignore_new_handshakes(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(BPF_JUMP_IF_SET, 0, 1, TCP_SYN),
        SockFilter::new(BPF_RETURN, 0, 0, DROP_SEGMENT),
        SockFilter::new(BPF_RETURN, 0, 0, KEEP_SEGMENT),
    ])
}

/// Closes a listener once nothing waits in its backlog and nothing comes into it. `accept_waiting` accepts until the backlog
/// is empty, and returns as soon as it has seen that.
pub async fn close_listener(listener: Async<TcpListener>, accept_waiting: impl AsyncFn(&TcpListener)) {
    if let Err(error) = ignore_new_handshakes(listener.get_ref()) {
        tracing::debug!(%error, "connections may still be opened while the listener closes");
    }
    accept_waiting(listener.get_ref()).await;
    Timer::after(seconds(HANDSHAKE_TIME_S)).await;
    accept_waiting(listener.get_ref()).await;
}

#[cfg(test)]
mod tests;
