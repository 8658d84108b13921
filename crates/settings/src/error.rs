//! What can be wrong with settings.

use serde_json::Value;

/// A value that has no meaning for the balancer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The retry safety of a class is none of the known ones.
    #[error("Categories[{class}].Repeat: unknown value {value:?}")]
    UnknownRetrySafety {
        /// Index of the class.
        class: usize,
        /// The value, if there is one.
        value: Option<String>,
    },
    /// The servers that share idempotency keys are none of the known groups.
    #[error("Categories[{class}].Group: unknown value {value:?}")]
    UnknownIdempotencyScope {
        /// Index of the class.
        class: usize,
        /// The value, if there is one.
        value: Option<String>,
    },
}

/// A fault of a configuration file, with the place of the value in it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// A value that every configuration needs is absent or null.
    #[error("{path} is missing")]
    Missing {
        /// Keys from the root, separated by dots.
        path: String,
    },
    /// The file lacks a key that the file in use has.
    #[error("{path} is missing, and the present file has it")]
    Removed {
        /// Keys from the root, separated by dots.
        path: String,
    },
    /// There is no request class.
    #[error("settings.Categories names no class")]
    NoClasses,
    /// The name of a class is empty or no text.
    #[error("{path} is no name")]
    InvalidName {
        /// Keys from the root, separated by dots.
        path: String,
    },
    /// Two classes have the same name.
    #[error("{path}: there are two classes {name:?}")]
    DuplicateClass {
        /// Keys from the root, separated by dots.
        path: String,
        /// The name that is used twice.
        name: String,
    },
    /// A number is zero, negative, fractional, too large, or no number.
    #[error("{path}: {value} is not a whole number from 1 to {max}")]
    OutOfRange {
        /// Keys from the root, separated by dots.
        path: String,
        /// The value as it is written.
        value: Value,
        /// The largest number that is accepted.
        max: u64,
    },
}
