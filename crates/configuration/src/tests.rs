use std::time::{Duration, Instant};

use rstest::rstest;

use crate::*;

const SERVICES: &str = r#"[{"name":"x","health_path":"/up","max_concurrency":72,"protocol":"h1",
    "memory_mb":512,"boot_ms":1400,"max_inflight":4},{"name":"y","health_path":null,"slots":3}]"#;

/// A configuration with one route: `fields` follow the required fields, or replace them if they start with
/// `$`.
fn with_route(fields: &str) -> String {
    let defaults =
        r#""name":"r","hostname":"A.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":9"#;
    let route = fields.strip_prefix('$').map_or(format!("{defaults},{fields}"), str::to_string);
    format!(r#"{{"revision":7,"routes":[{{{route}}}],"services":{SERVICES}}}"#)
}

fn read(text: &str) -> Result<Catalogue, ReadError> {
    Catalogue::read(text.as_bytes())
}

#[test]
fn all_fields_and_defaults_are_read() {
    let read =
        read(&with_route(r#""service":"y","max_retries":0,"later":{"a":[1e+5,"\u00e9\/",true]}"#)).unwrap();
    let route = Route {
        name: "r".into(),
        hostname: "A.example".into(),
        path_prefix: "/a/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 9,
        target_latency_ms: 9,
        priority: 0,
        max_retries: 1,
        shares: vec![Share { service: 1, weight: 1 }],
    };
    let service = |name: &str, path: Option<&str>, n: [u32; 4]| Service {
        name: name.into(),
        health_path: path.map(String::from),
        max_concurrency: n[0],
        memory_mb: n[1],
        boot_ms: n[2],
        max_inflight: n[3],
    };
    let services = vec![service("x", Some("/up"), [72, 512, 1400, 4]), service("y", None, [0, 0, 0, 3])];
    assert_eq!(read, Catalogue { revision: 7, routes: vec![route], services, limits: Limits::default() });
    let sent = postcard::to_allocvec(&read).unwrap();
    assert_eq!(postcard::from_bytes::<Catalogue>(&sent).unwrap(), read);
}

#[rstest]
#[case(r#""service":"x""#, &[(0, 1)])]
#[case(r#""service":"x","weights":[],"split":null"#, &[(0, 1)])]
#[case(r#""services":[{"service":"x","weight":3},{"name":"y","weight":1}]"#, &[(0, 3), (1, 1)])]
#[case(r#""weights":[{"service":"y","weight":3}]"#, &[(1, 3)])]
#[case(r#""weights":{"x":3,"y":0}"#, &[(0, 3), (1, 0)])]
#[case(r#""service":"x","split":[{"service":"y","weight":2.0}]"#, &[(1, 2)])]
#[case(r#""weights":{"x":0.5,"y":0.25}"#, &[(0, 1_000_000_000), (1, 500_000_000)])]
#[case(r#""weights":{"x":1e300,"y":1e-300}"#, &[(0, 1_000_000_000), (1, 1)])]
fn all_forms_of_splits_are_read(#[case] fields: &str, #[case] shares: &[(u32, u32)]) {
    let read = read(&with_route(fields)).unwrap();
    let found: Vec<_> = read.routes[0].shares.iter().map(|s| (s.service, s.weight)).collect();
    assert_eq!(found, shares);
}

#[rstest]
#[case(r#""service":"abc""#, r#"service "abc" is not among the services"#)]
#[case(r#""weights":{"x":1,"abc":0}"#, r#"service "abc" is not among the services"#)]
#[case(r#""priority":1"#, "service is missing")]
#[case(r#""service":3"#, "service is not a string")]
#[case(r#""weights":{"x":0,"y":0.0}"#, "weights has weights that sum to 0")]
#[case(r#""split":[]"#, "split has weights that sum to 0")]
#[case(r#""weights":{"x":-1}"#, r#"weights gives service "x" a weight that is not a number of at least 0"#)]
#[case(
    r#""weights":{"x":1e999}"#,
    r#"weights gives service "x" a weight that is not a number of at least 0"#
)]
#[case(
    r#""split":[{"service":"x"}]"#,
    r#"split gives service "x" a weight that is not a number of at least 0"#
)]
#[case(r#""split":["x"]"#, "split is not a list of services with weights")]
#[case(r#""split":{"x":1},"weights":{"x":1}"#, "split splits a route that another field splits already")]
#[case(r#""service":"x","priority":-1"#, "priority is not a whole number of at least 0")]
#[case(r#""service":"x","max_retries":1.5"#, "max_retries is not a whole number of at least 0")]
#[case(r#"$"name":"r","service":"x""#, "hostname is missing")]
#[case(r#"$"name":"r","hostname":"","service":"x""#, "hostname is empty")]
#[case(r#"$"name":"r","hostname":"h""#, "path_prefix is missing")]
#[case(
    r#"$"name":"r","hostname":"h","path_prefix":"/a""#,
    r#"path_prefix "/a" lacks a slash at its beginning or end"#
)]
#[case(
    r#"$"name":"r","hostname":"h","path_prefix":"/","route_type":"both""#,
    r#"route_type "both" is neither idempotent nor non_idempotent"#
)]
#[case(r#"$"name":"r","hostname":"h","path_prefix":"/","route_type":"idempotent""#, "timeout_ms is missing")]
#[case(
    r#"$"name":"r","hostname":"h","path_prefix":"/","route_type":"idempotent","timeout_ms":0"#,
    "timeout_ms is 0"
)]
#[case(
    r#"$"name":"r","hostname":"h","path_prefix":"/","route_type":"idempotent","timeout_ms":"9""#,
    "timeout_ms is not a whole number of at least 0"
)]
fn invalid_routes_are_reported_by_name_and_field(#[case] fields: &str, #[case] wrong: &str) {
    let error = read(&with_route(fields)).unwrap_err();
    assert_eq!(error.to_string(), format!(r#"routes[0] "r": {wrong}"#));
}

#[rstest]
#[case("", "line 1, column 1: the text ends too early")]
#[case("[]", "the configuration: this is not an object")]
#[case(r#"{"routes":[],"services":[]}"#, "the configuration: revision is missing")]
#[case(r#"{"revision":"7","routes":[]}"#, "the configuration: revision is not a whole number of at least 0")]
#[case(r#"{"revision":7,"services":[]}"#, "the configuration: routes is missing")]
#[case(r#"{"revision":7,"routes":[],"services":null}"#, "the configuration: services is missing")]
#[case(r#"{"revision":7,"routes":[],"services":{}}"#, "the configuration: services is not a list")]
#[case(r#"{"revision":7,"routes":[4],"services":[]}"#, r#"routes[0] "": this is not an object"#)]
#[case(r#"{"revision":7,"routes":[],"services":[{}]}"#, r#"services[0] "": name is missing"#)]
#[case(
    r#"{"revision":7,"routes":[],"services":[{"name":"x","max_inflight":0}]}"#,
    r#"services[0] "x": max_inflight is 0"#
)]
#[case(
    r#"{"revision":7,"routes":[],"services":[{"name":"x","health_path":"up"}]}"#,
    r#"services[0] "x": health_path "up" lacks a slash at its beginning or end"#
)]
#[case(
    r#"{"revision":7,"routes":[],"services":[{"name":"x"},{"name":"x"}]}"#,
    r#"services[1] "x": name is already used by services[0]"#
)]
#[case(
    r#"{"revision":7,"routes":[],"services":[],"limits":{"max_body_bytes":-1}}"#,
    "limits: max_body_bytes is not a whole number of at least 0"
)]
#[case(
    r#"{"revision":7,"routes":[],"services":[],"limits":7}"#,
    "the configuration: limits is not an object"
)]
#[case(
    r#"{"revision":7,"revision":8}"#,
    r#"line 1, column 27: the key "revision" appears twice in one object"#
)]
#[case(r#"{"revision":x7}"#, "line 1, column 14: this is not JSON")]
#[case("{}{}", "line 1, column 4: unexpected text after the configuration")]
#[case("{}\0", "line 1, column 3: a control character")]
#[case("{\n// no\n}", "line 2, column 1: a slash outside a string; JSON has no comments")]
#[case(r#"{"a":01}"#, "line 1, column 8: a number that is not valid in JSON")]
#[case(r#"{"a":true+1}"#, "line 1, column 10: a number that is not valid in JSON")]
#[case(r#"{"a":"\x"}"#, "line 1, column 7: an escape sequence that is not valid in JSON")]
#[case(r#"{"a":[1,]}"#, "line 1, column 10: this is not JSON")]
fn invalid_configurations_are_reported_with_their_location(#[case] text: &str, #[case] line: &str) {
    assert_eq!(read(text).unwrap_err().to_string(), line);
}

