//! CSV: a header row, then one worker a row.

use crate::columns::{Columns, Value};
use crate::entry::{ok_if_none, Entry, Place, Problem};
use crate::MAX_ENTRIES;
use csv::{ReaderBuilder, StringRecord};
use std::collections::BTreeMap;

/// Problems told of one file: who mends these reads it again.
const MOST_PROBLEMS: usize = 100;

pub(crate) fn read(name: &str, text: &str, columns: &Columns) -> Result<Vec<Entry>, Vec<Problem>> {
    let start = Place::start(name);
    // Quotes that are opened and never closed take in the rest of the file as one field.
    let mut reader = ReaderBuilder::new().flexible(true).has_headers(false).from_reader(text.as_bytes());
    let at = |record: &StringRecord, field: usize| {
        let line = record.position().map_or(1, |p| p.line() as usize);
        // The reader keeps no column: the fields before it, and their commas, tell it unless they were quoted.
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
        if problems.len() >= MOST_PROBLEMS {
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
            problems.push(at(&record, field).problem("a field over several lines; is a quote left open?"));
            continue;
        }
        if entries.len() >= MAX_ENTRIES {
            problems.push(line.problem(format!("one worker too many: {MAX_ENTRIES} at the most")));
            break;
        }
        let said: BTreeMap<&'static str, Value> = fields
            .iter()
            .enumerate()
            .filter_map(|(k, field)| {
                Some(((*field)?, Value { text: record[k].into(), place: at(&record, k) }))
            })
            .collect();
        entries.extend(columns.entry(&said, &line, &mut problems));
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
                at(record, k).problem(format!("column {column:?} again; it is column {first} already")),
            );
        }
    }
    let fields: Vec<_> = named.iter().map(|column| columns.field(column)).collect();
    for wanted in ["name", "zone", "kind", "slots"] {
        if !fields.contains(&Some(wanted)) && !columns.defaults.contains_key(wanted) {
            let column = columns.column(wanted);
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
