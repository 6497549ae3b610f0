//! What can be wrong with a configuration, and where.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Characters of a name that a fault repeats at most, so that a fault is one short line.
const LONGEST_NAME: usize = 80;

/// Why a configuration was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// Longer than [`crate::LONGEST_TEXT`].
    TooLong { bytes: u64 },
    /// The first byte that is no UTF-8, from 0.
    NotUtf8 { at: u64 },
    /// Not JSON, or more of it than is read; line and column count from 1.
    Unreadable { line: u64, column: u64, wrong: Unreadable },
    /// JSON, but no valid configuration.
    Invalid { place: Place, field: String, wrong: Wrong },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unreadable {
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
pub enum Place {
    Whole,
    Route { index: u64, name: String },
    Service { index: u64, name: String },
    Limits,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wrong {
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

impl std::error::Error for Fault {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::TooLong { bytes } => {
                write!(f, "the configuration has {bytes} bytes, at most {} are read", crate::LONGEST_TEXT)
            }
            Fault::NotUtf8 { at } => write!(f, "byte {at} of the configuration is not UTF-8"),
            Fault::Unreadable { line, column, wrong } => write!(f, "line {line}, column {column}: {wrong}"),
            Fault::Invalid { place, field, wrong } => match wrong {
                Wrong::UnknownService(name) => {
                    write!(f, "{place}: service {name:?} is not among the services")
                }
                _ => write!(f, "{place}: {field} {wrong}"),
            },
        }
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::CutShort => f.write_str("the text ends too early"),
            Unreadable::Token => f.write_str("this is not JSON"),
            Unreadable::Trailing => f.write_str("something follows the configuration"),
            Unreadable::Comment => f.write_str("a slash outside a string; JSON has no comments"),
            Unreadable::Control => f.write_str("a control character"),
            Unreadable::Escape => f.write_str("an escape that JSON does not have"),
            Unreadable::Number => f.write_str("a number that is not written as JSON has it"),
            Unreadable::KeyTwice(key) => write!(f, "the key {key:?} stands twice in one object"),
            Unreadable::TooDeep => write!(f, "nested deeper than {}", crate::DEEPEST),
            Unreadable::TooMany => write!(f, "more than {} values", crate::MOST_VALUES),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Whole => f.write_str("the configuration"),
            Place::Route { index, name } => write!(f, "routes[{index}] {name:?}"),
            Place::Service { index, name } => write!(f, "services[{index}] {name:?}"),
            Place::Limits => f.write_str("limits"),
        }
    }
}

/// Reads on after the name of the field.
impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::Missing => f.write_str("is missing"),
            Wrong::NotObject => f.write_str("is not an object"),
            Wrong::NotList => f.write_str("is not a list"),
            Wrong::NotText => f.write_str("is not a string"),
            Wrong::NotWhole => f.write_str("is not a whole number of at least 0"),
            Wrong::Empty => f.write_str("is empty"),
            Wrong::Zero => f.write_str("is 0"),
            Wrong::NotPath(path) => write!(f, "{path:?} lacks a slash at its beginning or end"),
            Wrong::UnknownKind(kind) => write!(f, "{kind:?} is neither idempotent nor non_idempotent"),
            Wrong::UnknownService(name) => write!(f, "{name:?} is not among the services"),
            Wrong::SameName { other } => write!(f, "is that of services[{other}] too"),
            Wrong::SameTarget { other } => write!(f, "is, with its hostname, that of routes[{other}] too"),
            Wrong::BadWeight { service } => {
                write!(f, "gives service {service:?} a weight that is not a number of at least 0")
            }
            Wrong::NotSplit => f.write_str("is not a list of services with weights"),
            Wrong::SplitTwice => f.write_str("splits a route that another field splits already"),
            Wrong::NoWeight => f.write_str("has weights that sum to 0"),
        }
    }
}
