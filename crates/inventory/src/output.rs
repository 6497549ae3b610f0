//! Writes an inventory in the forms that are read, and as JSON.

use crate::merging::Inventory;
use std::fmt::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    Csv,
    Yaml,
    Json,
}

/// Words hold no spaces or controls, but may hold any other sign.
fn quoted(word: &str) -> String {
    let mut out = String::from("\"");
    for c in word.chars() {
        if matches!(c, '"' | '\\') {
            out.push('\\');
        }
        out.push(c);
    }
    out.push('"');
    out
}

fn field(word: &str) -> String {
    if word.contains([',', '"']) {
        return format!("\"{}\"", word.replace('"', "\"\""));
    }
    word.into()
}

/// The whole inventory; `read` gives the same entries from the CSV and the YAML.
pub fn write(inventory: &Inventory, form: OutputFormat) -> String {
    let mut out = String::new();
    if form == OutputFormat::Csv {
        out.push_str("name,address,zone,kind,slots,group,state\n");
    }
    if form == OutputFormat::Json {
        out.push_str("[\n");
    }
    let last = inventory.entries.len().saturating_sub(1);
    for (k, e) in inventory.entries.iter().enumerate() {
        let (address, state) = (e.address.to_string(), e.state.as_str());
        let written = match form {
            OutputFormat::Csv => {
                let words = [&e.name, &address, &e.zone, &e.kind].map(|w| field(w)).join(",");
                writeln!(out, "{words},{},{},{state}", e.slots, e.group)
            }
            OutputFormat::Yaml | OutputFormat::Json => {
                let [name, address, zone, kind] = [&e.name, &address, &e.zone, &e.kind].map(|w| quoted(w));
                let (slots, group) = (e.slots, e.group);
                if form == OutputFormat::Yaml {
                    writeln!(out, "- name: {name}\n  address: {address}\n  zone: {zone}\n  kind: {kind}\n  slots: {slots}\n  group: {group}\n  state: {state}")
                } else {
                    let comma = if k < last { "," } else { "" };
                    writeln!(out, "  {{\"name\": {name}, \"address\": {address}, \"zone\": {zone}, \"kind\": {kind}, \"slots\": {slots}, \"group\": {group}, \"state\": \"{state}\"}}{comma}")
                }
            }
        };
        written.expect("a string has room");
    }
    if form == OutputFormat::Json {
        out.push_str("]\n");
    }
    out
}
