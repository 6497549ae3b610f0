//! Writes an inventory as CSV, YAML or JSON; CSV and YAML can be read again.

use crate::merging::Inventory;
use std::fmt::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    Csv,
    Yaml,
    Json,
}

/// Quotes a value for YAML or JSON. Values have no spaces or control characters, but may have any other
/// character.
fn quoted(value: &str) -> String {
    let mut out = String::from("\"");
    for c in value.chars() {
        if matches!(c, '"' | '\\') {
            out.push('\\');
        }
        out.push(c);
    }
    out.push('"');
    out
}

fn csv_field(value: &str) -> String {
    if value.contains([',', '"']) {
        return format!("\"{}\"", value.replace('"', "\"\""));
    }
    value.into()
}

/// Writes the inventory; reading the CSV or YAML gives the same entries.
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
                let values = [&e.name, &address, &e.zone, &e.kind].map(|v| csv_field(v)).join(",");
                writeln!(out, "{values},{},{},{state}", e.slots, e.group)
            }
            OutputFormat::Yaml | OutputFormat::Json => {
                let [name, address, zone, kind] = [&e.name, &address, &e.zone, &e.kind].map(|v| quoted(v));
                let (slots, group) = (e.slots, e.group);
                if form == OutputFormat::Yaml {
                    writeln!(out, "- name: {name}\n  address: {address}\n  zone: {zone}\n  kind: {kind}\n  slots: {slots}\n  group: {group}\n  state: {state}")
                } else {
                    let comma = if k < last { "," } else { "" };
                    writeln!(out, "  {{\"name\": {name}, \"address\": {address}, \"zone\": {zone}, \"kind\": {kind}, \"slots\": {slots}, \"group\": {group}, \"state\": \"{state}\"}}{comma}")
                }
            }
        };
        written.expect("writing to a string cannot fail");
    }
    if form == OutputFormat::Json {
        out.push_str("]\n");
    }
    out
}
