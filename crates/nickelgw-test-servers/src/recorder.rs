//! Records what crosses the sockets, one JSON line for each event, for the audit.

use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970; all processes of a run read the same clock.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64())
}

/// Writes the events of one source; by default it writes nothing.
#[derive(Clone, Default)]
pub struct Recorder {
    sink: Option<Arc<Mutex<Sink>>>,
    source: Arc<str>,
}

/// Where events are written.
enum Sink {
    File(File),
    Memory(Vec<Value>),
}

impl Recorder {
    /// A recorder that appends to a file.
    pub fn file(path: &Path, source: &str) -> std::io::Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder::new(Sink::File(file), source))
    }

    /// A recorder that keeps the events in memory.
    pub fn memory(source: &str) -> Recorder {
        Recorder::new(Sink::Memory(Vec::new()), source)
    }

    fn new(sink: Sink, source: &str) -> Recorder {
        Recorder { sink: Some(Arc::new(Mutex::new(sink))), source: source.into() }
    }

    /// A recorder of another source that writes to the same place.
    pub fn for_source(&self, source: &str) -> Recorder {
        Recorder { sink: self.sink.clone(), source: source.into() }
    }

    /// Writes an event. Each line is written at once and whole, so that a process that dies has recorded all it did.
    pub fn record(&self, event: &str, fields: Value) {
        let Some(mut sink) = self.lock_sink() else { return };
        let mut line = json!({"t": unix_now(), "who": &*self.source, "ev": event});
        if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
            line.extend(fields);
        }
        match &mut *sink {
            Sink::Memory(lines) => lines.push(line),
            Sink::File(file) => {
                let _ = file.write_all(format!("{line}\n").as_bytes());
            }
        }
    }

    /// The events kept in memory.
    pub fn entries(&self) -> Vec<Value> {
        match self.lock_sink().as_deref() {
            Some(Sink::Memory(lines)) => lines.clone(),
            Some(Sink::File(_)) | None => Vec::new(),
        }
    }

    fn lock_sink(&self) -> Option<MutexGuard<'_, Sink>> {
        self.sink.as_ref().map(|sink| sink.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