#[test]
fn two_routes_may_not_share_host_and_prefix() {
    let route = |host: &str| {
        format!(
            r#"{{"hostname":"{host}","path_prefix":"/a/","route_type":"idempotent",
            "timeout_ms":9,"service":"x"}}"#
        )
    };
    let of = |a: &str, b: &str| {
        read(&format!(r#"{{"revision":7,"routes":[{},{}],"services":{SERVICES}}}"#, route(a), route(b)))
    };
    assert!(of("a.example", "b.example").is_ok());
    let line = r#"routes[1] "": path_prefix is already used, with its hostname, by routes[0]"#;
    assert_eq!(of("a.example", "A.Example").unwrap_err().to_string(), line);
}

#[test]
fn oversized_input_is_rejected() {
    let deep = |n: usize| format!(r#"{{"a":{}{}}}"#, "[".repeat(n), "]".repeat(n));
    let wrong = |text: &str| match read(text) {
        Err(ReadError::Unreadable { wrong, .. }) => Some(wrong),
        _ => None,
    };
    assert_eq!(wrong(&deep(MAX_DEPTH - 1)), None);
    assert_eq!(wrong(&deep(MAX_DEPTH)), Some(SyntaxError::TooDeep));
    assert_eq!(wrong(&"[".repeat(1 << 20)), Some(SyntaxError::TooDeep));
    assert_eq!(wrong(&"//\n".repeat(1 << 20)), Some(SyntaxError::Comment));
    assert_eq!(wrong(&format!("[{}0]", "0,".repeat(MAX_VALUES))), Some(SyntaxError::TooMany));
    assert!(matches!(read(&" ".repeat(MAX_TEXT_BYTES + 1)), Err(ReadError::TooLong { .. })));
    assert_eq!(Catalogue::read(b"{\"a\":\"\xff\"}"), Err(ReadError::NotUtf8 { at: 6 }));
}

#[test]
fn a_truncated_text_is_always_rejected() {
    let text = with_route(r#""weights":{"x":3,"y":1.5e0}"#);
    assert!(read(&text).is_ok());
    for cut in 0..text.len() {
        assert!(read(&text[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn corrupted_bytes_never_panic() {
    let text =
        with_route(r#""split":[{"service":"x","weight":3}],"a":"\u00e9\ud83d\ude00\n","b":[-1.5e+3,null]"#);
    assert!(read(&text).is_ok());
    let mut rng = oorandom::Rand32::new(11);
    for _ in 0..20_000 {
        let mut bytes = text.clone().into_bytes();
        for _ in 0..rng.rand_range(1..5) {
            let at = rng.rand_range(0..bytes.len() as u32) as usize;
            match rng.rand_range(0..4) {
                0 => bytes[at] ^= 1 << rng.rand_range(0..8),
                1 => bytes[at] = br#"{}[]",:\/+-e0"#[rng.rand_range(0..13) as usize],
                2 => drop(bytes.remove(at)),
                _ => bytes.insert(at, bytes[bytes.len() - 1 - at]),
            }
        }
        match Catalogue::read(&bytes) {
            Ok(read) => drop(Finder::new(&read).find("a.example:1", "/a/b")),
            Err(error) => assert!(!error.to_string().contains('\n')),
        }
    }
}

#[rstest]
#[case("a.example", "/a/b/c", Some(1))]
#[case("A.Example:8080", "/a/b/", Some(1))]
#[case("a.example", "/a/b", Some(0))]
#[case("a.example", "/a/?/b/", Some(0))]
#[case("a.example", "/a", None)]
#[case("a.example", "/ä/b/", None)]
#[case("a.example", "", None)]
#[case("b.example", "/a/b/", Some(2))]
#[case("b.example", "/", Some(2))]
#[case("b.example:x", "/", None)]
#[case("[::1]:80", "/", Some(3))]
#[case("[::1]", "/", Some(3))]
#[case("c.example", "/a/b/", None)]
fn the_longest_matching_prefix_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] index: Option<usize>,
) {
    let mut catalogue = read(&with_route(r#""service":"x""#)).unwrap();
    for (host, prefix) in [("a.example", "/a/b/"), ("B.example", "/"), ("[::1]", "/")] {
        let mut route = catalogue.routes[0].clone();
        (route.hostname, route.path_prefix) = (host.into(), prefix.into());
        catalogue.routes.push(route);
    }
    assert_eq!(Finder::new(&catalogue).find(host, path), index);
}

#[test]
fn services_are_chosen_in_proportion_to_weights() {
    let route = &read(&with_route(r#""weights":{"x":3,"y":1}"#)).unwrap().routes[0];
    let firsts = (0..4_000u32).filter(|i| route.choose(i * (u32::MAX / 4_000)) == 0).count();
    assert!((2_999..=3_001).contains(&firsts), "{firsts}");
    assert_eq!((route.choose(0), route.choose(u32::MAX)), (0, 1));
    let route = &read(&with_route(r#""weights":{"x":0,"y":1}"#)).unwrap().routes[0];
    assert_eq!((route.choose(0), route.choose(u32::MAX)), (1, 1));
}

#[test]
fn reading_time_is_not_quadratic_in_routes() {
    let route = |i: usize| {
        format!(
            r#"{{"name":"r{i}","hostname":"h{}.example","path_prefix":"/p{i}/q/",
            "route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":400,"priority":2,
            "service":"x","max_retries":2}}"#,
            i % 7
        )
    };
    let routes: Vec<String> = (0..1_030).map(route).collect();
    let text = format!(r#"{{"revision":7,"routes":[{}],"services":{SERVICES}}}"#, routes.join(","));
    let started = Instant::now();
    let read = read(&text).unwrap();
    let finder = Finder::new(&read);
    let found = |i: usize| finder.find(&format!("h{}.example", i % 7), &format!("/p{i}/q/z"));
    assert!((0..1_030).all(|i| found(i) == Some(i)));
    // Far above the expected time (some milliseconds), and far below that of a quadratic reader.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}
