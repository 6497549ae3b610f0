//! Errors in a configuration, with their location.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of characters of a name repeated in an error, so that an error is one short line.
const MAX_NAME_CHARS: usize = 80;

/// Why a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadError {
    /// Longer than [`crate::MAX_TEXT_BYTES`].
    TooLong { bytes: u64 },
    /// The offset of the first byte that is not UTF-8, from 0.
    NotUtf8 { at: u64 },
    /// Not JSON, or beyond the limits; line and column count from 1.
    Unreadable { line: u64, column: u64, wrong: SyntaxError },
    /// JSON, but not a valid configuration.
    Invalid { place: Location, field: String, wrong: FieldError },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyntaxError {
    CutShort,
    Token,
    Trailing,
    Comment,
    Control,
    Escape,
    Number,
    KeyTwice(String),
    TooDeep,
    TooMany,
}

/// The object that contains the error; indexes count from 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    Whole,
    Route { index: u64, name: String },
    Service { index: u64, name: String },
    Limits,
}

/// The error in a field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FieldError {
    Missing,
    NotObject,
    NotList,
    NotText,
    /// Not a whole number of at least 0.
    NotWhole,
    Empty,
    Zero,
    /// A path without the slash at its beginning (or, for a prefix, at its end).
    NotPath(String),
    UnknownKind(String),
    UnknownService(String),
    /// The service at index `other` already has this name.
    SameName {
        other: u64,
    },
    /// The route at index `other` already has this host and prefix.
    SameTarget {
        other: u64,
    },
    /// A weight that is negative, infinite, or not a number.
    BadWeight {
        service: String,
    },
    /// Neither a list of services with weights nor an object of weights.
    NotSplit,
    /// Two fields split the route.
    SplitTwice,
    NoWeight,
}

pub(crate) fn truncate_name(name: &str) -> String {
    name.chars().take(MAX_NAME_CHARS).collect()
}

impl std::error::Error for ReadError {}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::TooLong { bytes } => {
                write!(f, "the configuration has {bytes} bytes, at most {} are read", crate::MAX_TEXT_BYTES)
            }
            ReadError::NotUtf8 { at } => write!(f, "byte {at} of the configuration is not UTF-8"),
            ReadError::Unreadable { line, column, wrong } => {
                write!(f, "line {line}, column {column}: {wrong}")
            }
            ReadError::Invalid { place, field, wrong } => match wrong {
                FieldError::UnknownService(name) => {
                    write!(f, "{place}: service {name:?} is not among the services")
                }
                _ => write!(f, "{place}: {field} {wrong}"),
            },
        }
    }
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SyntaxError::CutShort => f.write_str("the text ends too early"),
            SyntaxError::Token => f.write_str("this is not JSON"),
            SyntaxError::Trailing => f.write_str("unexpected text after the configuration"),
            SyntaxError::Comment => f.write_str("a slash outside a string; JSON has no comments"),
            SyntaxError::Control => f.write_str("a control character"),
            SyntaxError::Escape => f.write_str("an escape sequence that is not valid in JSON"),
            SyntaxError::Number => f.write_str("a number that is not valid in JSON"),
            SyntaxError::KeyTwice(key) => write!(f, "the key {key:?} appears twice in one object"),
            SyntaxError::TooDeep => write!(f, "nested deeper than {}", crate::MAX_DEPTH),
            SyntaxError::TooMany => write!(f, "more than {} values", crate::MAX_VALUES),
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Whole => f.write_str("the configuration"),
            Location::Route { index, name } => write!(f, "routes[{index}] {name:?}"),
            Location::Service { index, name } => write!(f, "services[{index}] {name:?}"),
            Location::Limits => f.write_str("limits"),
        }
    }
}

/// Written after the name of the field.
impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldError::Missing => f.write_str("is missing"),
            FieldError::NotObject => f.write_str("is not an object"),
            FieldError::NotList => f.write_str("is not a list"),
            FieldError::NotText => f.write_str("is not a string"),
            FieldError::NotWhole => f.write_str("is not a whole number of at least 0"),
            FieldError::Empty => f.write_str("is empty"),
            FieldError::Zero => f.write_str("is 0"),
            FieldError::NotPath(path) => write!(f, "{path:?} lacks a slash at its beginning or end"),
            FieldError::UnknownKind(kind) => write!(f, "{kind:?} is neither idempotent nor non_idempotent"),
            FieldError::UnknownService(name) => write!(f, "{name:?} is not among the services"),
            FieldError::SameName { other } => write!(f, "is already used by services[{other}]"),
            FieldError::SameTarget { other } => {
                write!(f, "is already used, with its hostname, by routes[{other}]")
            }
            FieldError::BadWeight { service } => {
                write!(f, "gives service {service:?} a weight that is not a number of at least 0")
            }
            FieldError::NotSplit => f.write_str("is not a list of services with weights"),
            FieldError::SplitTwice => f.write_str("splits a route that another field splits already"),
            FieldError::NoWeight => f.write_str("has weights that sum to 0"),
        }
    }
}
