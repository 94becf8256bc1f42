//! The HTTP/1.1 client towards engines, the endpoint list and the registry: pooled connections, in TLS where set.

mod call;
mod connect;
mod peer;
mod pool;

pub use call::{read_body, MAX_BODY_BYTES};
pub use connect::Tls;
pub use peer::Peer;
pub use pool::{Connection, Pool};
