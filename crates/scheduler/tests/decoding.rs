//! Decoding of what comes from outside, and counting of the bytes that go out.

use insta::assert_snapshot;
use tindock_scheduler::clients::head_scanner::HeadScanner;
use tindock_scheduler::listing;
use tindock_scheduler::scheduler_config::Names;
use tindock_scheduler::workers::load_reports;
use tindock_scheduler::workers::write_progress::WriteProgress;

/// Guards against tasks of several slots shed for lack of a load report: workers send it as text or as JSON.
#[test]
fn load_reports_decode_from_text_and_json() {
    let names = ["backlog".to_string(), "x0".to_string()];
    let read = |body: &str| load_reports::decode(body.as_bytes(), &names);
    assert_eq!(read("TEXT x0=3.8, backlog=0\n"), Some(vec![0.0, 3.8]));
    assert_eq!(read(r#"JSON {"named_metrics": {"backlog": 2, "x0": 1}}"#), Some(vec![2.0, 1.0]));
    assert_eq!(read(r#"{"backlog": 2, "x0": 1.5}"#), Some(vec![2.0, 1.5]));
    for wrong in
        ["", "TEXT backlog=0", "TEXT backlog=0, x0=much", "TEXT backlog=0, x0=NaN", "JSON {", "\u{0}"]
    {
        assert_eq!(read(wrong), None, "{wrong:?}");
    }
}

/// Guards against a partly applied list: one wrong entry rejects the whole list, including its new zone and
/// kind names.
#[test]
fn a_list_with_a_wrong_entry_is_rejected_as_a_whole() {
    let mut names = Names { zones: vec!["a".into()], kinds: vec!["m2".into()], ..Names::default() };
    let known = names.clone();
    let entry = |zone: &str, more: &str| {
        let base =
            r#""name":"w","address":"127.0.0.1:1","type":"m2","group":3,"status":"active","weight":1.5"#;
        format!(r#"{{{base},"zone":"{zone}"{more}}}"#)
    };
    let mut read = |entries: &[String]| {
        let body = format!(r#"{{"index":7,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        let read = listing::decode(body.as_bytes(), &mut names);
        let line =
            read.map_or_else(|why| format!("turned down: {why}"), |list| format!("{:?}", list.entries));
        (line, names.zones.clone())
    };
    let (line, zones) = read(&[entry("b", ""), entry("a", r#","since_ms":-1.5"#)]);
    assert!(line.starts_with("turned down: "), "{line}");
    assert_eq!(zones, known.zones);
    let (line, zones) = read(&[entry("b", r#","since_ms":1700000000000"#), entry("a", "")]);
    assert_snapshot!(format!("{line}\n{zones:?}"));
}

/// Guards against a task counted as never run though its last byte was written, however the writes are split.
#[test]
fn write_progress_tracks_first_and_last_byte_for_any_split() {
    let message = b"POST /a HTTP/1.1\r\nX: \r\r\n\r\nbody";
    for cut in 1..message.len() {
        let progress = WriteProgress::default();
        for sent in 0..2 {
            progress.start_message(4);
            assert!(progress.nothing_written() && !progress.is_complete(), "message {sent}");
            // All but the last byte may be written at once: a connection that breaks before the last byte ran
            // nothing.
            assert_eq!(
                (progress.writable(&message[..cut]), progress.writable(message)),
                (cut, message.len() - 1)
            );
            progress.record_write(&message[..cut]);
            assert!(!progress.nothing_written() && !progress.is_complete(), "cut at {cut}");
            progress.record_write(&message[cut..]);
            assert!(progress.is_complete(), "cut at {cut}");
        }
    }
    let progress = WriteProgress::default();
    progress.start_message(0);
    progress.record_write(b"DELETE /jobs/a HTTP/1.1\r\n\r");
    assert!(!progress.is_complete());
    progress.record_write(b"\n");
    assert!(progress.is_complete());
}

/// Guards against a head that is read differently from hyper's reading of its lengths, however the reads are
/// split.
#[test]
fn message_framing_is_found_for_any_split() {
    let texts = [
        "\r\nPOST /a HTTP/1.1\r\nHost: s\r\n\r\nGET / HTTP/1.1\n\nGET /",
        "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\nPOST /b HTTP/1.1\r\nCONTENT-length:0\r\n\r\n",
        "POST /a HTTP/1.1\r\nX: content-length: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
         0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: +4\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length:                                          4\r\n\r\n",
    ];
    let read = |parts: &[&[u8]]| {
        let mut heads = HeadScanner::default();
        parts.iter().for_each(|part| heads.feed(part));
        (format!("{:?}", [(); 3].map(|()| heads.take())), heads.has_message())
    };
    let mut trace = String::new();
    for text in texts {
        let whole = read(&[text.as_bytes()]);
        for cut in 0..text.len() {
            let (before, after) = text.as_bytes().split_at(cut);
            assert_eq!(read(&[before, after]), whole, "{text:?} cut at {cut}");
        }
        trace += &format!("{text:?}\n  {whole:?}\n");
    }
    assert_snapshot!(trace);
}
