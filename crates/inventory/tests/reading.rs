//! Reading of valid files, and reading back of written ones.

use proptest::prelude::*;
use std::net::{Ipv4Addr, Ipv6Addr};
use tindock_inventory::{
    diff, merge, read, write, Address, Change, Columns, Entry, Host, InputFormat, Inventory,
};
use tindock_inventory::{OutputFormat, Place, State};

fn parsed(form: InputFormat, text: &str, columns: &Columns) -> Inventory {
    let entries = read("f", text.as_bytes(), form, columns);
    let entries = entries.unwrap_or_else(|problems| panic!("{problems:#?}"));
    merge(vec![entries]).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

fn as_csv(inventory: &Inventory) -> String {
    write(inventory, OutputFormat::Csv)
}

/// Nested groups, the precedence of variables, ranges, and unrelated variables.
#[test]
fn nested_groups_are_read_as_by_configuration_tools() {
    let text = "\
all:
  vars: {zone: far, kind: std, slots: 2, ansible_port: 5000, ntp_server: 10.9.9.9}
  hosts:
    loose.example.org:
  children:
    wor-1:
      vars:
        zone: near
      children:
        big:
          vars: {slots: 8}
          hosts:
            yard-[07:08].wor-1.example.org:
    old:
      hosts:
        yard-9: {host: 10.0.0.9, state: leaving, group: 3}
wor-1:
  hosts:
    yard-1.wor-1.example.org: {zone: here, unrelated: [1, 2]}
";
    let columns = Columns { names: [("port".into(), "ansible_port".into())].into(), ..Columns::default() };
    let expected = "\
name,address,zone,kind,slots,group,state
loose.example.org,loose.example.org:5000,far,std,2,0,active
yard-07.wor-1.example.org,yard-07.wor-1.example.org:5000,near,std,8,0,active
yard-08.wor-1.example.org,yard-08.wor-1.example.org:5000,near,std,8,0,active
yard-1.wor-1.example.org,yard-1.wor-1.example.org:5000,here,std,2,0,active
yard-9,10.0.0.9:5000,far,std,2,3,leaving
";
    assert_eq!(as_csv(&parsed(InputFormat::Yaml, text, &columns)), expected);
}

/// Line ends, a byte order mark, quotes, blank lines, other columns, and any order of columns.
#[test]
fn csv_is_read_as_spreadsheets_write_it() {
    let text =
        "\u{feff}slots,name,owner,address,kind,zone\r\n\r\n4,\"y\",\"Cold, Inc\",10.0.0.1:5000,std,north\r\n";
    let expected = "name,address,zone,kind,slots,group,state\ny,10.0.0.1:5000,north,std,4,0,active\n";
    assert_eq!(as_csv(&parsed(InputFormat::Csv, text, &Columns::default())), expected);
}

/// Guards against aliases that count as duplicate keys.
#[test]
fn aliases_are_expanded() {
    let text =
        "a: {vars: &v {zone: n, kind: k, slots: 1, port: 1}, hosts: {x: }}\nb: {vars: *v, hosts: {y: }}\n";
    assert_eq!(parsed(InputFormat::Yaml, text, &Columns::default()).entries.len(), 2);
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let text = "[a-z][a-zA-Z0-9_.,:#\"'\\\\{}\\[\\]&*!|>%@`-]{0,12}";
    let host = prop_oneof![
        any::<u32>().prop_map(|n| Host::Ip(Ipv4Addr::from(n).into())),
        any::<u128>().prop_map(|n| Host::Ip(Ipv6Addr::from(n).into())),
        "[a-z][a-z0-9]{0,8}(\\.[a-z][a-z0-9-]{0,8}[a-z0-9]){0,2}".prop_map(Host::Name),
    ];
    let entry = (text, host, 1..=65535u16, text, text, 1..=1024u32, any::<u32>(), any::<bool>());
    let entry = entry.prop_map(|(name, host, port, zone, kind, slots, group, active)| {
        let (address, place) = (Address { host, port }, Place::start("f"));
        let state = if active { State::Active } else { State::Leaving };
        Entry { name, address, zone, kind, slots: f64::from(slots) / 1.0, group, state, place }
    });
    prop::collection::vec(entry, 1..20)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_written_inventory_is_read_back_unchanged(entries in entries()) {
        if let Ok(inventory) = merge(vec![entries]) {
            for (form, written) in
                [(InputFormat::Csv, OutputFormat::Csv), (InputFormat::Yaml, OutputFormat::Yaml)]
            {
                let text = write(&inventory, written);
                let back = parsed(form, &text, &Columns::default());
                prop_assert_eq!(diff(&inventory, &back), vec![], "{}", text);
                prop_assert_eq!(inventory.digest(), back.digest());
            }
        }
    }

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        for form in [InputFormat::Csv, InputFormat::Yaml] {
            let _ = read("f", &bytes, form, &Columns::default());
        }
    }

    /// Guards against panics on text with the syntax of both formats.
    #[test]
    fn arbitrary_syntax_causes_no_panic(text in "[a-z0-9:,\\[\\]{}&*#!|>'\"\n \t-]{0,300}") {
        for form in [InputFormat::Csv, InputFormat::Yaml] {
            let _ = read("f", format!("{text}\n").as_bytes(), form, &Columns::default());
        }
    }
}

fn large_inventory(form: OutputFormat) -> (Inventory, String) {
    let entry = |n: usize| Entry {
        name: format!("yard-{n:03}"),
        address: Address { host: Host::Ip(Ipv4Addr::new(10, 0, 0, n as u8).into()), port: 5000 + n as u16 },
        zone: "north".into(),
        kind: "std".into(),
        slots: 16.0,
        group: 12,
        state: State::Active,
        place: Place::start("f"),
    };
    let inventory = merge(vec![(0..199).map(entry).collect()]).expect("an inventory");
    let text = write(&inventory, form);
    (inventory, text)
}

/// Guards against a file that is read while half written: cut at any byte, it is refused, or has a subset of
/// the same workers with the same settings. How many workers may disappear at once is limited elsewhere.
#[test]
fn a_file_cut_at_any_byte_is_refused_or_has_a_subset() {
    for (form, written) in [(InputFormat::Csv, OutputFormat::Csv), (InputFormat::Yaml, OutputFormat::Yaml)] {
        let (inventory, text) = large_inventory(written);
        let mut parts = 0;
        for at in 0..text.len() {
            let Ok(entries) = read("f", &text.as_bytes()[..at], form, &Columns::default()) else { continue };
            parts += 1;
            let part = merge(vec![entries]).expect("unique workers");
            let changes = diff(&inventory, &part);
            let odd = changes.iter().find(|c| !matches!(c, Change::Removed(_)));
            // A YAML worker whose last lines are missing may lack its cell and state, which are optional.
            let less = |c: &Change| match c {
                Change::Changed { from, to } => {
                    form == InputFormat::Yaml && to.group == 0 && from.name == to.name
                }
                _ => false,
            };
            assert!(odd.is_none_or(less), "cut at {at}: {odd:?}");
        }
        assert!(parts < 200 * 3, "{parts} cuts were accepted");
    }
}
