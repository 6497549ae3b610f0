//! What can be wrong with a configuration, and where.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Characters of a name that a fault repeats at most, so that a fault is one short line.
const LONGEST_NAME: usize = 80;

/// Why a configuration was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadError {
    /// Longer than [`crate::MAX_TEXT_BYTES`].
    TooLong { bytes: u64 },
    /// The first byte that is no UTF-8, from 0.
    NotUtf8 { at: u64 },
    /// Not JSON, or more of it than is read; line and column count from 1.
    Unreadable { line: u64, column: u64, wrong: SyntaxError },
    /// JSON, but no valid configuration.
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

/// The object that a fault lies in; indexes count from 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    Whole,
    Route { index: u64, name: String },
    Service { index: u64, name: String },
    Limits,
}

/// What is wrong with a field.
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
    /// A path that lacks the slash at its beginning (or, for a prefix, its end).
    NotPath(String),
    UnknownKind(String),
    UnknownService(String),
    /// The service at `other` has this name already.
    SameName {
        other: u64,
    },
    /// The route at `other` has this host and prefix already.
    SameTarget {
        other: u64,
    },
    /// A weight that is negative, infinite, or no number.
    BadWeight {
        service: String,
    },
    /// Neither a list of services with weights nor an object of weights.
    NotSplit,
    /// Two fields split the route.
    SplitTwice,
    NoWeight,
}

pub(crate) fn clipped(name: &str) -> String {
    name.chars().take(LONGEST_NAME).collect()
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
            SyntaxError::Trailing => f.write_str("something follows the configuration"),
            SyntaxError::Comment => f.write_str("a slash outside a string; JSON has no comments"),
            SyntaxError::Control => f.write_str("a control character"),
            SyntaxError::Escape => f.write_str("an escape that JSON does not have"),
            SyntaxError::Number => f.write_str("a number that is not written as JSON has it"),
            SyntaxError::KeyTwice(key) => write!(f, "the key {key:?} stands twice in one object"),
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

/// Reads on after the name of the field.
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
            FieldError::SameName { other } => write!(f, "is that of services[{other}] too"),
            FieldError::SameTarget { other } => {
                write!(f, "is, with its hostname, that of routes[{other}] too")
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
