//! A client's request: what its head asks for, and what is refused at the door.

use super::{closes, framing, head_length, names, Framing, Spoilt, MOST_HEADERS};
use nickelgw_node_core::AdmittedRequest;

pub const CHAT: &str = "/v1/chat/completions";
pub const READY: &str = "/healthz";
const LONGEST_ID: usize = 64;
/// Headers that are about one connection (RFC 9110, 7.6.1), or that a send has of its own.
const NOT_PASSED: [&str; 13] = [
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

/// A request's head, as far as it is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    pub framing: Framing,
    pub close: bool,
    /// Header lines that engines are passed as they came, whether they mean anything here or not.
    pub passed: Vec<u8>,
    id: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    session: Option<String>,
    budget: Option<String>,
    info: Option<String>,
    /// A client's own word that it asks again.
    again: Option<String>,
}

/// Takes a head off the front of the bytes, with its length; none until it is whole.
pub fn head(bytes: &[u8]) -> Result<Option<(Head, usize)>, Spoilt> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut r = httparse::Request::new(&mut headers);
    let Some(n) = head_length(r.parse(bytes), bytes.len())? else { return Ok(None) };
    let (Some(method), Some(target), Some(version)) = (r.method, r.path, r.version) else {
        return Err(Spoilt::Head);
    };
    let mut h = Head {
        method: method.to_string(),
        target: target.to_string(),
        framing: framing(r.headers)?,
        close: version == 0 || closes(r.headers),
        passed: Vec::new(),
        id: None,
        class: None,
        tenant: None,
        session: None,
        budget: None,
        info: None,
        again: None,
    };
    let of_connection = |name: &str| {
        let options = r.headers.iter().filter(|h| h.name.eq_ignore_ascii_case("connection"));
        let mut options = options.flat_map(|h| h.value.split(|b| *b == b','));
        options.any(|o| o.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    for header in r.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let slot = match name.as_str() {
            names::ID => &mut h.id,
            names::CLASS => &mut h.class,
            names::TENANT => &mut h.tenant,
            names::SESSION => &mut h.session,
            names::BUDGET => &mut h.budget,
            names::INFO => &mut h.info,
            names::AGAIN => &mut h.again,
            // Where classes are deduped a request has its key in a header that the page of this deployment names.
            _ => {
                if !NOT_PASSED.contains(&name.as_str()) && !of_connection(&name) {
                    pass(&mut h.passed, header);
                }
                continue;
            }
        };
        let value = std::str::from_utf8(header.value).map_err(|_| Spoilt::Head)?.trim();
        // Twice told is not told.
        if slot.replace(value.to_string()).is_some() {
            return Err(Spoilt::Head);
        }
        if name != names::BUDGET {
            pass(&mut h.passed, header);
        }
    }
    Ok(Some((h, n)))
}

fn pass(lines: &mut Vec<u8>, header: &httparse::Header) {
    for part in [header.name.as_bytes(), b": ", header.value, b"\r\n"] {
        lines.extend_from_slice(part);
    }
}

/// Names that requests go by.
pub struct Names {
    pub routes: Vec<String>,
    pub tenants: Vec<String>,
}

/// What of a request cannot be used, for its answer.
pub type Unusable = &'static str;

impl Head {
    /// Asks for the rest of a stream that broke.
    pub fn is_rest(&self) -> bool {
        self.again.as_deref() == Some("again")
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// What is asked for, by a body of this length.
    pub fn ask(&self, names: &Names, body: &[u8]) -> Result<AdmittedRequest, Unusable> {
        let id = self.id.as_deref().ok_or("a request without an id")?;
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if id.is_empty() || id.len() > LONGEST_ID || !id.bytes().all(plain) {
            return Err("an id that is none");
        }
        let class = self.class.as_deref().ok_or("a request without a class")?;
        let route = names.routes.iter().position(|r| r == class).ok_or("a class that is not known")?;
        let tenant = match &self.tenant {
            Some(t) if !names.tenants.is_empty() => {
                Some(names.tenants.iter().position(|n| n == t).ok_or("a caller that is not known")?)
            }
            _ => None,
        };
        let budget = self.budget.as_deref().ok_or("a request without a budget")?;
        let whole = budget.len() <= 9 && !budget.is_empty() && budget.bytes().all(|b| b.is_ascii_digit());
        let budget: f64 = budget.parse().ok().filter(|_| whole).ok_or("a budget that is no number")?;
        let mut ask = AdmittedRequest {
            name: Some(id.to_string()),
            route,
            tenant,
            timeout_s: budget / 1e3,
            unary_timeout_s: None,
            prompt_tokens: 0.0,
            prefix_tokens: 0.0,
            session: self.session.clone().unwrap_or_default(),
            prefix: None,
            is_background: false,
        };
        let most = body.len() as f64;
        let tokens = |v: &str| {
            let digits = !v.is_empty() && v.len() <= 9 && v.bytes().all(|b| b.is_ascii_digit());
            // No text has more tokens than characters; a length beyond that would spoil what is learnt.
            v.parse::<f64>().ok().filter(|t| digits && *t <= most).ok_or("a length that cannot be")
        };
        for field in self.info.as_deref().unwrap_or_default().split(',') {
            match field.trim().split_once('=') {
                Some(("prefix", v)) if !v.is_empty() => ask.prefix = Some(v.to_string()),
                Some(("prompt_len", v)) => ask.prompt_tokens = tokens(v)?,
                Some(("prefix_len", v)) => ask.prefix_tokens = tokens(v)?,
                _ => {}
            }
        }
        if ask.prefix_tokens > ask.prompt_tokens {
            return Err("a beginning longer than its prompt");
        }
        if serde_json::from_slice::<serde::de::IgnoredAny>(body).is_err() {
            return Err("a body that is not JSON");
        }
        Ok(ask)
    }
}
