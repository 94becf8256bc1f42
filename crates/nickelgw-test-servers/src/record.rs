//! What crossed the sockets, a JSON line an event, for the auditor.

use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since 1970; every process of a rehearsal reads the same clock.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64())
}

#[derive(Clone, Default)]
pub struct Record {
    to: Option<Arc<Mutex<To>>>,
    who: Arc<str>,
}

enum To {
    File(File),
    Memory(Vec<Value>),
}

impl Record {
    pub fn file(path: &Path, who: &str) -> std::io::Result<Record> {
        let f = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Record { to: Some(Arc::new(Mutex::new(To::File(f)))), who: who.into() })
    }

    pub fn memory(who: &str) -> Record {
        Record { to: Some(Arc::new(Mutex::new(To::Memory(Vec::new())))), who: who.into() }
    }

    /// The same record, told by another.
    pub fn of(&self, who: &str) -> Record {
        Record { to: self.to.clone(), who: who.into() }
    }

    /// Each line is written whole and at once: a process that dies has told all that it did.
    pub fn note(&self, event: &str, fields: Value) {
        let Some(to) = &self.to else { return };
        let mut line = json!({"t": unix_now(), "who": &*self.who, "ev": event});
        if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
            line.extend(fields);
        }
        match &mut *to.lock().unwrap_or_else(|e| e.into_inner()) {
            To::Memory(lines) => lines.push(line),
            To::File(f) => {
                let _ = f.write_all(format!("{line}\n").as_bytes());
            }
        }
    }

    pub fn lines(&self) -> Vec<Value> {
        match self.to.as_ref().map(|to| to.lock().unwrap_or_else(|e| e.into_inner())) {
            Some(to) => match &*to {
                To::Memory(lines) => lines.clone(),
                To::File(_) => Vec::new(),
            },
            None => Vec::new(),
        }
    }
}
