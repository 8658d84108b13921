//! Errors of settings and configuration files.

use serde_json::Value;

/// An unknown value in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The retry safety of a class is unknown.
    #[error("Categories[{class}].Repeat: unknown value {value:?}")]
    UnknownRetrySafety {
        /// Index of the class.
        class: usize,
        /// The value, if present.
        value: Option<String>,
    },
    /// The idempotency scope of a class, the set of servers that share idempotency keys, is unknown.
    #[error("Categories[{class}].Group: unknown value {value:?}")]
    UnknownIdempotencyScope {
        /// Index of the class.
        class: usize,
        /// The value, if present.
        value: Option<String>,
    },
}

/// An error in a configuration file, with the path of the value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// A required value is absent or null.
    #[error("{path} is missing")]
    Missing {
        /// Keys from the root, separated by dots.
        path: String,
    },
    /// The file lacks a key of the file in use.
    #[error("{path} is missing, but the file in use has it")]
    Removed {
        /// Keys from the root, separated by dots.
        path: String,
    },
    /// The file contains no request class.
    #[error("settings.Categories contains no class")]
    NoClasses,
    /// The name of a class is empty or not a string.
    #[error("{path} is empty or not a string")]
    InvalidName {
        /// Keys from the root, separated by dots.
        path: String,
    },
    /// Two classes have the same name.
    #[error("{path}: duplicate class name {name:?}")]
    DuplicateClass {
        /// Keys from the root, separated by dots.
        path: String,
        /// The duplicate name.
        name: String,
    },
    /// A value is zero, negative, fractional, too large, or not a number.
    #[error("{path}: {value} is not a whole number from 1 to {max}")]
    OutOfRange {
        /// Keys from the root, separated by dots.
        path: String,
        /// The value as written in the file.
        value: Value,
        /// The largest accepted number.
        max: u64,
    },
}
