//! What crosses the sockets between client, node, engine and engine list. No I/O: bytes in, meaning out.
//! Every message, field, unit and error is in docs/engine-protocol.md.

pub mod chat;
pub mod engine;
pub mod list;
pub mod load;
pub mod sse;

#[cfg(test)]
mod fuzz;

/// The client's or node's name for an inference; the same at every engine that hears of it.
pub const REQUEST_ID: &str = "x-request-id";
/// Names one send, and the state that a read leaves: unlike the request id it is the node's own, so never
/// used twice.
pub const SEND_ID: &str = "x-send-id";
/// Which node sends, and from which zone.
pub const NODE: &str = "x-node";
pub const ZONE: &str = "x-zone";
/// With a fetch: which writer fetches, and the node's word that it may.
pub const ENGINE: &str = "x-engine-id";
pub const GRANT: &str = "x-state-grant";
pub const LOAD: &str = "endpoint-load-metrics";
pub const LOAD_FORMAT: &str = "endpoint-load-metrics-format";

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Malformed {
    #[error("not JSON: {0}")]
    Json(String),
    #[error("{field}: {why}")]
    Field { field: &'static str, why: String },
    #[error("event stream: {0}")]
    Stream(&'static str),
    #[error("load report: {0}")]
    Load(String),
}

impl Malformed {
    pub fn field(field: &'static str, why: impl Into<String>) -> Self {
        Malformed::Field { field, why: why.into() }
    }
}
