//! The endpoint list on disk, from which a node serves until its source responds.

use nickelgw_protocol::list::EndpointList;
use std::fs::File;
use std::io::Write;
use std::path::Path;

/// The list as it was last written; a missing or corrupt file is as none.
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

/// Writes to a file beside it, then renames that: a crash leaves the old list or the new one.
pub fn store(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(temporary, path)
}
