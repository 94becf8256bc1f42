//! A client's request: what its head asks for, and why it is refused before admission.

use super::{closes_connection, framing, head_length, names, Framing, MalformedMessage, MAX_HEADERS};
use nickelgw_node_core::AdmittedRequest;

/// Path of requests to models.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of readiness probes.
pub const READINESS_PATH: &str = "/healthz";
const MAX_ID_BYTES: usize = 64;
/// Digits of the largest number in a header.
const MAX_DIGITS: usize = 9;
/// Headers that are about one connection (RFC 9110, 7.6.1), or that an attempt has of its own.
const NOT_FORWARDED: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
    "content-type",
];

/// Values of the platform's headers; each may stand once.
#[derive(Clone, Debug, Default, PartialEq)]
struct PlatformHeaders {
    id: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    session: Option<String>,
    timeout: Option<String>,
    info: Option<String>,
    /// The client states that it repeats a request.
    retry: Option<String>,
}

impl PlatformHeaders {
    /// Where the value of the header with this lower-case name is stored; none for all others.
    fn slot(&mut self, name: &str) -> Option<&mut Option<String>> {
        Some(match name {
            names::REQUEST_ID => &mut self.id,
            names::CLASS => &mut self.class,
            names::TENANT => &mut self.tenant,
            names::SESSION => &mut self.session,
            names::TIMEOUT => &mut self.timeout,
            names::REQUEST_INFO => &mut self.info,
            names::RETRY => &mut self.retry,
            // Where classes are deduplicated a request has its key in a header that the page of this deployment names.
            _ => return None,
        })
    }
}

/// A request's head, as far as it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// How the body is delimited.
    pub framing: Framing,
    /// The connection closes after the response.
    pub closes_connection: bool,
    /// Header lines that engines receive as they came, whether they mean anything here or not.
    pub forwarded_headers: Vec<u8>,
    platform: PlatformHeaders,
}

/// Parses a head at the front of the bytes, with its length; none until all of it has arrived.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, MalformedMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(length) = head_length(request.parse(bytes), bytes.len())? else { return Ok(None) };
    let (Some(method), Some(target), Some(version)) = (request.method, request.path, request.version) else {
        return Err(MalformedMessage::Head);
    };
    let mut head = RequestHead {
        method: method.to_string(),
        target: target.to_string(),
        framing: framing(request.headers)?,
        closes_connection: version == 0 || closes_connection(request.headers),
        forwarded_headers: Vec::new(),
        platform: PlatformHeaders::default(),
    };
    for header in request.headers.iter() {
        head.add_header(header, request.headers)?;
    }
    Ok(Some((head, length)))
}

impl RequestHead {
    fn add_header(
        &mut self,
        header: &httparse::Header,
        all: &[httparse::Header],
    ) -> Result<(), MalformedMessage> {
        let name = header.name.to_ascii_lowercase();
        let Some(slot) = self.platform.slot(&name) else {
            if !NOT_FORWARDED.contains(&name.as_str()) && !is_connection_option(&name, all) {
                append_header_line(&mut self.forwarded_headers, header);
            }
            return Ok(());
        };
        let value = std::str::from_utf8(header.value).map_err(|_| MalformedMessage::Head)?.trim();
        // A header that stands twice has no value.
        if slot.replace(value.to_string()).is_some() {
            return Err(MalformedMessage::Head);
        }
        if name != names::TIMEOUT {
            append_header_line(&mut self.forwarded_headers, header);
        }
        Ok(())
    }
}

