//! HTTP/1.1 client for engines, the endpoint list service and the registry, with pooled connections and
//! optional TLS.

mod call;
mod connect;
mod peer;
mod pool;

pub use call::{read_body, MAX_BODY_BYTES};
pub use connect::Tls;
pub use peer::Peer;
pub use pool::{Connection, Pool};
