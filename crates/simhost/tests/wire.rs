//! The adapter as a process: reads batches, writes replies or one error message.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let bin = env!("CARGO_BIN_EXE_tindock-simhost");
    let mut child = Command::new(bin)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    // It may end before it has read all of a malformed input.
    let _ = child.stdin.take().expect("its input").write_all(input);
    child.wait_with_output().expect("the process ends")
}

fn batch(number: u32, clock: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = (records.len() * 56 + tail.len()) as u32;
    let mut out = [number.to_le_bytes(), length.to_le_bytes(), (records.len() as u32).to_le_bytes()].concat();
    out.extend(clock.to_le_bytes());
    for record in records {
        out.extend(record);
        out.resize(out.len() + 56 - record.len(), 0);
    }
    out.extend(tail);
    out
}

fn record(code: u16, fields: &[&[u8]]) -> Vec<u8> {
    [&code.to_le_bytes()[..], &fields.concat()].concat()
}

const SETTINGS: &str = r#"{"instances": 2, "zone": 0, "discovery": "automatic", "a new key": [1],
 "caps": {"cancel": true, "most_assignments": 3}, "domain": {"class_stretch": [2.0], "tells_start": true},
 "rules": {"cold_share": 0.3, "overload_factor": 3.0, "warm_within_s": 8.0},
 "workloads": [{"effect": "retryable", "hard_limit_s": 5.0, "promised_time_s": 0.5, "utility": 1.0}]}"#;

/// Records that start an instance and list one worker in this condition.
fn start(condition: u8, settings: &str) -> (Vec<Vec<u8>>, Vec<u8>) {
    let length = settings.len() as u32;
    let mut entry = vec![0];
    entry.extend(2.0f32.to_le_bytes());
    entry.extend([0, 0, 0, 10, 1, 2, 3, 0x41, 0x1f, condition, 0, 0, 0, 0, 0, 0, 0, 0]);
    let records = vec![
        record(1110, &[&3u32.to_le_bytes()]), // ABOUT
        record(1000, &[&7u64.to_le_bytes(), &0u32.to_le_bytes(), &length.to_le_bytes()]), // START
        record(1010, &[&[0], &1u64.to_le_bytes(), &length.to_le_bytes(), &1u32.to_le_bytes()]), // LIST
    ];
    (records, [settings.as_bytes(), &entry].concat())
}

/// An event that a task arrives.
fn task(id: u64) -> Vec<u8> {
    let (none, left) = (0.0f64.to_le_bytes(), 5.0f64.to_le_bytes());
    record(1020, &[&id.to_le_bytes(), &none, &none, &0f32.to_le_bytes(), &1f32.to_le_bytes(), &left])
}

#[test]
fn a_task_is_assigned_to_the_listed_worker() {
    let (mut records, tail) = start(1, SETTINGS);
    records.push(task(77));
    let out = run(&[batch(1, 5.0, &[], &[]), batch(2, 5.0, &records, &tail)].concat());
    assert!(out.status.success() && out.stderr.is_empty());
    assert_eq!(out.stdout[..12], [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    let assignment = record(1000, &[&77u64.to_le_bytes(), &[10, 1, 2, 3, 0x41, 0x1f]]);
    assert!(
        out.stdout.windows(assignment.len()).any(|w| w == assignment),
        "the task is assigned to the worker"
    );
}

#[test]
fn malformed_input_ends_the_process_with_one_message() {
    let (good, tail) = start(1, SETTINGS);
    let with = |more: Vec<u8>| batch(2, 5.0, &[good.clone(), vec![more]].concat(), &tail);
    let (odd, odd_tail) = start(9, SETTINGS);
    let (bare, bare_tail) = start(1, "{}");
    let cases = [
        (batch(1, 5.0, &[], &[])[..9].to_vec(), "9 bytes of a batch header"),
        (batch(1, 5.0, &good, &tail)[..300].to_vec(), "then the input ends"),
        (batch(1, f64::NAN, &[], &[]), "NaN is not a valid duration"),
        ([batch(1, 5.0, &[], &[]), batch(2, 4.0, &[], &[])].concat(), "the clock goes back"),
        (batch(1, 5.0, &good, &tail[..40]), "exceed the tail of 40"),
        (batch(1, 5.0, &[task(1)], &[]), "event before any About"),
        (batch(1, 5.0, &[good[0].clone(), task(1)], &[]), "instance 3, which was not started"),
        (batch(1, 5.0, &odd, &odd_tail), "unknown condition 9"),
        (batch(1, 5.0, &bare, &bare_tail), "settings: no workloads"),
        (with(record(4, &[])), "unknown event code 4"),
        (with(record(1050, &[&5u64.to_le_bytes()])), "task id 5 was never given"),
        (with(record(1070, &[])), "is on none of this instance's lists"),
    ];
    for (input, want) in cases {
        let out = run(&input);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{want}");
        assert!(text.lines().count() == 1 && text.contains(want), "{text:?} lacks {want:?}");
    }
}
