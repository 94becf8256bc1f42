//! The error that a command ends with.

use nickelgw_settings::{SettingsError, SettingsErrors};
use std::fmt::Display;

/// What the command prints as its last line: a file or the usage was wrong, or the system refused something.
pub struct CommandError(pub String);

impl<E: std::error::Error> From<E> for CommandError {
    fn from(error: E) -> Self {
        CommandError(error.to_string())
    }
}

impl CommandError {
    /// All errors of a settings file, one a line.
    pub fn from_settings(errors: SettingsErrors) -> CommandError {
        let lines: Vec<String> = errors.iter().map(SettingsError::to_string).collect();
        CommandError(lines.join("\n"))
    }
}

/// For `map_err`: puts what an error is about in front of it.
pub fn about<E: Display>(subject: impl Display) -> impl FnOnce(E) -> CommandError {
    move |error| CommandError(format!("{subject}: {error}"))
}
