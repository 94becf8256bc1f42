//! The error that a command ends with.

use nickelgw_settings::{SettingsError, SettingsErrors};
use std::fmt::Display;

/// Error that ends a command and is printed as its last line: invalid usage, an invalid file, or a failed
/// system call.
pub struct CommandError(pub String);

impl<E: std::error::Error> From<E> for CommandError {
    fn from(error: E) -> Self {
        CommandError(error.to_string())
    }
}

impl CommandError {
    /// Joins all errors of a settings file, one per line.
    pub fn from_settings(errors: SettingsErrors) -> CommandError {
        let lines: Vec<String> = errors.iter().map(SettingsError::to_string).collect();
        CommandError(lines.join("\n"))
    }
}

/// Returns a function for `map_err` that puts the subject of an error in front of its text.
pub fn with_context<E: Display>(subject: impl Display) -> impl FnOnce(E) -> CommandError {
    move |error| CommandError(format!("{subject}: {error}"))
}
