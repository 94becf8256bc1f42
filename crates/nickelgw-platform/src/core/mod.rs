//! The platform's protocol without I/O: message heads and bodies, load reports, the endpoint list, and how
//! each response of an engine is interpreted.

pub mod chunked;
pub mod client_memory;
pub mod connection_room;
pub mod discovery_calls;
pub mod discovery_timing;
pub mod endpoint_list;
pub mod engine;
pub mod event_stream;
pub mod late_calls;
pub mod log_limiter;
pub mod request;
pub mod response_time;
pub mod stream_completeness;
pub mod used_ids;

/// Names of the platform's headers, all in lower case, and paths of calls to engines.
pub mod names {
    /// Id of the request, the same in all of its attempts.
    pub const REQUEST_ID: &str = "x-call-id";
    /// Class of the request, which selects its route.
    pub const CLASS: &str = "x-call-class";
    /// Tenant that sends the request.
    pub const TENANT: &str = "x-caller";
    /// Session of the request: requests with the same value most likely share a prompt prefix.
    pub const SESSION: &str = "x-route-hash";
    /// The client's timeout in milliseconds: a first token that comes later is worthless to it.
    pub const TIMEOUT: &str = "x-budget-ms";
    /// Prefix of the prompt, and the lengths of the prompt and the prefix in tokens.
    pub const REQUEST_INFO: &str = "x-call-info";
    /// Set by a client that repeats a request.
    pub const RETRY: &str = "x-again";
    /// Load report of an engine.
    pub const LOAD_REPORT: &str = "x-load-report";
    /// Set by an engine that rejects a request which it has not begun to process.
    pub const REJECTED: &str = "x-rejected";
    /// Path under which reservations are released; the request's id follows it.
    pub const RESERVATIONS_PATH: &str = "/internal/reservations/";
}

/// Maximum size of the body of a request or of a response that is not a stream, and of one chunk or event of
/// a stream.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum size of an endpoint list from discovery: room for as many engines as are kept, with long names.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a message head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of one message.
pub const MAX_HEADERS: usize = 64;

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Length of the body in bytes.
    Length(usize),
    /// The chunked transfer coding.
    Chunked,
    /// Not stated: a request has no body, and a response's body ends when its connection closes.
    Unspecified,
}

/// Error returned when received bytes violate the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The head cannot be parsed.
    #[error("message head cannot be parsed")]
    Head,
    /// The head states an invalid body length, an unsupported transfer coding, or more than one of either.
    #[error("message head states an invalid body length or transfer coding, or more than one")]
    Length,
    /// A chunk's size or the trailers cannot be parsed, or a chunk's size does not match its data.
    #[error("chunk size or trailers cannot be parsed, or chunk size does not match the data")]
    Chunk,
    /// The message exceeds a size limit.
    #[error("message exceeds a size limit")]
    TooLong,
    /// The body is not a stream of server-sent events.
    #[error("response body is not a stream of server-sent events")]
    Events,
    /// The body ended before the events made a whole answer.
    #[error("stream ended before its final event")]
    Incomplete,
    /// The response is not of the kind that answers the request.
    #[error("response is not of the kind that answers the request")]
    Kind,
}

/// Returns the framing that a head's headers state. A second length could hide another message in the body
/// (request smuggling), so it is an error.
pub fn framing(headers: &[httparse::Header]) -> Result<Framing, MalformedMessage> {
    let mut stated = Framing::Unspecified;
    for header in headers {
        let Some(framing) = framing_of_header(header)? else { continue };
        if stated != Framing::Unspecified {
            return Err(MalformedMessage::Length);
        }
        stated = framing;
    }
    Ok(stated)
}

/// Returns the framing that one header states; `None` if the header is not about framing.
fn framing_of_header(header: &httparse::Header) -> Result<Option<Framing>, MalformedMessage> {
    if header.name.eq_ignore_ascii_case("content-length") {
        let digits = std::str::from_utf8(header.value).ok().map(str::trim);
        let digits = digits.filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
        // A length too large for `usize` is a valid one, and exceeds every limit.
        let length = digits.ok_or(MalformedMessage::Length)?.parse().unwrap_or(usize::MAX);
        return Ok(Some(Framing::Length(length)));
    }
    if header.name.eq_ignore_ascii_case("transfer-encoding") {
        if !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err(MalformedMessage::Length);
        }
        return Ok(Some(Framing::Chunked));
    }
    Ok(None)
}

/// Returns the length of a parsed head; `None` until all of it has arrived.
fn head_length(parsed: httparse::Result<usize>, received: usize) -> Result<Option<usize>, MalformedMessage> {
    match parsed {
        Err(_) => Err(MalformedMessage::Head),
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received > MAX_HEAD_BYTES => Err(MalformedMessage::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
    }
}

/// Returns whether the headers state that the connection closes after this message.
fn closes_connection(headers: &[httparse::Header]) -> bool {
    let mut connection = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    connection.any(|header| header.value.to_ascii_lowercase().windows(5).any(|window| window == b"close"))
}

#[cfg(test)]
mod agent_behind_tests;
#[cfg(test)]
mod tests;
