//! The process, started as in deployment and observed through the kernel, uses nothing that the platform
//! refuses.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::{Command, Stdio};
use tindock_scheduler_test_kit::peers::*;

/// Inodes of the sockets in a table under /proc/net whose row satisfies the condition.
fn sockets(table: &str, inode: usize, wanted: impl Fn(&[&str]) -> bool) -> BTreeSet<String> {
    let text = std::fs::read_to_string(format!("/proc/net/{table}")).unwrap_or_default();
    let rows = text.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row.len() > inode && wanted(row)).map(|row| row[inode].to_string()).collect()
}

/// The resources of this process that the platform refuses.
fn refused_resources(id: u32) -> BTreeSet<&'static str> {
    let mut found = BTreeSet::new();
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).expect("its threads").flatten();
    if tasks.into_iter().any(|task| {
        std::fs::read_to_string(task.path().join("children"))
            .is_ok_and(|children| !children.trim().is_empty())
    }) {
        found.insert("a child");
    }
    let links = std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors").flatten();
    let links: Vec<String> =
        links.filter_map(|fd| Some(std::fs::read_link(fd.path()).ok()?.display().to_string())).collect();
    let holds = |inodes: &BTreeSet<String>| {
        links.iter().any(|link| {
            link.strip_prefix("socket:[")
                .and_then(|l| l.strip_suffix(']'))
                .is_some_and(|i| inodes.contains(i))
        })
    };
    // 00010000: the kernel's flag for a listening socket.
    if holds(&sockets("unix", 6, |row| row[3] == "00010000")) {
        found.insert("a Unix listener");
    }
    if holds(&sockets("tcp6", 9, |_| true)) || holds(&sockets("udp6", 9, |_| true)) {
        found.insert("IPv6");
    }
    // Not refused by the platform, but used only by messages between schedulers and by policy groups, which
    // are both off.
    if holds(&sockets("udp", 9, |_| true)) {
        found.insert("a datagram socket");
    }
    if links.iter().any(|link| link.contains("io_uring")) {
        found.insert("io_uring");
    }
    found
}

/// Runs one task and one SIGHUP, so that every part of the process has been used.
fn run_and_inspect(name: &str, runtime: Option<&Path>) -> BTreeSet<&'static str> {
    let ((_discovery, agent), (workers, at)) = (listener(), listener());
    let path = write_config(name, &config(agent, &[entry("w0", at, "active")], 128));
    let mut command = Command::new(program());
    command.env("GW_CONFIG", path).env_remove("GW_MGMT").env_remove("TMPDIR");
    runtime.map(|folder| command.env("TMPDIR", folder));
    let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("a scheduler");
    let mut scheduler = Scheduler::from_child(child);
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "p1", "x");
    let mut line = Peer::accept(&workers);
    line.read();
    line.accept_task();
    scheduler.done("p1", "w0", "result");
    assert_eq!(client.read().body, "result");
    scheduler.signal("-HUP");
    scheduler.wait_for_line("configuration read again");
    refused_resources(scheduler.child.id())
}

/// Guards against a start that the platform's check refuses, or whose system calls fail there: child
/// processes, Unix listeners, IPv6, io_uring; and against a policy group that is on without being configured.
/// With a runtime folder the hand-over socket exists, and is found here.
#[test]
fn resources_refused_by_the_platform_are_not_used() {
    assert_eq!(run_and_inspect("bare", None), BTreeSet::new());
    let folder = runtime("bare");
    std::fs::create_dir_all(&folder).expect("a folder");
    assert_eq!(run_and_inspect("with-runtime", Some(&folder)), BTreeSet::from(["a Unix listener"]));
}

/// Guards against a statically linked build, into which the platform cannot load its library.
#[test]
fn program_is_linked_dynamically() {
    let program = std::fs::read(program()).expect("the program");
    let names = |name: &[u8]| program.windows(name.len()).any(|part| part == name);
    assert!(names(b"ld-linux") && names(b"libc.so.6"), "no loader, or no C library");
}
