//! Configurations in TOML: values, overrides, and each problem with its place.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tindock::types::{Discovery, Effect, Group};
use tindock_scheduler_config::{installation, Layers, SchedulerConfig, ShownValue, Source};

const GOOD: &str = "\
listen = \"127.0.0.1:7000\"
zone = \"north\"
[[workload]]
name = \"release\"
effect = \"deduplicated\"
among = \"zone\"
memory = \"30s\"
promised = \"500ms\"
hard-limit = \"10s\"
kind = \"std\"
[[customer]]
name = \"acme\"
tasks-per-second = 12.5
[workers]
progress-every = \"1s\"
[[worker]]
name = \"y\"
address = \"10.0.0.1:5000\"
";

fn read(text: &str, layers: &Layers) -> Result<(SchedulerConfig, Vec<ShownValue>), Vec<String>> {
    let read = installation::read("f", Path::new("/etc/tindock"), text, layers);
    read.map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

fn problems(text: &str) -> Vec<String> {
    read(text, &Layers::default()).map(|_| Vec::new()).unwrap_or_else(|problems| problems)
}

#[test]
fn valid_configuration_gives_the_policy_settings() {
    let (config, _) = read(GOOD, &Layers::default()).expect("a configuration");
    let row = &config.settings.workloads[0];
    assert_eq!(row.effect, Effect::Deduplicated(Group::Zone));
    assert_eq!((row.promised, row.memory), (Duration::from_millis(500), Duration::from_secs(30)));
    assert_eq!(
        (config.settings.discovery, config.settings.quotas.as_slice()),
        (Discovery::Pushed, &[12.5][..])
    );
    assert_eq!(config.names.kinds[row.kind.expect("a kind")], "std");
    assert_eq!(config.inventory.expect("fixed workers").fixed.len(), 1);
}

/// Guards against a value from the wrong layer: flags override variables, those the file, and each source is
/// recorded.
#[test]
fn flags_override_variables_and_variables_the_file() {
    let variables =
        [("TINDOCK_LIMITS__SOCKETS", "500"), ("TINDOCK_WORKERS__CONNECT_WITHIN", "1s"), ("HOME", "/")];
    let variables = variables.iter().map(|(k, v)| (k.to_string(), v.to_string()));
    let mut layers = Layers::from_variables(variables);
    layers.flags.insert("limits.sockets".into(), "600".into());
    let (config, shown) = read(GOOD, &layers).expect("a configuration");
    assert_eq!(config.connect_timeout, Duration::from_secs(1));
    assert_eq!(
        config.resource_limits.client_connections + config.resource_limits.worker_connections,
        600 - 32
    );
    let source = |path: &str| shown.iter().find(|s| s.path == path).map(|s| s.source.clone());
    assert_eq!(source("limits.sockets"), Some(Source::Flag));
    assert_eq!(
        source("workers.connect-within"),
        Some(Source::Variable("TINDOCK_WORKERS__CONNECT_WITHIN".into()))
    );
    assert_eq!(source("workers.keep-idle"), Some(Source::Default));
    assert!(matches!(source("zone"), Some(Source::File(place)) if place.line == 2));
}

/// Guards against a vague report: each change to a valid file gives one problem, with its place and this
/// text.
#[test]
fn invalid_values_are_reported_with_their_place() {
    let changes: &[(&str, &str, &str)] = &[
        ("zone = ", "zne = ", "f:2:1: unknown key \"zne\"; zone was meant?"),
        ("\"north\"", "\"\"", "f:2:8: zone: \"\"; a word was expected"),
        ("\"127.0.0.1:7000\"", "\"localhost\"", "f:1:10: listen: \"localhost\"; address:port was expected"),
        ("\"127.0.0.1:7000\"", "7000", "f:1:10: listen: \"7000\"; address:port"),
        ("\"500ms\"", "500", "f:8:12: promised: \"500\"; a time with its unit was expected"),
        ("\"500ms\"", "\"500 parsecs\"", "f:8:12: promised: \"500 parsecs\"; a time"),
        ("\"500ms\"", "\"20s\"", "f:3:1: promised in 20s, but the hard limit is 10s"),
        ("promised = \"500ms\"\n", "", "f:3:1: no promised in workload[0]"),
        (
            "\"deduplicated\"",
            "\"safe\"",
            "f:5:10: effect: \"safe\"; one of idempotent, deduplicated, unrepeatable",
        ),
        ("among = \"zone\"\n", "", "f:3:1: no among in workload[0]"),
        ("\"release\"", "\"a/b\"", "f:4:8: name: \"a/b\"; up to 64 letters"),
        ("12.5", "-1", "f:13:20: tasks-per-second: \"-1\"; a number from 0"),
        ("12.5", "[1]", "f:13:20: array for tasks-per-second; one value"),
        ("10.0.0.1:5000", "10.0.0.1", "f:18:11: address: \"10.0.0.1\" is no address"),
        ("[workers]", "[wokers]", "f:14:2: unknown key \"wokers\"; workers was meant?"),
        ("[[customer]]", "[customer]", "f:11:2: table for customer; a list was expected"),
        ("[workers]", "[workers", "f:14:9: no TOML that can be read"),
        ("[workers]", "[limits]\nsockets = 10\n[workers]", "f:14:2: 10 sockets are too few"),
        (
            "[workers]",
            "[limits]\nmemory = \"8MB\"\n[workers]",
            "f:14:2: 7.62939453125 MB of memory are too little",
        ),
        ("[workers]", "[inventory]\n[workers]", "f:14:2: no files in inventory"),
        ("[workers]", "[inventory]\nfiles = [1]\n[workers]", "f:15:10: integer in files; a word"),
        (
            "[workers]",
            "[inventory]\nfiles = [\"a\"]\n[inventory.columns]\nnme = \"n\"\n[workers]",
            "f:17:1: \"nme\" is no field",
        ),
        (
            "[workers]",
            "[inventory]\nfiles = [\"a\"]\nguard-share = 2\n[workers]",
            "f:16:15: guard-share: \"2\"; a number from 0 to 1",
        ),
        (
            "[workers]",
            "[log]\nlevel = \"loud\"\n[workers]",
            "f:15:9: level: \"loud\"; one of error, warning, info, debug",
        ),
        ("[workers]", "[workers]\nweights = \"size\"", "f:15:11: weights: \"size\"; one of sizes, moving"),
        ("[workers]", "[workers]\nprobes = true", "f:15:1: unknown key \"probes\""),
        (
            "[workers]",
            "[peers]\nall = [\"127.0.0.1:7001\"]\n[workers]",
            "f:14:2: peers.all without peers.listen",
        ),
        (
            "[workers]",
            "[peers]\nlisten = \"127.0.0.1:7001\"\nall = [\"127.0.0.1:7002\"]\n[workers]",
            "f:14:2: peers.all does not name 127.0.0.1:7001",
        ),
        (
            "[workers]",
            "[peers]\nlisten = \"127.0.0.1:1\"\nall = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n[workers]",
            "f:14:2: peers.all names 2 schedulers; 1 at the most",
        ),
        (
            "[workers]",
            "[peers]\nlisten = \"127.0.0.1:1\"\nall = [\"127.0.0.1:1\", \"one:2\"]\n[workers]",
            "f:16:23: \"one:2\"; address:port was expected",
        ),
        (
            "[workers]",
            "[peers]\nlisten = \"127.0.0.1:1\"\nall = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n[workers]",
            "f:16:23: \"127.0.0.1:1\" again",
        ),
    ];
    for (from, to, expected) in changes {
        let text = GOOD.replacen(from, to, 1);
        let reported = problems(&text);
        assert!(reported.iter().any(|line| line.starts_with(expected)), "{from} -> {to}: {reported:#?}");
    }
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = "zne = 1\nseed = \"x\"\n[[workload]]\nname = \"a\"\n";
    let reported = problems(text);
    let lines: Vec<&str> = reported.iter().map(|line| &line[..4]).collect();
    assert_eq!(lines, ["f:1:", "f:1:", "f:2:", "f:3:", "f:3:", "f:3:"], "{reported:#?}");
}

#[test]
fn unknown_overrides_are_reported() {
    let flags: BTreeMap<_, _> = [("limits.socket".to_string(), "5".to_string())].into();
    let reported = read(GOOD, &Layers { flags, ..Layers::default() }).map(|_| ()).expect_err("a problem");
    assert_eq!(reported, ["--set:1:1: unknown key \"limits.socket\"; limits.sockets was meant?"]);
}

/// Guards against messages between schedulers that are on by default, and against a wrong position among
/// them.
#[test]
fn peers_are_off_by_default_and_set_the_position() {
    let (config, _) = read(GOOD, &Layers::default()).expect("a configuration");
    assert_eq!((config.settings.members, config.settings.live_weights, config.peers), (0, false, None));
    let peers = "[peers]\nlisten = \"10.0.0.2:1\"\nall = [\"10.0.0.1:1\", \"10.0.0.2:1\"]\n\
                 [workers]\nschedulers = 3\nweights = \"moving\"\nreports = [\"backlog\", \"free-slots\"]";
    let (config, _) =
        read(&GOOD.replacen("[workers]", peers, 1), &Layers::default()).expect("a configuration");
    let settings = &config.settings;
    assert_eq!(
        (settings.members, settings.position, settings.schedulers, settings.message_cost),
        (2, 1, 3, 0.01)
    );
    assert_eq!(
        (settings.live_weights, settings.report_free, settings.report_waiting),
        (true, Some(1), Some(0))
    );
    assert_eq!(config.peers.expect("others").all.len(), 2);
}

/// Guards against examples that new users cannot start from.
#[test]
fn example_files_are_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tindock.toml");
    let config = tindock_scheduler_config::from_file(&path, &Layers::default()).expect("a configuration");
    assert_eq!(config.names.workloads, ["resize", "charge"]);
    let old = path.with_file_name("config.json");
    assert_eq!(
        tindock_scheduler_config::from_file(&old, &Layers::default()).expect("JSON").names.workloads,
        config.names.workloads
    );
}
