//! Syntax of scenario files, for `tindock play --list`. Each line is a valid example.

/// Lines by topic. The second string explains the line, with defaults in brackets.
pub const LIST: [(&str, &[(&str, &str)]); 4] = [
    (
        "Setup",
        &[
            ("title Two zones", "name of the scenario"),
            ("length 20", "seconds of traffic (20; at most 600)"),
            ("lead 6", "seconds for machines to come up before traffic (6; at most 60)"),
            ("zones a:west b:west", "zones, each with its region"),
            ("edge a 2", "edge machines in a zone, edge-a-1 and so on; clients are in zones that have some"),
            ("edge b 2", "(200 edge machines in all at most)"),
            ("core a 1", "core machines in a zone, core-a-1 and so on (64 at most)"),
            ("core b 2", "the configuration is kept by a majority of them"),
            ("hosts a 2 memory 4096", "hosts for instances, host-a-1 and so on, MB each (1000 at most)"),
            ("hosts b 2 memory 4096", ""),
            (
                "net zone 0.2 cross 0.5 region 8 client 1 loss 0",
                "ms one way within a zone, between zones, \
                between regions, to clients; loss as a share of packets",
            ),
            (
                "platform rate 27 duty 150 lag 0.8 addresses 4000",
                "lists a second, starts and stops a \
                second, seconds by which lists lag, addresses for instances",
            ),
            (
                "platform brush 0.01 brush-ms 5",
                "share of new connections that hold a slot, and for how many ms \
                (never)",
            ),
            (
                "timers drain 3 convergence 3 contact 4 reuse 2 grace 6 stretch 12",
                "bounds of the rules, \
                seconds",
            ),
            ("timers downgrade 0.25 ack 5 seed-lag 3 recovery 10 loss-slack 0.5", "more of them"),
            (
                "timers budget-ratio 0.2 budget-slack 58 budget-window 10 sync-ms 1",
                "retry budget: a \
                share of requests and so many more in so many seconds; ms of a disk write",
            ),
            (
                "service dock slots 4 memory 512 boot 1400 spread 0.3",
                "a function: calls at once of an \
                instance, MB, ms to start and their spread (256, 1000, 0.3)",
            ),
            ("service log copies 3 slots 2 memory 192 boot 900", "three alike: log-1 to log-3"),
            (
                "route check on dock rate 60 aim 400 work 80",
                "requests a second over all zones, aim and \
                mean work in ms (0, 400, 60)",
            ),
            (
                "route book on dock once rate 20 deadline 4000 timeout 4000 priority 1 retries 2",
                "once: \
                must not run twice; ms; priority 0 is the most urgent (2)",
            ),
            ("route batch on log rate 20 skew 0.9", "copies share the rate as 1 / k^skew (0.9)"),
        ],
    ),
    (
        "Actions: `at SECOND ...`, counted from the start of traffic",
        &[
            ("at 1 burst check x2 for 3", "more requests: of a route or of `all`; `in a` for one zone only"),
            ("at 1 burst all x3 for 3 in a", ""),
            (
                "at 2 kill edge-a-1 for 2",
                "its processes are killed and started again (without `for`: stay \
                down); `power`: no resets",
            ),
            ("at 2 kill core-a-1 for 2 power", ""),
            ("at 2 wipe core-b-1 for 2", "it loses its disk as well"),
            (
                "at 3 freeze holder for 2",
                "stops running; `holder`: the lease holder; `acker`: the machine that \
                acknowledged last",
            ),
            (
                "at 4 roll edge* gap 2 for 1",
                "SIGTERM, one each `gap` seconds, started again \
                after its end",
            ),
            ("at 5 cut edge-a-1 rest for 2", "no path between two sides; `rest`: all other machines"),
            ("at 5 cut core-a-1 core-b-1 one-way for 2", "only what the first sends to the second is lost"),
            (
                "at 5 harm zone:a zone:b loss 0.05 delay 20 for 2",
                "packets lost and ms more between two \
                sides",
            ),
            ("at 6 drain host-a-1", "the platform drains a host"),
            (
                "at 6 crash host-b-1 for 4 silent",
                "a host fails with what runs on it; `silent`: without \
                resets",
            ),
            ("at 7 late list by 2 for 3", "the platform's lists lag more, by seconds"),
            ("at 7 slow list by 1 for 3", "lists take longer, seconds"),
            ("at 7 refuse list for 3", "also `refuse calls`: starts and stops"),
            ("at 7 lose calls for 2", "starts and stops are done, their answers are lost"),
            ("at 7 silence platform for 2", "no answer to anything"),
            ("at 8 lose answers 0.1 for 3", "workers run a share of requests and reset the connection"),
            (
                "at 8 spoil cut 0.1 for 3",
                "also stalled, garbled, unsealed, surplus, failed: faults that workers \
                apply to a share of answers",
            ),
            (
                "at 9 config touch",
                "the operator sends a configuration with new times; `to core-a-1`: \
                sent there first",
            ),
            (
                "at 9 config move batch dock by 2",
                "a route to another function; `by`: which operator (a \
                remark)",
            ),
            ("at 9 config add fresh log rate 5", "a new route"),
            ("at 9 config drop batch", "a route is removed"),
            ("at 9 config invalid", "an invalid configuration"),
            ("at 9 config touch wipe 2", "the machine that acknowledges it loses its disk at once, for 2 s"),
            (
                "at 9 replace core-b-2 after 0.5",
                "removed permanently; an empty one starts at another address",
            ),
            ("at 9 disk core-a-1 slow 20 full for 2", "writes take so many times as long; `full`: fail"),
            (
                "at 9 freeze half:edge*,core-a-1 for 1",
                "machines: names by comma, * for any rest, half: \
                every second one, zone:a, clients, platform",
            ),
        ],
    ),
    (
        "Expectations: `expect ...`, in addition to the rules, which are always checked",
        &[
            ("expect served >= 0.9", "share of requests; `route NAME`, `from S`, `to S` for a part of them"),
            ("expect aim >= 0.5 route check from 0 to 20", "the same for requests served within the aim"),
            (
                "expect limit <= 10",
                "rejected as full by one service's instances in 5 s; `anytime`: \
                also during disturbances",
            ),
            ("expect limit anytime <= 200", ""),
            ("expect holder within 4", "longest time without a lease holder, seconds"),
            ("expect acked within 5", "longest time until a change is acknowledged, seconds"),
            (
                "expect recovered within 10",
                "0.95 is served from this many seconds after the last disturbance",
            ),
            ("expect starts <= 100", "instances started"),
            ("expect left <= 100", "instances at the end"),
            (
                "expect reused >= 0",
                "addresses that went to another service: checks that the scenario \
                exercises address reuse",
            ),
            ("expect configuration kept", "restates a rule that is always checked; so do the next three"),
            ("expect never doubled", ""),
            ("expect drain kept", ""),
            ("expect budget kept", ""),
        ],
    ),
    ("Comments", &[("# as you like", "to the end of the line")]),
];

/// Text that `tindock play --list` prints.
pub fn list() -> String {
    let mut text = String::new();
    for (about, lines) in LIST {
        text.push_str(&format!("{about}\n"));
        for (line, what) in lines {
            let first =
                if what.is_empty() { format!("  {line}\n") } else { format!("  {line}\n      {what}\n") };
            text.push_str(&first);
        }
        text.push('\n');
    }
    text.push_str(
        "Settings for --sweep: length, lead, net.KEY, platform.KEY, timers.KEY, edge.ZONE, \
        core.ZONE, hosts.ZONE,\n",
    );
    text.push_str("hosts.ZONE.memory, service.NAME.KEY, route.NAME.KEY (keys as above)\n");
    text
}
