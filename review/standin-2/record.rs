//! The record of a run: one line for each event, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { started_at: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:8.3} {text}");
    }
}
