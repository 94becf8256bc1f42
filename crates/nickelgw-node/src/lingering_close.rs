//! Closing a connection so that its last response arrives: the system resets one that is closed over unread bytes, and the
//! response may be lost with it.

use crate::clock::within;
use smol::io::AsyncReadExt;
use smol::Async;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};

/// Bytes of one read.
const READ_BYTES: usize = 8 * 1024;

/// Ends the sending direction, then reads and discards what still comes: until the peer closes, for so long and so many bytes
/// at most.
pub async fn close_lingering(mut stream: &Async<TcpStream>, linger_s: f64, max_bytes: usize) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let discard = async {
        let (mut buffer, mut discarded) = ([0; READ_BYTES], 0);
        while discarded < max_bytes {
            match stream.read(&mut buffer).await {
                Ok(length) if length > 0 => discarded += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    };
    within(linger_s, discard).await;
}
