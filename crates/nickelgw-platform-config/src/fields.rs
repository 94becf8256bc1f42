//! Fields of JSON objects, and what is wrong with them in one sentence.

use serde_json::Value;

/// Input that cannot be understood, in one sentence.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl ConfigError {
    pub fn field(line: &Value, field: &str, wanted: &str) -> ConfigError {
        let kind = line.get("kind").and_then(Value::as_str).unwrap_or("entry");
        ConfigError(format!("{kind}: field {field} is not {wanted}"))
    }
}

pub fn number(line: &Value, field: &str) -> Result<f64, ConfigError> {
    line.get(field).and_then(Value::as_f64).ok_or_else(|| ConfigError::field(line, field, "a number"))
}

pub fn number_or(line: &Value, field: &str, absent: f64) -> Result<f64, ConfigError> {
    line.get(field).map_or(Ok(absent), |_| number(line, field))
}

pub fn integer(line: &Value, field: &str) -> Result<u64, ConfigError> {
    line.get(field).and_then(Value::as_u64).ok_or_else(|| ConfigError::field(line, field, "a whole number"))
}

pub fn text<'a>(line: &'a Value, field: &str) -> Result<&'a str, ConfigError> {
    line.get(field).and_then(Value::as_str).ok_or_else(|| ConfigError::field(line, field, "text"))
}

pub fn flag(line: &Value, field: &str) -> Result<bool, ConfigError> {
    let wrong = || ConfigError::field(line, field, "true or false");
    line.get(field).map_or(Ok(false), |v| v.as_bool().ok_or_else(wrong))
}

pub fn list<'a>(line: &'a Value, field: &str) -> Result<&'a [Value], ConfigError> {
    match line.get(field) {
        None => Ok(&[]),
        Some(v) => v.as_array().map(Vec::as_slice).ok_or_else(|| ConfigError::field(line, field, "a list")),
    }
}

pub fn names(line: &Value, field: &str) -> Result<Vec<String>, ConfigError> {
    let name = |v: &Value| v.as_str().map(str::to_string);
    let all = list(line, field)?.iter().map(name).collect::<Option<Vec<_>>>();
    all.ok_or_else(|| ConfigError::field(line, field, "a list of names"))
}
