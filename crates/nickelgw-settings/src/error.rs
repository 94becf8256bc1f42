//! What can be wrong with a settings file.

/// One thing that is wrong with a settings file, with its location and what is expected instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {reason}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The operating system's reason.
        reason: String,
    },
    /// The text is not of the message's form.
    #[error("{file}: {reason}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// The parser's reason, with line and column.
        reason: String,
    },
    /// A field has a value that cannot work.
    #[error("{file}:{line}: {field}: {found}; expected: {expected}")]
    Field {
        /// Path of the file.
        file: String,
        /// Line of the field, or of the message that lacks it.
        line: usize,
        /// Path of the field, such as `model_route[1].model`.
        field: String,
        /// What was found.
        found: String,
        /// What is expected.
        expected: String,
    },
}
