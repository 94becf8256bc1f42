//! A client's request: its head, and the checks before admission.

use super::{closes_connection, framing, head_length, names, Framing, MalformedMessage, MAX_HEADERS};
use nickelgw_node_core::AdmittedRequest;

/// Path of chat requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of readiness probes.
pub const READINESS_PATH: &str = "/healthz";
/// Maximum length of a request's id.
const MAX_ID_BYTES: usize = 64;
/// Maximum number of digits of a number in a header.
const MAX_DIGITS: usize = 9;
/// Headers that are not forwarded: they apply to a single connection (RFC 9110, 7.6.1), or each attempt sets
/// its own.
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

/// Values of the platform's headers; each header may occur only once.
#[derive(Clone, Debug, Default, PartialEq)]
struct PlatformHeaders {
    id: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    session: Option<String>,
    timeout: Option<String>,
    info: Option<String>,
    /// Set by a client that repeats a request.
    retry: Option<String>,
}

impl PlatformHeaders {
    /// Returns the field for the header with this lower-case name; `None` if it is not a header of the
    /// platform.
    fn slot(&mut self, name: &str) -> Option<&mut Option<String>> {
        Some(match name {
            names::REQUEST_ID => &mut self.id,
            names::CLASS => &mut self.class,
            names::TENANT => &mut self.tenant,
            names::SESSION => &mut self.session,
            names::TIMEOUT => &mut self.timeout,
            names::REQUEST_INFO => &mut self.info,
            names::RETRY => &mut self.retry,
            // The header with the idempotency key of a deduplicated class is named by each deployment: it is
            // forwarded like any other header.
            _ => return None,
        })
    }
}

/// Head of a request, as far as it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection closes after the response.
    pub closes_connection: bool,
    /// Header lines that are forwarded to engines unchanged, including those of headers that this node does
    /// not use.
    pub forwarded_headers: Vec<u8>,
    platform: PlatformHeaders,
}

/// Parses the head at the start of `bytes` and returns it with its length; `None` until all of it has
/// arrived.
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
        forwarded_headers: Vec::with_capacity(length),
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
        // A platform header that occurs twice has no unambiguous value.
        if slot.replace(value.to_string()).is_some() {
            return Err(MalformedMessage::Head);
        }
        if name != names::TIMEOUT {
            append_header_line(&mut self.forwarded_headers, header);
        }
        Ok(())
    }
}

/// Returns whether a `Connection` header lists this header as one that applies only to the connection.
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

/// Names of routes and tenants; the position of a name is the index by which the core refers to it.
pub struct KnownNames {
    /// Names of the classes, each of which has its own route.
    pub routes: Vec<String>,
    /// Names of the tenants; if there are none, any tenant is accepted.
    pub tenants: Vec<String>,
}

/// Reason why a request is refused before admission; its text is part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The id header is missing.
    #[error("a request without an id")]
    MissingId,
    /// The id is empty, too long, or has characters that would change the path of a release call.
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
    /// The timeout is not a number.
    #[error("a budget that is no number")]
    InvalidTimeout,
    /// A length in tokens is not a number, or exceeds the body's length in bytes.
    #[error("a length that cannot be")]
    InvalidLength,
    /// The prefix is longer than the prompt.
    #[error("a beginning longer than its prompt")]
    PrefixLongerThanPrompt,
    /// The body is not JSON.
    #[error("a body that is not JSON")]
    InvalidBody,
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit())
}

impl RequestHead {
    /// Returns the id, even if it is invalid; `None` if the request has no id.
    pub fn id(&self) -> Option<&str> {
        self.platform.id.as_deref()
    }

    /// Returns whether the client asks for the rest of a stream that broke.
    pub fn is_resumption(&self) -> bool {
        self.platform.retry.as_deref() == Some("again")
    }

    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Checks the request with this head and body, and returns it in the form in which it is admitted.
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

    /// Adds the prefix and the lengths of prompt and prefix, which the request info header states.
    fn add_info(&self, request: &mut AdmittedRequest, body_bytes: usize) -> Result<(), RequestError> {
        let max_tokens = body_bytes as f64;
        let tokens = |text: &str| {
            // No text has more tokens than characters; a larger length would distort the learned estimates.
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
