//! Reads fields of JSON objects. An error states in one sentence what is wrong with a field.

use serde_json::Value;

/// Error returned when a configuration or a message cannot be used; states in one sentence what is wrong.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct ConfigError(pub String);

impl ConfigError {
    /// Creates the error for a field that is missing or is not what is expected. The error names the object
    /// by its `kind` field.
    pub fn field(object: &Value, field: &str, expected: &str) -> ConfigError {
        let kind = object.get("kind").and_then(Value::as_str).unwrap_or("entry");
        ConfigError(format!("{kind}: field {field} is not {expected}"))
    }
}

/// Returns a number that must be present.
pub fn number(object: &Value, field: &str) -> Result<f64, ConfigError> {
    object.get(field).and_then(Value::as_f64).ok_or_else(|| ConfigError::field(object, field, "a number"))
}

/// Returns a number, or the default if the field is absent.
pub fn number_or(object: &Value, field: &str, default: f64) -> Result<f64, ConfigError> {
    object.get(field).map_or(Ok(default), |_| number(object, field))
}

/// Returns a whole number that must be present.
pub fn integer(object: &Value, field: &str) -> Result<u64, ConfigError> {
    let value = object.get(field).and_then(Value::as_u64);
    value.ok_or_else(|| ConfigError::field(object, field, "a whole number"))
}

/// Returns a text that must be present.
pub fn text<'a>(object: &'a Value, field: &str) -> Result<&'a str, ConfigError> {
    object.get(field).and_then(Value::as_str).ok_or_else(|| ConfigError::field(object, field, "text"))
}

/// Returns a flag; `false` if the field is absent.
pub fn flag(object: &Value, field: &str) -> Result<bool, ConfigError> {
    let error = || ConfigError::field(object, field, "true or false");
    object.get(field).map_or(Ok(false), |value| value.as_bool().ok_or_else(error))
}

/// Returns a list; empty if the field is absent.
pub fn list<'a>(object: &'a Value, field: &str) -> Result<&'a [Value], ConfigError> {
    let error = || ConfigError::field(object, field, "a list");
    match object.get(field) {
        None => Ok(&[]),
        Some(value) => value.as_array().map(Vec::as_slice).ok_or_else(error),
    }
}

/// Returns a list of names; empty if the field is absent.
pub fn names(object: &Value, field: &str) -> Result<Vec<String>, ConfigError> {
    let name = |value: &Value| value.as_str().map(str::to_string);
    let names = list(object, field)?.iter().map(name).collect::<Option<Vec<_>>>();
    names.ok_or_else(|| ConfigError::field(object, field, "a list of names"))
}
