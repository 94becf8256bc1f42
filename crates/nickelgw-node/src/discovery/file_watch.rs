//! Follows the endpoint list in a file, which is polled for changes.

use super::directory::EndpointDirectory;
use crate::clock::seconds;
use nickelgw_protocol::list::EndpointList;
use smol::Timer;
use std::path::PathBuf;
use std::rc::Rc;

/// Interval at which the file is read.
const POLL_INTERVAL_S: f64 = 0.5;

/// Follows the file until dropped. A corrupt or unreadable file is logged and leaves the endpoints unchanged.
pub async fn follow_file(directory: Rc<EndpointDirectory>, path: PathBuf) {
    let (mut previous_bytes, mut revision) = (Vec::new(), 0);
    loop {
        let path_to_read = path.clone();
        match smol::unblock(move || std::fs::read(path_to_read)).await {
            Ok(bytes) if bytes != previous_bytes => match EndpointList::parse(&bytes) {
                Ok(list) => {
                    revision += 1;
                    previous_bytes = bytes;
                    directory.replace_all(revision, list.engines, false).await;
                }
                Err(error) => tracing::warn!(file = %path.display(), %error, "endpoint file rejected"),
            },
            Ok(_) => {}
            Err(error) => tracing::warn!(file = %path.display(), %error, "endpoint file read failed"),
        }
        Timer::after(seconds(POLL_INTERVAL_S)).await;
    }
}
