//! Errors of this tool, each displayed on one line.

use std::fmt;
use std::path::{Path, PathBuf};

/// A failure of the tool itself; a scenario that breaks a rule is a result, not an error.
#[derive(Debug, PartialEq)]
pub enum Error {
    /// A file could not be read or written.
    File { path: PathBuf, cause: String },
    /// A list of kinds, a site file or a scenario file has invalid content.
    Content { source: String, cause: String },
    /// An option names something that does not exist.
    Option(String),
    /// The bench could not be started.
    Bench(String),
}

impl Error {
    pub fn file(path: &Path, cause: impl fmt::Display) -> Error {
        Error::File { path: path.to_path_buf(), cause: cause.to_string() }
    }

    pub fn content(source: impl Into<String>, cause: impl fmt::Display) -> Error {
        let cause = cause.to_string().trim_end().replace('\n', "; ");
        Error::Content { source: source.into(), cause }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::File { path, cause } => write!(out, "{}: {cause}", path.display()),
            Error::Content { source, cause } => write!(out, "{source}: {cause}"),
            Error::Option(what) | Error::Bench(what) => out.write_str(what),
        }
    }
}

impl std::error::Error for Error {}
