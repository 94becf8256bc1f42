//! Errors in settings files.

/// Error in a settings file, with its location and what is expected instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {reason}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        reason: String,
    },
    /// The text cannot be parsed as the message.
    #[error("{file}: {reason}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// Error of the parser, with line and column.
        reason: String,
    },
    /// A field has a value that is not valid.
    #[error("{file}:{line}: {field}: {found}; expected: {expected}")]
    Field {
        /// Path of the file.
        file: String,
        /// Line of the field, or of the enclosing message if the field is missing.
        line: usize,
        /// Path of the field, such as `model_route[1].model`.
        field: String,
        /// Description of the value that was found.
        found: String,
        /// Description of the value that is expected.
        expected: String,
    },
}
