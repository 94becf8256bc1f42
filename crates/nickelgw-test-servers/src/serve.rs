//! The stand-ins' own HTTP: small helpers over hyper.

use crate::tls::Tls;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::{HeaderMap, Request, Response};
use smol::{Async, LocalExecutor};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

pub type Answer = Response<BoxBody<Bytes, Infallible>>;
/// No answer: the connection is closed.
#[derive(Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("cut")
    }
}
impl std::error::Error for Cut {}

pub fn answer(status: u16, kind: &str, body: impl Into<Bytes>) -> Answer {
    let b = Response::builder().status(status).header("content-type", kind);
    b.body(Full::new(body.into()).boxed()).unwrap_or_default()
}

pub fn json(status: u16, body: serde_json::Value) -> Answer {
    answer(status, "application/json", body.to_string())
}

pub fn error(status: u16, code: &str) -> Answer {
    let error = serde_json::json!({"message": code, "type": "server_error", "param": null, "code": code});
    json(status, serde_json::json!({ "error": error }))
}

pub async fn body(request: Request<Incoming>) -> Result<Bytes, Cut> {
    Ok(Limited::new(request.into_body(), 64 << 20).collect().await.map_err(|_| Cut)?.to_bytes())
}

/// Serves each connection until it ends or the future is dropped.
pub async fn serve<F, R>(listener: TcpListener, tls: Option<Rc<Tls>>, handle: Rc<F>) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Result<Answer, Cut>> + 'static,
{
    let listener = Async::new(listener)?;
    let ex = LocalExecutor::new();
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(std::time::Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let (handle, tls) = (handle.clone(), tls.clone());
            ex.spawn(async move {
                let served = handle.clone();
                let service = hyper::service::service_fn(move |r| served(r));
                let http = hyper::server::conn::http1::Builder::new();
                match tls {
                    None => drop(http.serve_connection(FuturesIo::new(stream), service).await),
                    // Control calls come in the clear: they are the test's, not the outside world's.
                    Some(_) if !Tls::is_hello(&stream).await => {
                        let service = hyper::service::service_fn(move |r: Request<Incoming>| {
                            let allowed = r.uri().path() == "/control";
                            let handle = handle.clone();
                            async move {
                                if allowed {
                                    handle(r).await
                                } else {
                                    Err(Cut)
                                }
                            }
                        });
                        let _ = http.serve_connection(FuturesIo::new(stream), service).await;
                    }
                    Some(tls) => {
                        if let Some(s) = tls.accept(stream).await {
                            let _ = http.serve_connection(FuturesIo::new(s), service).await;
                        }
                    }
                }
            })
            .detach();
        }
    };
    ex.run(accept).await
}

/// A streamed body: frames from a channel.
pub struct Streamed {
    pub from: Pin<Box<async_channel::Receiver<Frame<Bytes>>>>,
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        use futures_lite::Stream;
        self.from.as_mut().poll_next(cx).map(|f| f.map(Ok))
    }
}

pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}
