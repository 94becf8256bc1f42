//! Entries of the records and how they are read.

use serde_json::Value;
use std::path::Path;

/// One recorded event. The fields that every entry has are decoded.
#[derive(Clone, Debug)]
pub struct RecordEntry {
    /// Time of the event, in seconds since 1970.
    pub time_s: f64,
    /// Engine, client or other process that recorded it.
    pub source: String,
    /// Name of the event.
    pub event: String,
    /// The whole entry.
    pub fields: Value,
}

impl RecordEntry {
    /// Decodes an entry; none if one of the fields that every entry has is missing.
    pub fn from_json(fields: &Value) -> Option<RecordEntry> {
        let text = |name: &str| fields[name].as_str().map(str::to_string);
        Some(RecordEntry {
            time_s: fields["t"].as_f64()?,
            source: text("who")?,
            event: text("ev")?,
            fields: fields.clone(),
        })
    }

    /// A field with text; empty if it is missing.
    pub fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or("")
    }

    /// A field with a number; zero if it is missing.
    pub fn number(&self, field: &str) -> f64 {
        self.fields[field].as_f64().unwrap_or(0.0)
    }

    /// The texts in a field with a list.
    pub(crate) fn texts(&self, field: &str) -> Vec<&str> {
        self.fields[field].as_array().into_iter().flatten().filter_map(Value::as_str).collect()
    }

    /// Whether a field with a list contains this text.
    pub(crate) fn contains(&self, field: &str, text: &str) -> bool {
        self.fields[field].as_array().is_some_and(|list| list.iter().any(|item| item == text))
    }
}

/// Reads all records of a directory, sorted by time. A line that its process did not finish before it died is skipped.
pub fn read_records(dir: &Path) -> std::io::Result<Vec<RecordEntry>> {
    let mut entries = Vec::new();
    let mut files: Vec<_> = std::fs::read_dir(dir)?.collect::<Result<Vec<_>, _>>()?;
    files.sort_by_key(|file| file.path());
    for file in files.iter().filter(|file| file.path().extension().is_some_and(|kind| kind == "jsonl")) {
        let text = std::fs::read_to_string(file.path())?;
        let decode = |line| RecordEntry::from_json(&serde_json::from_str(line).ok()?);
        entries.extend(text.lines().filter_map(decode));
    }
    sort_by_time(&mut entries);
    Ok(entries)
}

/// Sorts entries by time; entries of one time keep their order.
pub fn sort_by_time(entries: &mut [RecordEntry]) {
    entries.sort_by(|first, second| first.time_s.total_cmp(&second.time_s));
}
