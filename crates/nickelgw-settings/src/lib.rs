//! Settings of a node and of a rehearsal day in protobuf text format: parsing, validation as a whole, and
//! conversion to the router's deployment.

mod day_layout;
mod deployment;
mod error;
mod field_location;
mod text_format;
mod validation;

use std::fmt;
use std::path::Path;

/// Messages of `proto/node.proto` and `proto/day.proto`, generated at build time.
#[allow(clippy::all, clippy::min_ident_chars, missing_docs)]
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/nickelgw.settings.rs"));
}

pub use day_layout::{engine_names, node_zone};
pub use deployment::deployment;
pub use error::SettingsError;
pub use proto::{Day, Node};
pub use validation::{validate_day, validate_node};

/// All errors in a settings file, in the order of its sections.
pub type SettingsErrors = Vec<SettingsError>;

/// Kind of a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsKind {
    /// Settings of a rehearsal day.
    Day,
    /// Settings of a node.
    Node,
}

impl fmt::Display for SettingsKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SettingsKind::Day => "day",
            SettingsKind::Node => "node",
        })
    }
}

/// Reads and validates the settings of a node.
pub fn load_node(path: &Path) -> Result<Node, SettingsErrors> {
    let text = read_file(path)?;
    parse_node(&path.display().to_string(), &text)
}

/// Reads and validates the settings of a day. The base file that they name, if any, is read before them.
pub fn load_day(path: &Path) -> Result<Day, SettingsErrors> {
    let file = path.display().to_string();
    let text = read_file(path)?;
    let day: Day = text_format::parse(&file, &text).map_err(|error| vec![error])?;
    let Some(base) = &day.base else {
        validate_day(&file, &text, &day)?;
        return Ok(day);
    };
    let base = path.with_file_name(base);
    let base_text = read_file(&base)?;
    // Line numbers in errors count from the first line of the base file.
    parse_day(&format!("{} followed by {file}", base.display()), &format!("{base_text}\n{text}"))
}

/// Like [`load_node`], but from text in memory. `file` is the name of the text in errors.
pub fn parse_node(file: &str, text: &str) -> Result<Node, SettingsErrors> {
    let node = text_format::parse(file, text).map_err(|error| vec![error])?;
    validate_node(file, text, &node)?;
    Ok(node)
}

/// Like [`load_day`], but from text in memory and without a base file. `file` is the name of the text in
/// errors.
pub fn parse_day(file: &str, text: &str) -> Result<Day, SettingsErrors> {
    let day = text_format::parse(file, text).map_err(|error| vec![error])?;
    validate_day(file, text, &day)?;
    Ok(day)
}

/// Reads and validates a file with the settings of a node or of a day. A file with a field that only a day
/// has is read as a day.
pub fn load_any(path: &Path) -> Result<SettingsKind, SettingsErrors> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let has_field = |field: &'static str| {
        field_location::line_of(&text, &[field.into()]) > 1 || text.trim_start().starts_with(field)
    };
    if has_field("length_s") || has_field("base") {
        return load_day(path).map(|_| SettingsKind::Day);
    }
    load_node(path).map(|_| SettingsKind::Node)
}

/// Formats a day as text that [`parse_day`] accepts.
pub fn day_to_text(day: &Day) -> String {
    text_format::write(day)
}

/// Formats a node's settings as text that [`parse_node`] accepts.
pub fn node_to_text(node: &Node) -> String {
    text_format::write(node)
}

fn read_file(path: &Path) -> Result<String, SettingsErrors> {
    std::fs::read_to_string(path).map_err(|error| {
        vec![SettingsError::Unreadable { file: path.display().to_string(), reason: error.to_string() }]
    })
}

#[cfg(test)]
mod tests;