/// Whether a `Connection` header names this header as one of the connection alone.
fn is_connection_option(name: &str, headers: &[httparse::Header]) -> bool {
    let connection = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    let mut options = connection.flat_map(|header| header.value.split(|byte| *byte == b','));
    options.any(|option| option.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
}

fn append_header_line(lines: &mut Vec<u8>, header: &httparse::Header) {
    for part in [header.name.as_bytes(), b": ", header.value, b"\r\n"] {
        lines.extend_from_slice(part);
    }
}

/// Names of routes and tenants, in the order of their numbers.
pub struct KnownNames {
    /// Classes, by which routes are found.
    pub routes: Vec<String>,
    /// Tenants; none: any is accepted.
    pub tenants: Vec<String>,
}

/// Why a request cannot be used; the text is part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The id header is missing.
    #[error("a request without an id")]
    MissingId,
    /// The id is empty, too long, or has characters that would change a path.
    #[error("an id that is none")]
    InvalidId,
    /// The class header is missing.
    #[error("a request without a class")]
    MissingClass,
    /// No route has this class.
    #[error("a class that is not known")]
    UnknownClass,
    /// No tenant has this name.
    #[error("a caller that is not known")]
    UnknownTenant,
    /// The timeout header is missing.
    #[error("a request without a budget")]
    MissingTimeout,
    /// The timeout is no number.
    #[error("a budget that is no number")]
    InvalidTimeout,
    /// A length in tokens is no number, or larger than the body.
    #[error("a length that cannot be")]
    InvalidLength,
    /// The prefix is longer than the prompt.
    #[error("a beginning longer than its prompt")]
    PrefixLongerThanPrompt,
    /// The body is no JSON.
    #[error("a body that is not JSON")]
    InvalidBody,
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit())
}

impl RequestHead {
    /// The id, whether it is valid or not.
    pub fn id(&self) -> Option<&str> {
        self.platform.id.as_deref()
    }

    /// Whether the client asks for the rest of a stream that broke.
    pub fn is_resumption(&self) -> bool {
        self.platform.retry.as_deref() == Some("again")
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The request with this head and body, for admission.
    pub fn to_admitted(&self, known: &KnownNames, body: &[u8]) -> Result<AdmittedRequest, RequestError> {
        let id = self.valid_id()?;
        let class = self.platform.class.as_deref().ok_or(RequestError::MissingClass)?;
        let route = known.routes.iter().position(|name| name == class).ok_or(RequestError::UnknownClass)?;
        let tenant = self.tenant(known)?;
        let timeout_s = self.timeout_s()?;
        let mut request = AdmittedRequest {
            name: Some(id.to_string()),
            route,
            tenant,
            arrived_at: None,
            timeout_s,
            unary_timeout_s: None,
            prompt_tokens: 0.0,
            prefix_tokens: 0.0,
            session: self.platform.session.clone().unwrap_or_default(),
            prefix: None,
            is_background: false,
        };
        self.add_info(&mut request, body.len())?;
        if serde_json::from_slice::<serde::de::IgnoredAny>(body).is_err() {
            return Err(RequestError::InvalidBody);
        }
        Ok(request)
    }

    fn valid_id(&self) -> Result<&str, RequestError> {
        let id = self.platform.id.as_deref().ok_or(RequestError::MissingId)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_allowed) {
            return Err(RequestError::InvalidId);
        }
        Ok(id)
    }

    fn tenant(&self, known: &KnownNames) -> Result<Option<usize>, RequestError> {
        match &self.platform.tenant {
            Some(tenant) if !known.tenants.is_empty() => {
                let position = known.tenants.iter().position(|name| name == tenant);
                position.map(Some).ok_or(RequestError::UnknownTenant)
            }
            _ => Ok(None),
        }
    }

    fn timeout_s(&self) -> Result<f64, RequestError> {
        let text = self.platform.timeout.as_deref().ok_or(RequestError::MissingTimeout)?;
        let timeout_ms: Option<f64> = text.parse().ok().filter(|_| is_number(text));
        Ok(timeout_ms.ok_or(RequestError::InvalidTimeout)? / 1e3)
    }

    /// Reads the prefix and the lengths of prompt and prefix.
    fn add_info(&self, request: &mut AdmittedRequest, body_bytes: usize) -> Result<(), RequestError> {
        let max_tokens = body_bytes as f64;
        let tokens = |text: &str| {
            // No text has more tokens than characters; a larger length would distort what is learnt.
            let tokens: Option<f64> = text.parse().ok();
            tokens
                .filter(|tokens| is_number(text) && *tokens <= max_tokens)
                .ok_or(RequestError::InvalidLength)
        };
        for field in self.platform.info.as_deref().unwrap_or_default().split(',') {
            match field.trim().split_once('=') {
                Some(("prefix", value)) if !value.is_empty() => request.prefix = Some(value.to_string()),
                Some(("prompt_len", value)) => request.prompt_tokens = tokens(value)?,
                Some(("prefix_len", value)) => request.prefix_tokens = tokens(value)?,
                _ => {}
            }
        }
        if request.prefix_tokens > request.prompt_tokens {
            return Err(RequestError::PrefixLongerThanPrompt);
        }
        Ok(())
    }
}
