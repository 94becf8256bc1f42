//! Recording of what crosses the sockets, as one JSON line for each event. The audit reads these records.

use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time, in seconds since 1970. All processes of a run read the same clock.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64())
}

/// Recorder of the events of one source. The default recorder discards them.
#[derive(Clone, Default)]
pub struct Recorder {
    sink: Option<Arc<Mutex<Sink>>>,
    source: Arc<str>,
}

/// Destination of the events.
enum Sink {
    File(File),
    Memory(Vec<Value>),
}

impl Recorder {
    /// Creates a recorder that appends to a file.
    pub fn file(path: &Path, source: &str) -> std::io::Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder::new(Sink::File(file), source))
    }

    /// Creates a recorder that keeps the events in memory.
    pub fn memory(source: &str) -> Recorder {
        Recorder::new(Sink::Memory(Vec::new()), source)
    }

    fn new(sink: Sink, source: &str) -> Recorder {
        Recorder { sink: Some(Arc::new(Mutex::new(sink))), source: source.into() }
    }

    /// Returns a recorder of another source with the same destination.
    pub fn for_source(&self, source: &str) -> Recorder {
        Recorder { sink: self.sink.clone(), source: source.into() }
    }

    /// Writes an event. Each line is written immediately and with one call, so that the records are complete
    /// up to the moment at which a process dies.
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

    /// Returns the events kept in memory. Empty for a recorder that writes to a file or discards events.
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
