//! Entries of the records, and functions that read them.

use serde_json::Value;
use std::path::Path;

/// Recorded event. The fields that are common to all entries are decoded.
#[derive(Clone, Debug)]
pub struct RecordEntry {
    /// Time of the event, in seconds since 1970.
    pub time_s: f64,
    /// Name of the engine, client or other process that recorded the event.
    pub source: String,
    /// Name of the event.
    pub event: String,
    /// All fields of the entry, including the decoded ones.
    pub fields: Value,
}

impl RecordEntry {
    /// Decodes an entry. `None` if one of the fields that are common to all entries is missing.
    pub fn from_json(fields: &Value) -> Option<RecordEntry> {
        let text = |name: &str| fields[name].as_str().map(str::to_string);
        Some(RecordEntry {
            time_s: fields["t"].as_f64()?,
            source: text("who")?,
            event: text("ev")?,
            fields: fields.clone(),
        })
    }

    /// Returns the value of a text field, or an empty text if the field is missing.
    pub fn text(&self, field: &str) -> &str {
        self.fields[field].as_str().unwrap_or("")
    }

    /// Returns the value of a number field, or zero if the field is missing.
    pub fn number(&self, field: &str) -> f64 {
        self.fields[field].as_f64().unwrap_or(0.0)
    }

    /// Returns the texts in a list field, or none if the field is missing.
    pub(crate) fn texts(&self, field: &str) -> Vec<&str> {
        self.fields[field].as_array().into_iter().flatten().filter_map(Value::as_str).collect()
    }

    /// Returns whether a list field contains `text`.
    pub(crate) fn contains(&self, field: &str, text: &str) -> bool {
        self.fields[field].as_array().is_some_and(|list| list.iter().any(|item| item == text))
    }
}

/// Reads all `.jsonl` files of a directory and returns their entries sorted by time. Lines that cannot be
/// decoded are skipped, because a process that was killed may have left its last line incomplete.
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

/// Sorts entries by time. Entries with the same time keep their order.
pub fn sort_by_time(entries: &mut [RecordEntry]) {
    entries.sort_by(|first, second| first.time_s.total_cmp(&second.time_s));
}
