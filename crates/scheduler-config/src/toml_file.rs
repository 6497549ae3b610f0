//! Reads a TOML file of the project, and reports each problem with its place.

use crate::layers::{Layers, Reader, Section};
use std::path::Path;
use tindock_inventory::Problem;
use toml::de::DeTable;

/// Reads the values of the top table; none if a required one is missing. Lifetimes are the text's.
pub(crate) type ReadTop<T> = for<'t> fn(&mut Reader<'t>, &mut Section<'t>, &Path) -> Option<T>;

/// Reads a file; paths in it are relative to its folder.
pub(crate) fn open<T>(path: &Path, read_top: ReadTop<T>) -> Result<T, Vec<String>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{name}: {e}")])?;
    let folder = path.parent().unwrap_or(Path::new(""));
    read(&name, folder, &text, read_top).map_err(|problems| problems.iter().map(Problem::to_string).collect())
}

pub(crate) fn read<T>(
    file: &str,
    folder: &Path,
    text: &str,
    read_top: ReadTop<T>,
) -> Result<T, Vec<Problem>> {
    let layers = Layers::default();
    let mut reader = Reader::new(file, text, &layers);
    let root = DeTable::parse(text).map_err(|e| {
        let place = reader.place(e.span().map_or(0, |span| span.start));
        vec![place.problem(format!("no TOML that can be read: {}", e.message()))]
    })?;
    let mut top = reader.root(root.get_ref());
    let found = read_top(&mut reader, &mut top, folder);
    reader.reject_unknown_keys(&top);
    match found {
        Some(found) if reader.problems.is_empty() => Ok(found),
        _ => {
            reader.problems.sort();
            reader.problems.dedup();
            Err(reader.problems)
        }
    }
}
