//! Admission of requests, without I/O: maps model names to model routes and bearer tokens to tenants, and
//! limits the prompt length.

use nickelgw_protocol::chat::{ApiError, ChatRequest};

/// Maximum number of characters of an unknown model's name that an error message repeats.
const MAX_ECHOED_NAME: usize = 64;

/// A model route as clients see it.
#[derive(Clone, Debug)]
pub struct Model {
    /// Model name in requests.
    pub name: String,
    /// Timeout of the first token in seconds: the constant part.
    pub timeout_s: f64,
    /// Timeout of the first token in seconds: the part added for each prompt token.
    pub timeout_per_token_s: f64,
    /// Timeout of the whole response in seconds, for clients that do not stream.
    pub unary_timeout_s: f64,
    /// Whether a repeated request may run again.
    pub is_idempotent: bool,
}

/// A tenant and its API key.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Tenant name in the settings.
    pub name: String,
    /// Bearer token of the tenant.
    pub key: String,
}

/// An admitted request, which the core may accept.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Name of the request at engines, common to all its attempts; `None` if each attempt has a name of its
    /// own.
    pub name: Option<String>,
    /// Number of the model route.
    pub route: usize,
    /// Number of the tenant; `None` if no tenants are configured.
    pub tenant: Option<usize>,
    /// When the last byte of the request arrived at this machine, by the node's clock; `None` for the time
    /// when the request is accepted.
    pub arrived_at: Option<f64>,
    /// Timeout of the first token in seconds, from the arrival of the request.
    pub timeout_s: f64,
    /// Timeout of the whole response in seconds, from the arrival of the request; `None` if the client
    /// streams.
    pub unary_timeout_s: Option<f64>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// Estimated length of the prompt's shared prefix, in tokens.
    pub prefix_tokens: f64,
    /// Session of the request; the prompts of one session share a prefix.
    pub session: String,
    /// Name of the shared prefix; `None` if there is none.
    pub prefix: Option<String>,
    /// Whether the request runs in the background and uses only capacity that other requests leave.
    pub is_background: bool,
}

/// Why a request is not accepted. The messages are sent to clients.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RejectReason {
    /// The node's limit of open requests is reached.
    #[error("as many requests are open as this node takes")]
    NodeFull,
    /// The tenant's limit of open requests is reached.
    #[error("as many requests of this tenant are open as it may have")]
    TenantFull,
    /// The node is overloaded, and the tenant has used its fair share.
    #[error("there is not enough for all now, and this tenant has its part")]
    OverFairShare,
    /// The node shuts down.
    #[error("this node is stopping; another one takes it")]
    ShuttingDown,
    /// The queue to the core is full.
    #[error("this node is behind with its work")]
    QueueFull,
    /// The request itself is invalid.
    #[error("{}", .0.message)]
    Invalid(ApiError),
}

impl RejectReason {
    /// Returns the error that the client gets. `retry_after_s`: its Retry-After in seconds.
    pub fn error(self, retry_after_s: f64) -> ApiError {
        let message = self.to_string();
        let error = match self {
            RejectReason::Invalid(error) => return error,
            RejectReason::TenantFull => ApiError::new(429, "rate_limit_error", "too_many_open", message),
            RejectReason::OverFairShare => ApiError::new(429, "rate_limit_error", "fair_share", message),
            RejectReason::ShuttingDown => ApiError::new(503, "server_error", "node_draining", message),
            RejectReason::NodeFull | RejectReason::QueueFull => {
                ApiError::new(503, "server_error", "node_full", message)
            }
        };
        error.with_retry_after(retry_after_s)
    }
}

/// Rules for admitting requests.
pub struct Admission {
    /// Model routes, in the order of their numbers.
    pub models: Vec<Model>,
    /// Tenants, in the order of their numbers; if empty, all clients are admitted.
    pub tenants: Vec<Tenant>,
    /// Length of the longest prompt that is admitted, in tokens.
    pub max_prompt_tokens: f64,
}

/// Compares two strings in a time that does not depend on the position of the first difference.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0, |bits, (x, y)| bits | (x ^ y));
    left.len() == right.len() && difference == 0
}

fn unauthenticated(message: &str) -> RejectReason {
    RejectReason::Invalid(ApiError::new(401, "invalid_request_error", "invalid_api_key", message))
}

fn invalid_parameter(
    status: u16,
    code: &'static str,
    parameter: &'static str,
    message: String,
) -> RejectReason {
    let mut error = ApiError::new(status, "invalid_request_error", code, message);
    error.param = Some(parameter);
    RejectReason::Invalid(error)
}

impl Admission {
    /// Returns the number of the tenant with this bearer token; `None` if no tenants are configured.
    pub fn authenticate(&self, bearer: Option<&str>) -> Result<Option<usize>, RejectReason> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        let Some(token) = bearer else {
            return Err(unauthenticated("you must provide an API key as a bearer token"));
        };
        let has_token = |tenant: &Tenant| constant_time_eq(tenant.key.as_bytes(), token.as_bytes());
        let tenant = self.tenants.iter().position(has_token);
        tenant.map(Some).ok_or_else(|| unauthenticated("the API key is not known"))
    }

    /// Admits a chat request, or returns the reason why it is rejected. `client_timeout_s`: timeout requested
    /// by the client, which can only shorten the route's timeout of the first token.
    pub fn admit(
        &self,
        chat: &ChatRequest,
        bearer: Option<&str>,
        client_timeout_s: Option<f64>,
    ) -> Result<AdmittedRequest, RejectReason> {
        let tenant = self.authenticate(bearer)?;
        let route = self.route_of(chat)?;
        self.check_prompt_length(chat)?;
        let model = &self.models[route];
        let timeout_s = model.timeout_s + model.timeout_per_token_s * chat.prompt_tokens;
        let unary_timeout_s = client_timeout_s.unwrap_or(model.unary_timeout_s);
        Ok(AdmittedRequest {
            name: None,
            route,
            tenant,
            arrived_at: None,
            timeout_s: client_timeout_s.map_or(timeout_s, |client_s| client_s.clamp(0.0, timeout_s)),
            unary_timeout_s: (!chat.stream).then_some(unary_timeout_s),
            prompt_tokens: chat.prompt_tokens,
            prefix_tokens: chat.prefix_tokens,
            session: chat.session.clone(),
            prefix: chat.prefix.clone(),
            is_background: false,
        })
    }

    fn route_of(&self, chat: &ChatRequest) -> Result<usize, RejectReason> {
        self.models.iter().position(|model| model.name == chat.model).ok_or_else(|| {
            let name: String = chat.model.chars().take(MAX_ECHOED_NAME).collect();
            let message = format!("the model '{name}' does not exist");
            invalid_parameter(404, "model_not_found", "model", message)
        })
    }

    fn check_prompt_length(&self, chat: &ChatRequest) -> Result<(), RejectReason> {
        if chat.prompt_tokens > self.max_prompt_tokens {
            let message = format!(
                "the prompt has about {} tokens, the longest taken is {}",
                chat.prompt_tokens, self.max_prompt_tokens
            );
            return Err(invalid_parameter(400, "context_length_exceeded", "messages", message));
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
