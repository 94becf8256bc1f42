//! Withdraws what was written to a connection and is still in this machine: the system goes on sending it after the
//! connection was closed.

use socket2::SockRef;
use std::io;
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// Lets the system discard what it has not yet delivered when the connection is closed, which resets it. Changes nothing
/// if the peer's machine has all that was written.
pub fn discard_unsent_on_close(stream: &TcpStream) {
    if unacknowledged_bytes(stream).is_ok_and(|bytes| bytes > 0) {
        // If this fails, the connection is closed as any other.
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Returns how many of the written bytes the peer's machine has not acknowledged.
#[allow(unsafe_code)]
fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the pointer refers to `bytes`, which is valid for writes for the whole call, and the descriptor is open
    // while `socket` is borrowed.
    let status = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
    if status != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(bytes).unwrap_or(0))
}
