//! HTTP responses of the chat port and the admin port.

use bytes::Bytes;
use futures_lite::{Stream, StreamExt};
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame};
use hyper::header::{HeaderName, HeaderValue, CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use nickelgw_protocol::chat::ApiError;
use std::convert::Infallible;
use std::pin::Pin;

/// Response body, complete or streamed.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>;
/// Response of the chat port or the admin port.
pub type HttpResponse = Response<ResponseBody>;

/// Retry delay in milliseconds. OpenAI's client libraries prefer this header to the coarser `retry-after`.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Builds a response with a JSON body.
pub fn json_response(status: u16, body: Bytes) -> HttpResponse {
    let body: ResponseBody = Box::pin(Full::new(body));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds the response for an API error, with its `retry-after` headers.
pub fn error_response(error: &ApiError) -> HttpResponse {
    let mut response = json_response(error.status, error.body());
    if let Some(value) = error.retry_after_header().and_then(|s| HeaderValue::from_str(&s).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    if let Some(s) = error.retry_after_s {
        let milliseconds = format!("{}", (s * 1e3).ceil());
        let value = HeaderValue::from_str(&milliseconds).ok();
        response.headers_mut().extend(value.map(|value| (RETRY_AFTER_MS, value)));
    }
    response
}

/// Builds a response that streams server-sent events, one frame per event.
pub fn event_stream_response(events: impl Stream<Item = Bytes> + 'static) -> HttpResponse {
    let frames = events.map(|event| Ok(Frame::data(event)));
    let body: ResponseBody = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}
