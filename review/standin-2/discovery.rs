//! Agent of discovery: answers calls for the whole list at once, and watches as soon as something newer than
//! their version exists.

use crate::http::{response, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// One engine in the list, with the version that changed it last.
#[derive(Clone)]
pub struct Entry {
    pub id: &'static str,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub lifecycle: &'static str,
    pub changed_in: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { id, address, kind, lifecycle, .. } = self;
        format!(
            "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"a\",\"machineType\":\"{kind}\",\
             \"cell\":1,\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
        )
    }
}

/// A version of the list.
#[derive(Clone)]
pub struct List {
    pub generation: u64,
    pub entries: Vec<Entry>,
}

impl List {
    /// Returns the list in discovery's form: the whole one, or what has changed since a version.
    pub fn json(&self, since: Option<u64>) -> String {
        let is_told = |entry: &&Entry| since.is_none_or(|since| entry.changed_in > since);
        let entries: Vec<String> = self.entries.iter().filter(is_told).map(Entry::json).collect();
        format!(
            "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
            self.generation,
            since.is_none(),
            entries.join(",")
        )
    }

    /// Returns the next version, in which the engine drains.
    pub fn with_drain(&self, id: &str) -> List {
        let mut next = self.clone();
        next.generation += 1;
        for entry in next.entries.iter_mut().filter(|entry| entry.id == id) {
            (entry.lifecycle, entry.changed_in) = ("draining", next.generation);
        }
        next
    }
}

struct State {
    list: List,
    /// Whether the agent is silent: it answers no call, also later.
    is_down: bool,
    /// Queue of a crowded agent, which works off one call after another.
    queue: Option<Sender<Sender<()>>>,
}

/// An agent that runs until the process ends.
pub struct Agent {
    name: &'static str,
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    /// Number of answers written.
    pub answers: AtomicUsize,
    /// Time at which the version was first written to the node.
    told: Mutex<Vec<(u64, f64)>>,
}

impl Agent {
    pub fn start(name: &'static str, list: List, record: &Arc<Record>) -> Result<Arc<Agent>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let agent = Arc::new(Agent {
            name,
            address: listener.local_addr().map_err(|error| error.to_string())?,
            state: Mutex::new(State { list, is_down: false, queue: None }),
            changed: Condvar::new(),
            record: record.clone(),
            answers: AtomicUsize::new(0),
            told: Mutex::default(),
        });
        let serving = agent.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                spawn(move || agent.serve(stream));
            }
        });
        Ok(agent)
    }

    pub fn set_list(&self, list: List) {
        self.record.line(&format!("discovery {}: has version {}", self.name, list.generation));
        self.state.lock().unwrap().list = list;
        self.changed.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        self.record.line(&format!("discovery {}: {}", self.name, if is_down { "down" } else { "back" }));
        self.state.lock().unwrap().is_down = is_down;
        self.changed.notify_all();
    }

    /// Makes the agent crowded: it works off one call after another, and each takes this time, also if its caller
    /// has given up.
    pub fn set_crowded(&self, service: Duration) {
        self.record.line(&format!("discovery {}: crowded, {service:?} for each call in turn", self.name));
        let (queue, calls) = channel::<Sender<()>>();
        spawn(move || {
            for done in calls {
                sleep(service);
                let _ = done.send(());
            }
        });
        self.state.lock().unwrap().queue = Some(queue);
    }

    /// Returns when this version was first written to the node.
    pub fn told_at(&self, generation: u64) -> Option<f64> {
        let told = self.told.lock().unwrap();
        told.iter().find(|(version, _)| *version >= generation).map(|(_, at)| *at)
    }

    /// Waits until this version was written to the node.
    pub fn wait_until_told(&self, generation: u64, limit: Duration) -> Result<f64, String> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(at) = self.told_at(generation) {
                return Ok(at);
            }
            if Instant::now() > deadline {
                return Err(format!("discovery {} was not asked for version {generation}", self.name));
            }
            sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head(None) {
            let Some((generation, body)) = self.answer(&head) else { return };
            if reader.stream.write_all(&response("200 OK", "", &body)).is_err() {
                return;
            }
            self.answers.fetch_add(1, Relaxed);
            let mut told = self.told.lock().unwrap();
            if told.last().is_none_or(|(last, _)| *last != generation) {
                told.push((generation, self.record.now()));
                self.record.line(&format!(
                    "discovery {}: wrote version {generation} for {}",
                    self.name,
                    head.target()
                ));
            }
        }
    }

    /// Returns the version and the body of an answer; `None` if the call is never answered.
    fn answer(&self, head: &crate::http::Head) -> Option<(u64, String)> {
        let since = head.parameter("since");
        let wait = Duration::from_millis(head.parameter("timeout_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if let Some(since) = since {
            while state.list.generation <= since && !state.is_down {
                let remaining = deadline.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                state = self.changed.wait_timeout(state, remaining).unwrap().0;
            }
        }
        if state.is_down {
            drop(state);
            // The call stays open and silent; it is not answered after the outage either.
            sleep(Duration::from_secs(60));
            return None;
        }
        let queue = state.queue.clone();
        drop(state);
        if let Some(queue) = queue {
            let (done, finished) = channel();
            let _ = queue.send(done);
            let _ = finished.recv();
        }
        let list = self.state.lock().unwrap().list.clone();
        let since = since.filter(|since| *since <= list.generation);
        Some((list.generation, list.json(since)))
    }
}
