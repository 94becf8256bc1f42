//! Cache of the endpoint list on disk, from which a node serves until its endpoint source responds.

use nickelgw_protocol::list::EndpointList;
use std::fs::File;
use std::io::Write;
use std::path::Path;

/// Reads the list that was last written; `None` if there is no cache file or it is unreadable or corrupt.
pub fn load(path: Option<&Path>) -> Option<EndpointList> {
    let bytes = std::fs::read(path?).ok()?;
    match EndpointList::parse(&bytes) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!(%error, "endpoint cache rejected");
            None
        }
    }
}

/// Replaces the cached list. The bytes are written to a temporary file, which is then renamed, so that a
/// crash leaves either the old list or the new one.
pub fn store(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(temporary, path)
}
