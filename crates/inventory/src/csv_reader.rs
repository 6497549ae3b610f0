//! Reads CSV: a header row, then one worker per row.

use crate::columns::{Columns, Value};
use crate::entry::{ok_if_none, Entry, Place, Problem};
use crate::MAX_ENTRIES;
use csv::{ReaderBuilder, StringRecord};
use std::collections::BTreeMap;

/// Maximum number of problems reported of one file: after these are fixed, it is read again.
const MAX_PROBLEMS: usize = 100;

pub(crate) fn read(name: &str, text: &str, columns: &Columns) -> Result<Vec<Entry>, Vec<Problem>> {
    let start = Place::start(name);
    // An unclosed quote makes the rest of the file one field; this is reported below.
    let mut reader = ReaderBuilder::new().flexible(true).has_headers(false).from_reader(text.as_bytes());
    let at = |record: &StringRecord, field: usize| {
        let line = record.position().map_or(1, |p| p.line() as usize);
        // The reader reports no column: it is computed from the fields before it and their commas, and is
        // approximate if those are quoted.
        let before: usize = record.iter().take(field).map(|f| f.chars().count() + 1).sum();
        Place { line, column: 1 + before, ..start.clone() }
    };
    let (mut problems, mut entries) = (Vec::new(), Vec::new());
    let mut header: Option<(usize, Vec<Option<&'static str>>)> = None;
    let mut record = StringRecord::new();
    loop {
        match reader.read_record(&mut record) {
            Ok(false) => break,
            Ok(true) => {}
            Err(e) => {
                let line = e.position().map_or(1, |p| p.line() as usize);
                problems.push(Place { line, ..start.clone() }.problem(format!("cannot be read: {e}")));
                break;
            }
        }
        if problems.len() >= MAX_PROBLEMS {
            break;
        }
        let Some((width, fields)) = &header else {
            let fields = self::header(&record, columns, &at, &mut problems);
            if !problems.is_empty() {
                break;
            }
            header = Some((record.len(), fields));
            continue;
        };
        let line = at(&record, 0);
        if record.len() != *width {
            let (has, what) = (record.len(), if record.len() < *width { "too few" } else { "too many" });
            problems.push(
                line.problem(format!("{has} fields are {what}; {width} were expected as in the header")),
            );
            continue;
        }
        if let Some(field) = record.iter().position(|f| f.contains(['\n', '\r'])) {
            problems.push(at(&record, field).problem("a field over several lines; is a quote not closed?"));
            continue;
        }
        if entries.len() >= MAX_ENTRIES {
            problems.push(line.problem(format!("too many workers; the maximum is {MAX_ENTRIES}")));
            break;
        }
        let values: BTreeMap<&'static str, Value> = fields
            .iter()
            .enumerate()
            .filter_map(|(k, field)| {
                Some(((*field)?, Value { text: record[k].into(), place: at(&record, k) }))
            })
            .collect();
        entries.extend(columns.entry(&values, &line, &mut problems));
    }
    ok_if_none(problems, entries)
}

fn header(
    record: &StringRecord,
    columns: &Columns,
    at: &impl Fn(&StringRecord, usize) -> Place,
    problems: &mut Vec<Problem>,
) -> Vec<Option<&'static str>> {
    let named: Vec<&str> = record.iter().map(str::trim).collect();
    for (k, column) in named.iter().enumerate() {
        if let Some(first) = named[..k].iter().position(|c| c == column) {
            let first = first + 1;
            problems.push(
                at(record, k).problem(format!("duplicate column {column:?}; it is column {first} already")),
            );
        }
    }
    let fields: Vec<_> = named.iter().map(|column| columns.field(column)).collect();
    for field in ["name", "zone", "kind", "slots"] {
        if !fields.contains(&Some(field)) && !columns.defaults.contains_key(field) {
            let column = columns.column(field);
            problems.push(
                at(record, 0)
                    .problem(format!("the header has no column {column:?}, and there is no default")),
            );
        }
    }
    let has = |field| fields.contains(&Some(field)) || columns.defaults.contains_key(field);
    if !has("address") && !has("port") {
        let (address, port) = (columns.column("address"), columns.column("port"));
        problems.push(at(record, 0).problem(format!("the header has neither {address:?} nor {port:?}")));
    }
    fields
}
