//! The platform's protocol without I/O: message heads and bodies, load reports, the endpoint list, and what each
//! response of an engine means.

pub mod chunked;
pub mod discovery_timing;
pub mod endpoint_list;
pub mod engine;
pub mod event_stream;
pub mod log_limiter;
pub mod request;

/// Names of the platform's headers, all lower case, and paths under which engines are called.
pub mod names {
    /// The request's id, the same in all attempts.
    pub const REQUEST_ID: &str = "x-call-id";
    /// The class, by which the request's route is found.
    pub const CLASS: &str = "x-call-class";
    /// The tenant.
    pub const TENANT: &str = "x-caller";
    /// Requests with the same value share a prefix, most likely.
    pub const SESSION: &str = "x-route-hash";
    /// The time within which a first token is worth anything.
    pub const TIMEOUT: &str = "x-budget-ms";
    /// Lengths of the prompt and its prefix, in tokens.
    pub const REQUEST_INFO: &str = "x-call-info";
    /// Set by a client that repeats a request.
    pub const RETRY: &str = "x-again";
    /// An engine's load report.
    pub const LOAD_REPORT: &str = "x-load-report";
    /// Set by an engine that has not begun with the request.
    pub const REJECTED: &str = "x-rejected";
    /// Reservations are released under this path, followed by the request's id.
    pub const RESERVATIONS_PATH: &str = "/internal/reservations/";
}

/// Longest body, of a request and of a piece of a response.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Longest list of discovery: as many engines as are kept, with long names.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Longest message head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of one message.
pub const MAX_HEADERS: usize = 64;

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// Not stated: a request has no body, a response's ends with its connection.
    Unspecified,
}

/// Bytes that violate the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The head does not parse.
    #[error("a head that cannot be read")]
    Head,
    /// The head states no usable length, or more than one.
    #[error("a head with two lengths, or one that is none")]
    Length,
    /// A chunk's size does not parse, or does not match its data.
    #[error("a chunk that cannot be read or does not fit")]
    Chunk,
    /// A limit of this module is exceeded.
    #[error("longer than allowed")]
    TooLong,
    /// The body is not a stream of server-sent events.
    #[error("not a stream of events")]
    Events,
}

/// The framing that a head's headers state. A second length could hide another message in the body, so it is an error.
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

/// The framing that one header states; none if it is not about framing.
fn framing_of_header(header: &httparse::Header) -> Result<Option<Framing>, MalformedMessage> {
    if header.name.eq_ignore_ascii_case("content-length") {
        let digits = std::str::from_utf8(header.value).ok().map(str::trim);
        let digits = digits.filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
        // More digits than fit are a length too, and over every limit.
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

/// Length of a head as it was parsed; none until all of it has arrived.
fn head_length(parsed: httparse::Result<usize>, received: usize) -> Result<Option<usize>, MalformedMessage> {
    match parsed {
        Err(_) => Err(MalformedMessage::Head),
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received > MAX_HEAD_BYTES => Err(MalformedMessage::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
    }
}

/// Whether the headers state that the connection closes after this message.
fn closes_connection(headers: &[httparse::Header]) -> bool {
    let mut connection = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    connection.any(|header| header.value.to_ascii_lowercase().windows(5).any(|window| window == b"close"))
}

#[cfg(test)]
mod tests;
