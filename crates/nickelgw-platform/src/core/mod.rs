//! The platform's protocol without I/O: heads, bodies, load reports, the list, and what each answer means.

pub mod chunks;
pub mod engine;
pub mod events;
pub mod list;
pub mod request;
pub mod seldom;
pub mod told;

/// Names of the platform's headers, all lower case.
pub mod names {
    pub const ID: &str = "x-call-id";
    pub const CLASS: &str = "x-call-class";
    pub const TENANT: &str = "x-caller";
    pub const SESSION: &str = "x-route-hash";
    pub const BUDGET: &str = "x-budget-ms";
    pub const INFO: &str = "x-call-info";
    pub const AGAIN: &str = "x-again";
    pub const REPORT: &str = "x-load-report";
    pub const REJECTED: &str = "x-rejected";
    /// Held states are let go of under this path, followed by the request's id.
    pub const HELD: &str = "/internal/reservations/";
}

/// Longest body, of a request and of a piece of an answer.
pub const MOST_BODY: usize = 256 * 1024;
/// Longest list of discovery, whole: as many engines as are kept, with long names.
pub const MOST_LIST: usize = 8 * 1024 * 1024;
/// Longest head.
pub const MOST_HEAD: usize = 16 * 1024;
pub const MOST_HEADERS: usize = 64;

/// How a message's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// Neither is said: a request has no body, an answer's ends with its connection.
    Unsaid,
}

/// Bytes that cannot be what they stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    #[error("a head that cannot be read")]
    Head,
    #[error("a head with two lengths, or one that is none")]
    Length,
    #[error("a chunk that cannot be read or does not fit")]
    Chunk,
    #[error("longer than allowed")]
    Long,
    #[error("not a stream of events")]
    Events,
}

/// What the length headers of a head say. A second length could hide another message in the body: none is taken.
pub fn framing(headers: &[httparse::Header]) -> Result<Framing, Spoilt> {
    let mut said = Framing::Unsaid;
    for h in headers {
        let told = if h.name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(h.value).ok().map(str::trim);
            let digits = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
            // More digits than fit are a length too, and over every limit.
            Framing::Length(digits.ok_or(Spoilt::Length)?.parse().unwrap_or(usize::MAX))
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !h.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Spoilt::Length);
            }
            Framing::Chunked
        } else {
            continue;
        };
        if said != Framing::Unsaid {
            return Err(Spoilt::Length);
        }
        said = told;
    }
    Ok(said)
}

/// Length of a head as it was parsed; none until it is whole.
fn head_length(parsed: httparse::Result<usize>, there: usize) -> Result<Option<usize>, Spoilt> {
    match parsed {
        Err(_) => Err(Spoilt::Head),
        Ok(httparse::Status::Complete(n)) => Ok(Some(n)),
        Ok(httparse::Status::Partial) if there > MOST_HEAD => Err(Spoilt::Long),
        Ok(httparse::Status::Partial) => Ok(None),
    }
}

fn closes(headers: &[httparse::Header]) -> bool {
    let close = |h: &&httparse::Header| h.name.eq_ignore_ascii_case("connection");
    headers.iter().filter(close).any(|h| h.value.to_ascii_lowercase().windows(5).any(|w| w == b"close"))
}

#[cfg(test)]
mod tests;
