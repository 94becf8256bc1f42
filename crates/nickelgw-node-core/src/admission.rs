//! What is let in: model name to model route, bearer token to tenant, limits of size. No I/O.

use nickelgw_protocol::chat::{ApiError, ChatRequest};

/// A model route as clients name it.
#[derive(Clone, Debug)]
pub struct Model {
    pub name: String,
    /// Longest that a client waits for its first token: a constant part, and one for each prompt token.
    pub timeout_s: f64,
    pub timeout_per_token_s: f64,
    /// Longest that a client waits for an answer that it does not stream.
    pub unary_timeout_s: f64,
    /// Retriable: a repeat may run again.
    pub is_idempotent: bool,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub key: String,
}

/// A request as the module takes it.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// By which engines know the request in all its sends; none: each send has a name of its own.
    pub name: Option<String>,
    pub route: usize,
    pub tenant: Option<usize>,
    pub timeout_s: f64,
    /// For a client that does not stream: when its answer must be whole.
    pub unary_timeout_s: Option<f64>,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub session: String,
    pub prefix: Option<String>,
    /// Offline work: it takes only room that others leave.
    pub is_background: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum RejectReason {
    /// As many inferences are open as may be.
    NodeFull,
    /// As many of the tenant's are open as it may have.
    TenantFull,
    /// There is not enough for all, and the tenant has its part.
    OverFairShare,
    /// The node is on its way out.
    ShuttingDown,
    /// The queue to the core is full: the node is behind.
    QueueFull,
    Invalid(ApiError),
}

impl RejectReason {
    pub fn error(self, come_back_s: f64) -> ApiError {
        let word = match self {
            RejectReason::Invalid(e) => return e,
            RejectReason::TenantFull => {
                let word = "as many requests of this tenant are open as it may have";
                return ApiError::new(429, "rate_limit_error", "too_many_open", word)
                    .with_retry_after(come_back_s);
            }
            RejectReason::OverFairShare => {
                let word = "there is not enough for all now, and this tenant has its part";
                return ApiError::new(429, "rate_limit_error", "fair_share", word)
                    .with_retry_after(come_back_s);
            }
            RejectReason::ShuttingDown => {
                let word = "this node is stopping; another one takes it";
                return ApiError::new(503, "server_error", "node_draining", word)
                    .with_retry_after(come_back_s);
            }
            RejectReason::NodeFull => "as many requests are open as this node takes",
            RejectReason::QueueFull => "this node is behind with its work",
        };
        ApiError::new(503, "server_error", "node_full", word).with_retry_after(come_back_s)
    }
}

pub struct Admission {
    pub models: Vec<Model>,
    pub tenants: Vec<Tenant>,
    pub max_prompt_tokens: f64,
}

/// Equal in time that does not tell where the first difference lies.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y)) == 0
}

impl Admission {
    /// Whose the bearer token is; none where no tenants are named.
    pub fn authenticate(&self, bearer: Option<&str>) -> Result<Option<usize>, RejectReason> {
        match bearer {
            _ if self.tenants.is_empty() => Ok(None),
            None => Err(denied("you must provide an API key as a bearer token")),
            Some(key) => {
                let known = |t: &Tenant| same(t.key.as_bytes(), key.as_bytes());
                let found = self.tenants.iter().position(known);
                found.map(Some).ok_or_else(|| denied("the API key is not known"))
            }
        }
    }

    /// `client_timeout_s`: the client's own word on how long it waits, which only shortens.
    pub fn admit(
        &self,
        chat: &ChatRequest,
        bearer: Option<&str>,
        client_timeout_s: Option<f64>,
    ) -> Result<AdmittedRequest, RejectReason> {
        let tenant = self.authenticate(bearer)?;
        let Some(route) = self.models.iter().position(|m| m.name == chat.model) else {
            let word =
                format!("the model '{}' does not exist", chat.model.chars().take(64).collect::<String>());
            let mut e = ApiError::new(404, "invalid_request_error", "model_not_found", word);
            e.param = Some("model");
            return Err(RejectReason::Invalid(e));
        };
        if chat.prompt_tokens > self.max_prompt_tokens {
            let word = format!(
                "the prompt has about {} tokens, the longest taken is {}",
                chat.prompt_tokens, self.max_prompt_tokens
            );
            let mut e = ApiError::new(400, "invalid_request_error", "context_length_exceeded", word);
            e.param = Some("messages");
            return Err(RejectReason::Invalid(e));
        }
        let m = &self.models[route];
        let timeout = m.timeout_s + m.timeout_per_token_s * chat.prompt_tokens;
        Ok(AdmittedRequest {
            name: None,
            route,
            tenant,
            timeout_s: client_timeout_s.map_or(timeout, |t| t.clamp(0.0, timeout)),
            unary_timeout_s: (!chat.stream).then_some(client_timeout_s.unwrap_or(m.unary_timeout_s)),
            prompt_tokens: chat.prompt_tokens,
            prefix_tokens: chat.prefix_tokens,
            session: chat.session.clone(),
            prefix: chat.prefix.clone(),
            is_background: false,
        })
    }
}

fn denied(word: &str) -> RejectReason {
    RejectReason::Invalid(ApiError::new(401, "invalid_request_error", "invalid_api_key", word))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn door() -> Admission {
        let model = Model {
            name: "chat".into(),
            timeout_s: 5.0,
            timeout_per_token_s: 0.001,
            unary_timeout_s: 9.0,
            is_idempotent: true,
        };
        let tenant = |n: &str, k: &str| Tenant { name: n.into(), key: k.into() };
        Admission {
            models: vec![model],
            tenants: vec![tenant("a", "key-a"), tenant("b", "key-b")],
            max_prompt_tokens: 100.0,
        }
    }

    fn chat(model: &str, text: &str) -> ChatRequest {
        let body = format!(r#"{{"model":"{model}","messages":[{{"role":"user","content":"{text}"}}]}}"#);
        ChatRequest::parse(body.as_bytes()).unwrap()
    }

    #[test]
    fn who_and_what_is_known_comes_in() {
        let ask = door().admit(&chat("chat", "hi"), Some("key-b"), Some(60.0)).unwrap();
        assert_eq!((ask.route, ask.tenant), (0, Some(1)));
        assert!(ask.timeout_s > 5.0 && ask.timeout_s < 5.1, "the client's word only shortens");
        assert_eq!(door().admit(&chat("chat", "hi"), Some("key-a"), Some(1.0)).unwrap().timeout_s, 1.0);
    }

    #[test]
    fn others_are_told_why_not() {
        let status = |r: Result<AdmittedRequest, RejectReason>| r.unwrap_err().error(1.0).status;
        assert_eq!(status(door().admit(&chat("chat", "hi"), None, None)), 401);
        assert_eq!(status(door().admit(&chat("chat", "hi"), Some("key-c"), None)), 401);
        assert_eq!(status(door().admit(&chat("nope", "hi"), Some("key-a"), None)), 404);
        assert_eq!(status(door().admit(&chat("chat", &"x".repeat(500)), Some("key-a"), None)), 400);
        assert_eq!(RejectReason::NodeFull.error(1.5).retry_after_header().as_deref(), Some("2"));
    }
}
