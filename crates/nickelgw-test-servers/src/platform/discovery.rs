//! Discovery service that announces changes of its list of engines.

use super::http::{read_message, response};
use super::lock;
use futures_lite::AsyncWriteExt;
use serde_json::{json, Value};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between checks for a newer list.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Discovery service that runs until the process ends.
#[derive(Clone)]
pub struct Discovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    list: Arc<Mutex<Value>>,
}

impl Discovery {
    /// Starts a service on a free port. `list` has the fields `generation` and `instances`.
    pub async fn start(list: Value) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = Discovery { address: listener.local_addr()?, list: Arc::new(Mutex::new(list)) };
        smol::spawn(discovery.clone().accept(listener)).detach();
        Ok(discovery)
    }

    /// Returns the list that is currently announced.
    pub fn list(&self) -> Value {
        lock(&self.list).clone()
    }

    /// Changes the instances of the list and announces the change with a new generation.
    pub fn announce(&self, change: impl FnOnce(&mut Vec<Value>)) {
        let mut list = lock(&self.list);
        if let Some(instances) = list["instances"].as_array_mut() {
            change(instances);
        }
        list["generation"] = (generation(&list) + 1).into();
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                smol::spawn(self.clone().serve(stream)).detach();
            }
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer).await {
            let body = match parameter(request.path(), "since=") {
                None => self.list(),
                Some(since) => {
                    let timeout_ms = parameter(request.path(), "timeout_ms=").unwrap_or(0);
                    self.wait_for_change(since, Duration::from_millis(timeout_ms)).await
                }
            };
            let bytes = response("200 OK", "", &body.to_string());
            if stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the list is newer than generation `since` and returns it. After the timeout, returns a
    /// list without changes.
    async fn wait_for_change(&self, since: u64, timeout: Duration) -> Value {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let list = self.list();
            if generation(&list) > since {
                return list;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        json!({"generation": since, "reset": false, "instances": []})
    }
}

fn generation(list: &Value) -> u64 {
    list["generation"].as_u64().unwrap_or(0)
}

/// Returns the number in a query parameter of a path.
fn parameter(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse().ok())
}
