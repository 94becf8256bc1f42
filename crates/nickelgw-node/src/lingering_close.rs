//! Closes a connection so that its last response arrives. The system resets a connection that is closed while
//! received bytes are unread, and the response may be lost with it.

use crate::clock::within;
use smol::io::AsyncReadExt;
use smol::Async;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};

/// Size of the buffer that discarded bytes are read into.
const READ_BYTES: usize = 8 * 1024;

/// Shuts down the sending direction, then reads and discards what the peer still sends, until the peer
/// closes, `linger_s` seconds have passed, or `max_bytes` bytes were discarded.
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
