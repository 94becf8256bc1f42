//! Fetches of KV states from the prefill engines that hold them.

use super::Engine;
use crate::timing::timeout_s;
use crate::tls::Stream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use nickelgw_protocol::engine::KvTransfer;
use nickelgw_protocol::{ENGINE_ID_HEADER, GRANT_HEADER, ZONE_HEADER};

/// Time after which a fetch fails.
const FETCH_TIMEOUT_S: f64 = 2.0;
/// Size of the read buffer.
const BUFFER_BYTES: usize = 64 * 1024;
/// End of the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Head of a response, and the number of bytes of the body that were received with it.
struct ResponseHead {
    text: String,
    body_bytes: usize,
}

impl ResponseHead {
    fn content_length(&self) -> Option<usize> {
        let value = self.text.lines().find_map(|line| line.strip_prefix("content-length:"))?;
        value.trim().parse().ok()
    }

    fn is_ok(&self) -> bool {
        self.text.starts_with("http/1.1 200")
    }
}

impl Engine {
    /// Fetches a KV state and returns its size in bytes. `None` if it could not be fetched.
    pub(super) async fn fetch_state(&self, kv_transfer: &KvTransfer) -> Option<usize> {
        let request = self.fetch_request(kv_transfer)?;
        let fetch = async {
            let mut stream = self.connect(kv_transfer).await?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut buffer = vec![0; BUFFER_BYTES];
            let head = read_head(&mut *stream, &mut buffer).await?;
            let length = head.content_length()?;
            let mut received = head.body_bytes;
            while received < length {
                received += read_some(&mut *stream, &mut buffer).await?;
            }
            head.is_ok().then_some(received)
        };
        timeout_s(FETCH_TIMEOUT_S, fetch).await?
    }

    fn fetch_request(&self, kv_transfer: &KvTransfer) -> Option<String> {
        let host = kv_transfer.remote_host.as_ref()?;
        let name = kv_transfer.remote_request_id.as_ref()?;
        let grant = kv_transfer.remote_grant.as_deref().unwrap_or("");
        let model = self.model.borrow();
        let (zone, id) = (&model.config.zone, &model.config.id);
        Some(format!(
            "GET /v1/states/{name} HTTP/1.1\r\nhost: {host}\r\n{ZONE_HEADER}: {zone}\r\n{ENGINE_ID_HEADER}: {id}\r\n\
             {GRANT_HEADER}: {grant}\r\nconnection: close\r\n\r\n"
        ))
    }

    async fn connect(&self, kv_transfer: &KvTransfer) -> Option<Box<dyn Stream>> {
        let host = kv_transfer.remote_host.as_ref()?;
        match &self.tls {
            None => Some(Box::new(smol::net::TcpStream::connect(host).await.ok()?)),
            Some(tls) => tls.connect(host, kv_transfer.remote_tls_name.as_ref()?).await,
        }
    }
}

async fn read_head(stream: &mut dyn Stream, buffer: &mut [u8]) -> Option<ResponseHead> {
    let mut received = Vec::new();
    loop {
        let length = read_some(stream, buffer).await?;
        received.extend_from_slice(&buffer[..length]);
        let head_end = received.windows(HEAD_END.len()).position(|window| window == HEAD_END);
        if let Some(end) = head_end.map(|begin| begin + HEAD_END.len()) {
            let text = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
            return Some(ResponseHead { text, body_bytes: received.len() - end });
        }
    }
}

/// Reads the next bytes and returns their number. `None` at the end of the stream or after an error.
async fn read_some(stream: &mut dyn Stream, buffer: &mut [u8]) -> Option<usize> {
    stream.read(buffer).await.ok().filter(|&length| length > 0)
}
