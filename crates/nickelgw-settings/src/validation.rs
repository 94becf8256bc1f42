//! Validation of settings. Invalid values are rejected with their location before a node listens on any port.
//!
//! Each section of the settings is validated by a function of its own. All errors of a file are reported at
//! once.

mod admission;
mod day;
mod fault;
mod fleet;
mod node;
mod routing;
mod tls;

use crate::error::SettingsError;
use crate::field_location::{line_of, FieldStep};
use crate::proto::{Day, Node};
use std::collections::BTreeSet;

/// Validates a node's settings, each and against each other. `text` is the text of the file, for line numbers
/// in errors.
pub fn validate_node(file: &str, text: &str, node: &Node) -> Result<(), Vec<SettingsError>> {
    let mut validator = Validator::new(file, text);
    validator.node(node);
    validator.finish()
}

/// Validates a day's settings, each and against each other. `text` is the text of the file, for line numbers
/// in errors.
pub fn validate_day(file: &str, text: &str, day: &Day) -> Result<(), Vec<SettingsError>> {
    let mut validator = Validator::new(file, text);
    validator.day(day);
    validator.finish()
}

/// Collects the errors of one file.
struct Validator<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<SettingsError>,
}

impl<'a> Validator<'a> {
    fn new(file: &'a str, text: &'a str) -> Self {
        Validator { file, text, errors: Vec::new() }
    }

    fn finish(self) -> Result<(), Vec<SettingsError>> {
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(self.errors)
        }
    }

    /// Returns the checks for the fields of the file's top-level message.
    fn root(&mut self) -> Section<'_, 'a> {
        Section { validator: self, path: Vec::new() }
    }

    /// Returns the checks for the fields of a message, or of one element of a repeated message.
    fn section(&mut self, step: impl Into<FieldStep<'static>>) -> Section<'_, 'a> {
        Section { validator: self, path: vec![step.into()] }
    }

    fn report(&mut self, path: &[FieldStep], found: String, expected: &str) {
        self.errors.push(SettingsError::Field {
            file: self.file.into(),
            line: line_of(self.text, path),
            field: path_text(path),
            found,
            expected: expected.into(),
        });
    }

    /// Reports each element of a repeated message whose name occurs in an earlier element.
    fn unique(&mut self, message: &'static str, field: &'static str, names: impl Iterator<Item = String>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name.clone()) {
                self.section((message, index)).report(
                    field,
                    format!("'{name}' is given more than once"),
                    "each name once",
                );
            }
        }
    }
}

fn path_text(path: &[FieldStep]) -> String {
    let step_text = |step: &FieldStep| match step.index {
        0 => step.name.to_string(),
        index => format!("{}[{index}]", step.name),
    };
    path.iter().map(step_text).collect::<Vec<_>>().join(".")
}

/// Checks for the fields of one message.
struct Section<'v, 'a> {
    validator: &'v mut Validator<'a>,
    path: Vec<FieldStep<'static>>,
}

impl<'a> Section<'_, 'a> {
    /// Returns the checks for the fields of a message within this one.
    fn section(&mut self, step: impl Into<FieldStep<'static>>) -> Section<'_, 'a> {
        let mut path = self.path.clone();
        path.push(step.into());
        Section { validator: self.validator, path }
    }

    fn report(&mut self, field: impl Into<FieldStep<'static>>, found: impl ToString, expected: &str) {
        let mut path = self.path.clone();
        path.push(field.into());
        self.validator.report(&path, found.to_string(), expected);
    }

    fn above_zero(&mut self, field: &'static str, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            self.report(field, format!("is {value}"), "a number above zero");
        }
    }

    fn all_above_zero(&mut self, fields: &[(&'static str, f64)]) {
        for &(field, value) in fields {
            self.above_zero(field, value);
        }
    }

    fn not_negative(&mut self, field: &'static str, value: f64) {
        if !(value.is_finite() && value >= 0.0) {
            self.report(field, format!("is {value}"), "zero or more");
        }
    }

    /// Reports a value below the minimum, or one that is not a number.
    fn at_least(&mut self, field: &'static str, value: f64, minimum: f64, expected: &str) {
        if value.is_nan() || value < minimum {
            self.report(field, format!("is {value}"), expected);
        }
    }

    fn fraction(&mut self, field: &'static str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.report(field, format!("is {value}"), "a fraction from 0 to 1");
        }
    }

    fn not_empty(&mut self, field: &'static str, value: &str) {
        if value.is_empty() {
            self.report(field, "is empty or missing", "a value that is not empty");
        }
    }

    fn address(&mut self, field: impl Into<FieldStep<'static>>, value: &str) {
        let is_address = value
            .rsplit_once(':')
            .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok());
        if !is_address {
            self.report(field, format!("is '{value}'"), "host:port");
        }
    }
}
