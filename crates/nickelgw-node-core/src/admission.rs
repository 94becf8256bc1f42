//! Admission of requests by who sends them and what they ask for: model name to model route, bearer token to tenant, limits of
//! size. No I/O.

use nickelgw_protocol::chat::{ApiError, ChatRequest};

/// Characters of an unknown model's name that an error repeats.
const MAX_ECHOED_NAME: usize = 64;

/// A model route as clients name it.
#[derive(Clone, Debug)]
pub struct Model {
    /// The name that requests give.
    pub name: String,
    /// Longest that a client waits for its first token: the constant part.
    pub timeout_s: f64,
    /// And the part for each prompt token.
    pub timeout_per_token_s: f64,
    /// Longest that a client waits for an answer that it does not stream.
    pub unary_timeout_s: f64,
    /// A repeated request may run again.
    pub is_idempotent: bool,
}

/// A tenant and its API key.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name in the settings.
    pub name: String,
    /// Its bearer token.
    pub key: String,
}

/// A request that may be given to the core.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// By which engines know the request in all its attempts; none: each attempt has a name of its own.
    pub name: Option<String>,
    /// Number of the model route.
    pub route: usize,
    /// Number of the tenant.
    pub tenant: Option<usize>,
    /// When its last byte arrived at this machine, by the node's clock; none: as it is accepted.
    pub arrived_at: Option<f64>,
    /// Longest that its client waits for the first token, from its arrival.
    pub timeout_s: f64,
    /// For a client that does not stream: longest that it waits for the whole answer.
    pub unary_timeout_s: Option<f64>,
    /// Estimated length of the prompt.
    pub prompt_tokens: f64,
    /// Estimated length of the shared beginning.
    pub prefix_tokens: f64,
    /// Requests of one session share their beginnings.
    pub session: String,
    /// Name of the shared beginning.
    pub prefix: Option<String>,
    /// Offline work: it takes only capacity that others leave.
    pub is_background: bool,
}

/// Why a request is not accepted. The messages are those that clients read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RejectReason {
    /// The limit of open requests is reached.
    #[error("as many requests are open as this node takes")]
    NodeFull,
    /// The tenant's limit of open requests is reached.
    #[error("as many requests of this tenant are open as it may have")]
    TenantFull,
    /// There is not enough for all, and the tenant has its share.
    #[error("there is not enough for all now, and this tenant has its part")]
    OverFairShare,
    /// The node shuts down.
    #[error("this node is stopping; another one takes it")]
    ShuttingDown,
    /// The queue to the core is full.
    #[error("this node is behind with its work")]
    QueueFull,
    /// The request itself is at fault.
    #[error("{}", .0.message)]
    Invalid(ApiError),
}

impl RejectReason {
    /// The error that the client gets.
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

/// Who may send what.
pub struct Admission {
    /// Model routes, in the order of their numbers.
    pub models: Vec<Model>,
    /// Tenants, in the order of their numbers; none: everybody is admitted.
    pub tenants: Vec<Tenant>,
    /// Longest prompt that is admitted.
    pub max_prompt_tokens: f64,
}

/// Compares in a time that does not depend on where the first difference lies.
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
    /// The tenant whose bearer token it is; none where no tenants are configured.
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

    /// Admits a chat request, or gives the reason why not. `client_timeout_s`: how long the client itself says that it waits,
    /// which only shortens the route's timeout.
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
