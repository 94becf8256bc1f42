//! A reader or writer of the platform that works as the protocol says.

use crate::http::{response, Reader};
use crate::record::Record;
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Path prefix of calls that release what is held; the id follows.
const RELEASE_PATH: &str = "/internal/reservations/";
/// Time for which a reader reads, and for which a writer makes its first token.
const WORK: Duration = Duration::from_millis(20);

/// Ids of the requests whose read state is held, at whichever engine.
#[derive(Default)]
pub struct Held(Mutex<HashSet<String>>);

pub struct Engine {
    name: &'static str,
    pub address: SocketAddr,
    is_reader: bool,
    held: Arc<Held>,
    record: Arc<Record>,
    /// Times of the first bytes of the sends, with their ids.
    sends: Mutex<Vec<(f64, String)>>,
}

impl Engine {
    pub fn start(
        name: &'static str,
        is_reader: bool,
        held: &Arc<Held>,
        record: &Arc<Record>,
    ) -> Result<Arc<Engine>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let engine = Arc::new(Engine {
            name,
            address: listener.local_addr().map_err(|error| error.to_string())?,
            is_reader,
            held: held.clone(),
            record: record.clone(),
            sends: Mutex::default(),
        });
        let serving = engine.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Returns the times and ids of the sends after a moment.
    pub fn sends_after(&self, moment: f64) -> Vec<(f64, String)> {
        let sends = self.sends.lock().unwrap();
        sends.iter().filter(|(at, _)| *at > moment).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = Reader::new(stream);
        loop {
            if !reader.wait() {
                return None;
            }
            let first_byte_at = self.record.now();
            let head = reader.head(None)?;
            if let Some(id) = head.target().strip_prefix(RELEASE_PATH) {
                self.held.0.lock().unwrap().remove(id);
                reader.stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                continue;
            }
            if head.first_line().starts_with("GET") {
                reader.stream.write_all(&response("200 OK", "", "util=0.1,queue=0,x0=0.1")).ok()?;
                continue;
            }
            let id = head.header("x-call-id")?.to_string();
            reader.exactly(head.content_length(), None)?;
            self.sends.lock().unwrap().push((first_byte_at, id.clone()));
            self.record.line(&format!("engine {}: send of {id}", self.name));
            sleep(WORK);
            if self.is_reader {
                self.held.0.lock().unwrap().insert(id);
                reader.stream.write_all(&response("202 Accepted", "", r#"{"cached_tokens":0}"#)).ok()?;
            } else {
                // Without a state the writer reads the prompt itself.
                self.held.0.lock().unwrap().remove(&id);
                reader.stream.write_all(&stream_for(&id)).ok()?;
            }
        }
    }
}

/// Returns the events of the stream that a writer makes for a request.
pub fn events_for(id: &str) -> String {
    let event = |content: &str, finish: &str| {
        format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\
             \"finish_reason\":{finish}}}]}}\n\n"
        )
    };
    format!("{}{}data: [DONE]\n\n", event(id, "null"), event("end", "\"stop\""))
}

fn stream_for(id: &str) -> Vec<u8> {
    let mut bytes =
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for event in events_for(id).split_inclusive("\n\n") {
        bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}
