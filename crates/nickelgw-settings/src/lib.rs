//! Settings in protobuf text format: read, checked whole, and turned into the few figures used.

pub mod check;
mod place;

use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::path::Path;

/// The messages of `proto/`.
#[allow(clippy::all)]
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/nickelgw.settings.rs"));
}

pub use proto::{Day, Node};

/// What is wrong with a file, with its place and what is wanted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    #[error("{file}: cannot be read: {why}")]
    File { file: String, why: String },
    #[error("{file}: {why}")]
    Text { file: String, why: String },
    #[error("{file}:{line}: {field}: {what}; wanted: {wanted}")]
    Field { file: String, line: usize, field: String, what: String, wanted: String },
}

const NODE: &str = "nickelgw.settings.Node";
const DAY: &str = "nickelgw.settings.Day";

fn pool() -> Result<DescriptorPool, prost_reflect::DescriptorError> {
    DescriptorPool::decode(&include_bytes!(concat!(env!("OUT_DIR"), "/settings.bin"))[..])
}

/// A day as text that [`day`] reads.
pub fn text_of_day(day: &Day) -> String {
    written(day, DAY)
}

/// A node's settings as text that [`node`] reads.
pub fn text_of(node: &Node) -> String {
    written(node, NODE)
}

fn written(message: &impl Message, name: &str) -> String {
    let found = pool().ok().and_then(|p| p.get_message_by_name(name));
    let m = found.and_then(|d| DynamicMessage::decode(d, &message.encode_to_vec()[..]).ok());
    m.map(|m| m.to_text_format()).unwrap_or_default()
}

fn parse<T: Message + Default>(file: &str, text: &str, name: &str) -> Result<T, Problem> {
    let wrong = |why: String| Problem::Text { file: file.into(), why };
    let found = pool().ok().and_then(|p| p.get_message_by_name(name));
    let found = found.ok_or_else(|| wrong(format!("no message {name} is known")))?;
    let m = DynamicMessage::parse_text_format(found, text).map_err(|e| wrong(explain(text, &e)))?;
    // Required fields that are missing come out as their empty values: the checks name them.
    T::decode(&m.encode_to_vec()[..]).map_err(|e| wrong(e.to_string()))
}

/// The parser's error with its place, as line and column.
fn explain(text: &str, e: &prost_reflect::text_format::ParseError) -> String {
    use miette::Diagnostic;
    let span = e.labels().and_then(|mut l| l.next());
    match span {
        Some(s) => {
            let before = &text[..s.offset().min(text.len())];
            let line = before.matches('\n').count() + 1;
            let column = before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1;
            format!("line {line}, column {column}: {e}")
        }
        None => format!("at the end: {e}"),
    }
}

fn load<T: Message + Default>(path: &Path, name: &str) -> Result<(String, String, T), Problem> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Problem::File { file: file.clone(), why: e.to_string() })?;
    let message = parse(&file, &text, name)?;
    Ok((file, text, message))
}

/// Reads a node's settings; all that is wrong with them is told at once.
pub fn node(path: &Path) -> Result<Node, Vec<Problem>> {
    let (file, text, node) = load::<Node>(path, NODE).map_err(|p| vec![p])?;
    check::Checks::new(&file, &text).node(&node)?;
    Ok(node)
}

pub fn day(path: &Path) -> Result<Day, Vec<Problem>> {
    let (mut file, mut text, mut day) = load::<Day>(path, DAY).map_err(|p| vec![p])?;
    if let Some(base) = day.base.clone() {
        let base = path.with_file_name(base);
        let first = std::fs::read_to_string(&base)
            .map_err(|e| vec![Problem::File { file: base.display().to_string(), why: e.to_string() }])?;
        // Lines count from the base's first one on.
        file = format!("{} and then {file}", base.display());
        text = format!("{first}\n{text}");
        day = parse(&file, &text, DAY).map_err(|p| vec![p])?;
    }
    check::Checks::new(&file, &text).day(&day)?;
    Ok(day)
}

/// As [`node`] and [`day`], from text at hand.
pub fn node_text(file: &str, text: &str) -> Result<Node, Vec<Problem>> {
    let node = parse(file, text, NODE).map_err(|p| vec![p])?;
    check::Checks::new(file, text).node(&node)?;
    Ok(node)
}

pub fn day_text(file: &str, text: &str) -> Result<Day, Vec<Problem>> {
    let day = parse(file, text, DAY).map_err(|p| vec![p])?;
    check::Checks::new(file, text).day(&day)?;
    Ok(day)
}

/// Whether a file is a node's settings or a day's, by its fields.
pub fn any(path: &Path) -> Result<&'static str, Vec<Problem>> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let has = |f: &'static str| place::line_of(&text, &[(f, 0)]) > 1 || text.trim_start().starts_with(f);
    if has("length_s") || has("base") {
        return day(path).map(|_| "day");
    }
    node(path).map(|_| "node")
}

#[cfg(test)]
mod tests;
