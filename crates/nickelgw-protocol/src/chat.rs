//! Chat API: decoding of requests as far as routing needs it, error responses in the format of the OpenAI
//! API, and assembly of unary responses from streamed chunks.

mod chunk;
mod error;
mod prompt;
mod request;
mod unary_response;

#[cfg(test)]
mod tests;

pub use chunk::{Choice, Chunk, Delta, FunctionDelta, ToolCallDelta};
pub use error::{error_code, ApiError};
pub use prompt::estimate_tokens;
pub use request::ChatRequest;
pub use unary_response::UnaryResponse;
