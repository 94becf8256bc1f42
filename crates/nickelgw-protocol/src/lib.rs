//! Codecs of the messages between clients, nodes, engines and the endpoint list service. The package encodes
//! and decodes bytes, without I/O. Every message, field, unit and error is described in
//! docs/engine-protocol.md.

pub mod chat;
pub mod engine;
pub mod list;
pub mod load;
pub mod sse;
pub mod usage;

#[cfg(test)]
mod fuzz_tests;

/// Header with the request's id, chosen by the client or the node. It is the same at every engine that the
/// request reaches.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the id of one attempt, which is also the id of the KV state that a prefill attempt creates.
/// The node chooses it, so that unlike the request id it is never reused.
pub const ATTEMPT_ID_HEADER: &str = "x-send-id";
/// Header with the name of the node that sends the attempt.
pub const NODE_HEADER: &str = "x-node";
/// Header with the zone of the sender.
pub const ZONE_HEADER: &str = "x-zone";
/// Header of a KV state fetch with the id of the decode engine that fetches the state.
pub const ENGINE_ID_HEADER: &str = "x-engine-id";
/// Header of a KV state fetch with the node's grant, which authorizes the decode engine to fetch the state.
pub const GRANT_HEADER: &str = "x-state-grant";
/// Header or trailer with an engine's load report.
pub const LOAD_METRICS_HEADER: &str = "endpoint-load-metrics";
/// Request header that asks for a load report in this format.
pub const LOAD_METRICS_FORMAT_HEADER: &str = "endpoint-load-metrics-format";

/// Error returned when a message cannot be decoded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Malformed {
    /// The bytes are not JSON of the expected shape.
    #[error("not JSON: {0}")]
    Json(String),
    /// A field is missing or has a value that is not allowed.
    #[error("{field}: {reason}")]
    Field {
        /// Name of the field on the wire.
        field: &'static str,
        /// Description of what is wrong with the field.
        reason: String,
    },
    /// The bytes are not a stream of server-sent events.
    #[error("event stream: {0}")]
    Stream(&'static str),
    /// The load report is not valid.
    #[error("load report: {0}")]
    Load(String),
}

impl Malformed {
    /// Creates an error about one field.
    pub fn field(field: &'static str, reason: impl Into<String>) -> Self {
        Malformed::Field { field, reason: reason.into() }
    }
}

impl From<serde_json::Error> for Malformed {
    fn from(error: serde_json::Error) -> Self {
        Malformed::Json(error.to_string())
    }
}
