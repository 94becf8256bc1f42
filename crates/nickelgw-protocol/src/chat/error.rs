//! Errors in the shape of the published API.

use crate::Malformed;
use bytes::Bytes;
use serde_json::{json, Value};

/// An error response.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// Value of the field `type`.
    pub kind: &'static str,
    /// Value of the field `code`.
    pub code: &'static str,
    /// Field of the request that is at fault.
    pub param: Option<&'static str>,
    /// Text for people.
    pub message: String,
    /// Seconds after which the client may retry.
    pub retry_after_s: Option<f64>,
}

impl ApiError {
    /// An error without a field at fault and without a time to retry.
    pub fn new(status: u16, kind: &'static str, code: &'static str, message: impl Into<String>) -> Self {
        ApiError { status, kind, code, param: None, message: message.into(), retry_after_s: None }
    }

    /// The error with the seconds after which the client may retry.
    pub fn with_retry_after(mut self, retry_after_s: f64) -> Self {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// The response to a request that could not be decoded.
    pub fn invalid_request(malformed: &Malformed) -> Self {
        let mut error = ApiError::new(400, "invalid_request_error", "invalid_request", malformed.to_string());
        if let Malformed::Field { field, .. } = malformed {
            error.param = Some(field);
        }
        error
    }

    /// The response body.
    pub fn body(&self) -> Bytes {
        let error =
            json!({"message": self.message, "type": self.kind, "param": self.param, "code": self.code});
        Bytes::from(json!({ "error": error }).to_string())
    }

    /// Value of the `retry-after` header: whole seconds, and never zero, which would mean an immediate retry.
    pub fn retry_after_header(&self) -> Option<String> {
        self.retry_after_s.map(|seconds| format!("{}", seconds.ceil().max(1.0)))
    }
}

/// The code of an error body, if it has OpenAI's shape.
pub fn error_code(bytes: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(bytes).ok()?;
    body["error"]["code"].as_str().map(str::to_string)
}
