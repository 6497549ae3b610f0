//! Parses inventories of workers in the formats of configuration tools into entries with their places in the
//! file.
//!
//! `read` parses the bytes of one file, `merge` combines several. Nothing here opens a file or resolves a host
//! name. All errors are reported as problems, each with its file, line and column; an inventory with a problem
//! is rejected as a whole. Ambiguous input is refused, not guessed.
//!
//! ```
//! use tindock_inventory::{merge, read, Columns, InputFormat};
//! let file = b"name,address,zone,kind,slots\nyard-1,10.0.0.1:5000,north,std,4\n";
//! let entries = read("yard.csv", file, InputFormat::Csv, &Columns::default()).unwrap();
//! assert_eq!(merge(vec![entries]).unwrap().entries[0].name, "yard-1");
//! ```

mod columns;
mod csv_reader;
mod entry;
mod merging;
mod output;
mod ranges;
mod yaml_reader;
mod yaml_tree;

pub use columns::{Columns, FIELDS};
pub use entry::{ok_if_none, Address, Entry, Host, Place, Problem, State};
pub use merging::{diff, duplicate_addresses, merge, Change, Inventory};
pub use output::{write, OutputFormat};

/// Maximum size of a file: an inventory of 100,000 workers has some 8 MB.
pub const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of workers in an inventory, after expansion of ranges. Guards against a range of millions
/// of names.
pub const MAX_ENTRIES: usize = 100_000;

/// The format of an inventory file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputFormat {
    Csv,
    Yaml,
}

impl InputFormat {
    /// The format by the extension of a file name: `.csv`, `.yaml` or `.yml`.
    pub fn of(name: &str) -> Option<InputFormat> {
        match name.rsplit_once('.')?.1.to_ascii_lowercase().as_str() {
            "csv" => Some(InputFormat::Csv),
            "yaml" | "yml" => Some(InputFormat::Yaml),
            _ => None,
        }
    }
}

/// Parses one file. `name` is the file name in places.
pub fn read(
    name: &str,
    bytes: &[u8],
    form: InputFormat,
    columns: &Columns,
) -> Result<Vec<Entry>, Vec<Problem>> {
    let text = text(name, bytes).map_err(|problem| vec![problem])?;
    let entries = match form {
        InputFormat::Csv => csv_reader::read(name, text, columns),
        InputFormat::Yaml => yaml_reader::read(name, text, columns),
    }?;
    if entries.is_empty() {
        return Err(vec![
            Place::start(name).problem("names no worker; remove the file if it is to name none")
        ]);
    }
    Ok(entries)
}

/// The file as text. A file without a final line end is refused: it was truncated, or is still being written.
fn text<'a>(name: &str, bytes: &'a [u8]) -> Result<&'a str, Problem> {
    let start = Place::start(name);
    if bytes.len() > MAX_BYTES {
        return Err(start.problem(format!("has {} bytes; the maximum is {MAX_BYTES}", bytes.len())));
    }
    if bytes.starts_with(&[0xff, 0xfe]) || bytes.starts_with(&[0xfe, 0xff]) {
        return Err(start.problem("is written in UTF-16; UTF-8 was expected"));
    }
    // Spreadsheets start a file with a byte order mark, which has no meaning in UTF-8.
    let bytes = bytes.strip_prefix(&[0xef, 0xbb, 0xbf]).unwrap_or(bytes);
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let good = &bytes[..e.valid_up_to()];
        let byte = bytes[e.valid_up_to()];
        start.after(good).problem(format!("byte 0x{byte:02x} is not valid UTF-8; is the file in Latin-1?"))
    })?;
    if let Some(at) = text.find('\0') {
        return Err(start.after(&text.as_bytes()[..at]).problem("a zero byte; a text file was expected"));
    }
    if text.trim().is_empty() {
        return Err(start.problem("is empty; remove the file if it is to name no worker"));
    }
    if !text.ends_with('\n') {
        return Err(start
            .after(text.as_bytes())
            .problem("the last line has no line end; is the file truncated?"));
    }
    Ok(text)
}
