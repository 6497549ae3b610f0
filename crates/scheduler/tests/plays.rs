//! The command `tindock play`: its output and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn play(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tindock")).arg("play").args(words).output().unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

const FLEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.txt");

#[test]
fn example_passes_and_each_line_is_json() {
    let output = play(&[FLEET, "--json"]);
    assert_eq!((output.status.code(), output.stderr.as_slice()), (Some(0), &b""[..]));
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let run = lines.iter().find(|line| line["kind"] == "run").unwrap();
    assert_eq!((&run["seed"], &run["holds"]), (&1.into(), &true.into()));
    let seconds = lines.iter().filter(|line| line["kind"] == "second");
    let sent: u64 = seconds.map(|line| line["sent"].as_u64().unwrap()).sum();
    let routes = lines.iter().filter(|line| line["kind"] == "route");
    assert_eq!(sent, routes.map(|line| line["sent"].as_u64().unwrap()).sum::<u64>());
}

#[test]
fn invalid_files_and_broken_expectations_have_different_exit_codes() {
    let text = std::fs::read_to_string(FLEET).unwrap();
    let wrong = write_file("wrong-fleet.txt", &format!("{text}service\n"));
    let output = play(&[wrong.to_str().unwrap()]);
    let line = text.lines().count() + 1;
    let expected = format!("tindock: {}:{line}:8: name is missing\n", wrong.display());
    assert_eq!((output.status.code(), String::from_utf8(output.stderr).unwrap()), (Some(1), expected));
    assert_eq!(output.stdout, b"");

    let broken = write_file("broken-fleet.txt", &format!("{text}expect starts <= 0\n"));
    let output = play(&[broken.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8(output.stdout).unwrap().contains("BROKEN Starts"));

    assert_eq!(play(&[]).status.code(), Some(2));
    assert_eq!(play(&["--list"]).status.code(), Some(0));
}
