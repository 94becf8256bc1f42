//! Closes a connection so that its last response arrives. The system resets a connection that is closed while
//! received bytes are unread, and the response may be lost with it.

use crate::clock::within;
use smol::Async;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, TcpStream};

/// Size of the buffer that discarded bytes are read into.
const READ_BYTES: usize = 8 * 1024;

/// Shuts down the sending direction, then reads and discards what the peer still sends, until the peer
/// closes, `linger_s` seconds have passed, or `max_bytes` bytes were discarded.
pub async fn close_lingering(stream: &Async<TcpStream>, linger_s: f64, max_bytes: usize) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let discard = async {
        let mut discarded = 0;
        while discarded < max_bytes {
            match stream.read_with(discard_available).await {
                Ok(length) if length > 0 => discarded += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    };
    within(linger_s, discard).await;
}

/// Reads and discards bytes that have arrived. The buffer is on the stack: in the future it would be part of
/// each connection's task for as long as the connection is open.
fn discard_available(mut stream: &TcpStream) -> io::Result<usize> {
    stream.read(&mut [0; READ_BYTES])
}
