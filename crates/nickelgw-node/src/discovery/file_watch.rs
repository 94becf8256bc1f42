//! The endpoint list in a file, polled.

use super::directory::EndpointDirectory;
use crate::clock::seconds;
use nickelgw_protocol::list::EndpointList;
use smol::Timer;
use std::path::PathBuf;
use std::rc::Rc;

/// How often the file is read.
const POLL_S: f64 = 0.5;

/// Follows the file until dropped; a corrupt one changes nothing.
pub async fn follow_file(directory: Rc<EndpointDirectory>, path: PathBuf) {
    let (mut previous, mut revision) = (Vec::new(), 0);
    loop {
        let path_to_read = path.clone();
        match smol::unblock(move || std::fs::read(path_to_read)).await {
            Ok(bytes) if bytes != previous => match EndpointList::parse(&bytes) {
                Ok(list) => {
                    revision += 1;
                    previous = bytes;
                    directory.replace_all(revision, list.engines, false).await;
                }
                Err(error) => tracing::warn!(file = %path.display(), %error, "endpoint file rejected"),
            },
            Ok(_) => {}
            Err(error) => tracing::warn!(file = %path.display(), %error, "endpoint file read failed"),
        }
        Timer::after(seconds(POLL_S)).await;
    }
}
