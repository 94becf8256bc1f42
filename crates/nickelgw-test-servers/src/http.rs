//! HTTP helpers of the test servers, based on hyper.

use crate::tls::TlsEndpoint;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use serde_json::Value;
use smol::{Async, LocalExecutor, Timer};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Path of the calls with which tests control a server.
pub(crate) const CONTROL_PATH: &str = "/control";
/// Size limit of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Response of a test server.
pub(crate) type HttpResponse = Response<BoxBody<Bytes, Infallible>>;

/// Error returned when a connection is to be closed without a response.
#[derive(Debug)]
pub(crate) struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("connection closed")
    }
}

impl std::error::Error for ConnectionClosed {}

/// Creates a response with a complete body.
pub(crate) fn response(status: u16, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let builder = Response::builder().status(status).header("content-type", content_type);
    builder.body(Full::new(body.into()).boxed()).unwrap_or_default()
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: u16, body: Value) -> HttpResponse {
    response(status, "application/json", body.to_string())
}

/// Creates an error response in the format of the OpenAI API.
pub(crate) fn error_response(status: u16, code: &str) -> HttpResponse {
    let error = serde_json::json!({"message": code, "type": "server_error", "param": null, "code": code});
    json_response(status, serde_json::json!({ "error": error }))
}

/// Reads the whole body of a request. Fails if the body is larger than [`MAX_BODY_BYTES`] or the connection
/// ends.
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, ConnectionClosed> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    Ok(body.collect().await.map_err(|_| ConnectionClosed)?.to_bytes())
}

/// Returns the text of a header, or an empty text if the header is missing.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Creates a streamed body from the frames of a channel.
pub(crate) fn channel_body(frames: async_channel::Receiver<Frame<Bytes>>) -> BoxBody<Bytes, Infallible> {
    ChannelBody { frames: Box::pin(frames) }.boxed()
}

/// Streamed body whose frames come from a channel.
struct ChannelBody {
    frames: Pin<Box<async_channel::Receiver<Frame<Bytes>>>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        use futures_lite::Stream;
        self.frames.as_mut().poll_next(context).map(|frame| frame.map(Ok))
    }
}

/// Accepts and serves connections until the future is dropped.
pub(crate) async fn serve<F, R>(
    listener: TcpListener,
    tls: Option<Rc<TlsEndpoint>>,
    handle: Rc<F>,
) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Result<HttpResponse, ConnectionClosed>> + 'static,
{
    let listener = Async::new(listener)?;
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY).await;
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            executor.spawn(serve_connection(stream, tls.clone(), handle.clone())).detach();
        }
    };
    executor.run(accept).await
}

async fn serve_connection<F, R>(stream: Async<TcpStream>, tls: Option<Rc<TlsEndpoint>>, handle: Rc<F>)
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Result<HttpResponse, ConnectionClosed>> + 'static,
{
    let Some(tls) = tls else { return serve_http(stream, move |request| handle(request)).await };
    if !TlsEndpoint::is_client_hello(&stream).await {
        return serve_http(stream, move |request| handle_control_only(handle.clone(), request)).await;
    }
    if let Some(stream) = tls.accept(stream).await {
        serve_http(stream, move |request| handle(request)).await;
    }
}

/// Handles a plain-text request to a TLS server. Only control calls are accepted, as they come from the test
/// itself.
async fn handle_control_only<F, R>(
    handle: Rc<F>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionClosed>
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<HttpResponse, ConnectionClosed>>,
{
    if request.uri().path() == CONTROL_PATH {
        handle(request).await
    } else {
        Err(ConnectionClosed)
    }
}

async fn serve_http<S, F, R>(stream: S, handle: F)
where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Result<HttpResponse, ConnectionClosed>>,
{
    let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service_fn(handle));
    let _ = connection.await;
}
