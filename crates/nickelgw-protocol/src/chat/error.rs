//! Error responses in the format of the OpenAI API.

use crate::Malformed;
use bytes::Bytes;
use serde_json::{json, Value};

/// Error response of the chat API.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    /// HTTP status code.
    pub status: u16,
    /// Value of the field `type`.
    pub kind: &'static str,
    /// Value of the field `code`.
    pub code: &'static str,
    /// Field of the request that is not valid. `None` if the error is not about one field.
    pub param: Option<&'static str>,
    /// Human-readable message.
    pub message: String,
    /// Seconds after which the client may retry. `None` if the response has no `retry-after` header.
    pub retry_after_s: Option<f64>,
}

impl ApiError {
    /// Creates an error that is not about one field and has no retry-after time.
    pub fn new(status: u16, kind: &'static str, code: &'static str, message: impl Into<String>) -> Self {
        ApiError { status, kind, code, param: None, message: message.into(), retry_after_s: None }
    }

    /// Sets the retry-after time.
    pub fn with_retry_after(mut self, retry_after_s: f64) -> Self {
        self.retry_after_s = Some(retry_after_s);
        self
    }

    /// Creates the response to a request that could not be decoded.
    pub fn invalid_request(malformed: &Malformed) -> Self {
        let mut error = ApiError::new(400, "invalid_request_error", "invalid_request", malformed.to_string());
        if let Malformed::Field { field, .. } = malformed {
            error.param = Some(field);
        }
        error
    }

    /// Returns the response body.
    pub fn body(&self) -> Bytes {
        let error =
            json!({"message": self.message, "type": self.kind, "param": self.param, "code": self.code});
        Bytes::from(json!({ "error": error }).to_string())
    }

    /// Returns the value of the `retry-after` header in whole seconds. It is never zero, which would mean an
    /// immediate retry.
    pub fn retry_after_header(&self) -> Option<String> {
        self.retry_after_s.map(|seconds| format!("{}", seconds.ceil().max(1.0)))
    }
}

/// Returns the error code of a response body. `None` if the body does not have the format of an OpenAI error.
pub fn error_code(bytes: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(bytes).ok()?;
    body["error"]["code"].as_str().map(str::to_string)
}
