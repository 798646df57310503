//! The operators' configuration becomes the product's tables, or is refused
//! whole with a reason that names the row.

use bluebellswitch::{
    clock::Span,
    context::Importance,
    document::Snapshot,
    id::Version,
    platform::{
        bounds,
        config, //
    },
};
use proptest::prelude::*;
use serde_json::{
    Value,
    json, //
};

/// A configuration with one row of each kind.
pub fn document() -> Value {
    json!({ "version": 7, "base_version": 5, "resources": [
        { "type": "routes", "metadata": { "name": "r-view" }, "spec": {
            "host": "mill.example", "prefix": "/view/", "kind": "safe",
            "timeout_ms": 1200, "target_latency_ms": 1500, "priority": 2,
            "traffic_split": [{ "service": "old", "weight": 90 }, { "service": "new", "weight": 10 }],
            "max_attempts": 2, "auth_exempt": false } },
        { "type": "routes", "metadata": { "name": "r-issue" }, "spec": {
            "host": "mill.example", "prefix": "/issue/", "kind": "unsafe",
            "timeout_ms": 1500, "target_latency_ms": 2000, "priority": 0,
            "service": "old", "max_attempts": 1, "auth_exempt": true } },
        { "type": "services", "metadata": { "name": "old" }, "spec": { "health_path": "/health" } },
        { "type": "tenants", "metadata": { "name": "mill" }, "spec": {
            "api_keys": ["a-key", "another.key"], "priority": 1, "rate_per_s": 48.5, "burst": 48 } },
        { "type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 1000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 } },
        { "type": "of-tomorrow", "metadata": { "name": "x" }, "spec": 5 },
    ]})
}

fn read(document: &Value) -> Snapshot {
    config::parse(&document.to_string()).expect("a configuration")
}

#[test]
fn every_kind_of_row_is_read() {
    let snapshot = read(&document());
    assert_eq!(snapshot.version, Version(7));
    let view = &snapshot.tables.routes[0];
    assert_eq!(view.prefix.as_deref(), Some("/view/"));
    assert_eq!(view.deadline, Span::from_ms(1200));
    assert_eq!((view.retries, view.idempotent), (1, Some(true)));
    assert_eq!(view.importance, Importance::Normal);
    let weights: Vec<_> = view.split.iter().map(|part| part.weight).collect();
    assert_eq!(weights, [90_000, 10_000]);
    let issue = &snapshot.tables.routes[1];
    assert!(issue.keyless && issue.idempotent == Some(false) && issue.retries == 0);
    assert_eq!(issue.importance, Importance::Critical);
    assert_eq!(issue.body.as_u64(), 1000);
    let pools: Vec<_> = snapshot
        .tables
        .pools
        .iter()
        .map(|p| p.name.to_string())
        .collect();
    assert_eq!(pools, ["new", "old"]);
    let callers = snapshot.callers.expect("limits");
    assert_eq!(
        (callers.headers.as_u64(), callers.idle),
        (16384, Span::from_secs(15))
    );
}

#[test]
fn a_service_tells_what_its_cold_servers_take() {
    let mut document = document();
    let spec = &mut document["resources"][2]["spec"];
    *spec = json!({ "warmup_s": 2.5, "warmup_per_s": 13.5, "protocol": "h1" });
    let snapshot = read(&document);
    let pool = |name: &str| {
        let mut pools = snapshot.tables.pools.iter();
        pools
            .find(|pool| pool.name.as_str() == name)
            .expect("a pool")
    };
    assert_eq!(
        pool("old").cold.map(|rate| rate.to_string()),
        Some("13.5/s".to_owned())
    );
    assert_eq!(pool("old").warmup, Span::from_ms(2500));
    assert_eq!(pool("new").cold, None);
}

fn evacuates(key: &str, zone: Option<&str>) {
    let domain = config::evacuated_domain(key).map(|domain| domain.to_string());
    assert_eq!(domain.as_deref(), zone);
}

cases! { evacuates:
    a_zone => ("op/evacuate/ub-a", Some("ub-a")),
    no_zone => ("op/evacuate/", None),
    a_name_that_is_none => ("op/evacuate/a b", None),
    the_configuration => ("op/config", None),
}

/// Keys are opaque, with a dot in them or without; what is kept is no key.
#[test]
fn opaque_keys_are_known_by_their_text_alone() {
    let teams = read(&document()).teams;
    for key in ["a-key", "another.key"] {
        let found = teams.authenticate(key).expect("a key");
        assert_eq!(found.team.to_string(), "mill");
        assert!(!format!("{found:?}").contains(key));
    }
    assert!(teams.authenticate("a-kez").is_none());
    assert!(teams.authenticate("another").is_none());
    assert_eq!(teams.teams[0].rate.as_f64(), 48.5);
}

/// The longest beginning of the path wins, byte for byte, on its host alone.
fn matches(host: &str, path: &str, name: Option<&str>) {
    let mut document = document();
    let mut inner = document["resources"][1].clone();
    inner["metadata"]["name"] = "r-inner".into();
    inner["spec"]["prefix"] = "/view/inner/".into();
    document["resources"]
        .as_array_mut()
        .expect("rows")
        .push(inner);
    let tables = read(&document).tables;
    let found = tables
        .route(host, "GET", path)
        .map(|route| route.name.to_string());
    assert_eq!(found.as_deref(), name);
}

cases! { matches:
    below_a_prefix => ("mill.example", "/view/2f", Some("r-view")),
    the_prefix_itself => ("mill.example", "/view/", Some("r-view")),
    without_the_slash => ("mill.example", "/view", None),
    a_longer_prefix => ("mill.example", "/view/inner/x", Some("r-inner")),
    almost_a_longer_prefix => ("mill.example", "/view/innerx", Some("r-view")),
    doubled_slashes => ("mill.example", "/view//x", Some("r-view")),
    another_host => ("kiln.example", "/view/2f", None),
    a_port_and_capitals => ("Mill.example:80", "/view/2f", Some("r-view")),
}

/// One change makes the whole version unusable, and the reason names the row.
fn refused(change: fn(&mut Value), says: &str) {
    let mut document = document();
    change(&mut document["resources"]);
    let error = config::parse(&document.to_string()).expect_err("refused");
    assert!(error.reason().contains(says), "{error}");
}

cases! { refused:
    no_prefix => (|rows| rows[0]["spec"]["prefix"] = "view".into(), "r-view"),
    no_service => (|rows| rows[1]["spec"]["service"] = Value::Null, "r-issue"),
    no_attempts => (|rows| rows[1]["spec"]["max_attempts"] = 0.into(), "attempt"),
    odd_kind => (|rows| rows[0]["spec"]["kind"] = "often".into(), "often"),
    below_zero => (|rows| rows[0]["spec"]["traffic_split"][0]["weight"] = (-1).into(), "weight"),
    odd_name => (|rows| rows[3]["metadata"]["name"] = "a b".into(), "a b"),
    odd_type => (|rows| rows[4]["spec"]["max_body_bytes"] = "much".into(), "limits"),
    no_time => (|rows| rows[1]["spec"]["timeout_ms"] = 0.into(), "r-issue"),
    negative_time => (|rows| rows[1]["spec"]["timeout_ms"] = (-5).into(), "r-issue"),
    negative_target => (|rows| rows[1]["spec"]["target_latency_ms"] = (-1e300).into(), "r-issue"),
    negative_rate => (|rows| rows[3]["spec"]["rate_per_s"] = (-1).into(), "mill"),
    negative_burst => (|rows| rows[3]["spec"]["burst"] = (-1).into(), "mill"),
    negative_warmup => (|rows| rows[2]["spec"]["warmup_s"] = (-1).into(), "old"),
    huge_weight => (|rows| rows[0]["spec"]["traffic_split"][0]["weight"] = 1e300.into(), "weight"),
    no_body => (|rows| rows[4]["spec"]["max_body_bytes"] = 0.into(), "limits"),
    no_spec => (|rows| rows[1]["spec"] = Value::Null, "r-issue"),
}

/// Guards against a version that no other one can follow.
#[test]
fn a_version_that_nothing_follows_is_refused() {
    let mut document = document();
    document["version"] = u64::MAX.into();
    config::parse(&document.to_string()).expect_err("refused");
}

/// Guards against figures that wrap or never end when a number is huge.
#[test]
fn huge_figures_are_shortened() {
    let mut document = document();
    let rows = &mut document["resources"];
    rows[0]["spec"]["timeout_ms"] = 1e300.into();
    rows[0]["spec"]["target_latency_ms"] = 1e300.into();
    rows[2]["spec"] = json!({ "warmup_s": 1e308, "warmup_per_s": 1e300 });
    rows[3]["spec"]["rate_per_s"] = 1e300.into();
    let snapshot = read(&document);
    let day = Span::from_secs(86_400);
    let route = &snapshot.tables.routes[0];
    assert_eq!((route.deadline, route.target), (day, Some(day)));
    let mut pools = snapshot.tables.pools.iter();
    let pool = pools.find(|pool| pool.name.as_str() == "old");
    assert!(pool.is_none_or(|pool| pool.warmup <= day));
    assert_eq!(snapshot.teams.teams[0].rate.as_f64(), 1e9);
}

/// The configuration with one more row, as text.
fn with_row(row: &str, at: usize) -> String {
    let mut document = document();
    let rows = document["resources"].as_array_mut().expect("rows");
    rows.insert(at.min(rows.len()), json!("ROW"));
    document.to_string().replacen("\"ROW\"", row, 1)
}

/// Guards against a configuration that is refused for a row that nobody reads.
fn ignored(row: &str) {
    for at in 0..7 {
        let snapshot = config::parse(&with_row(row, at)).expect("a configuration");
        assert_eq!(snapshot, read(&document()));
    }
}

cases! { ignored:
    unknown_row_with_a_number_out_of_range => (r#"{"type":"x","spec":{"a":1e400}}"#),
    unknown_row_with_deep_nesting =>
        (&format!(r#"{{"type":"x","spec":{}{}}}"#, "[".repeat(5000), "]".repeat(5000))),
    unknown_row_with_odd_metadata => (r#"{"type":"x","metadata":-1e999,"spec":{}}"#),
    unknown_row_without_a_spec => (r#"{"type":"x"}"#),
    unknown_row_with_another_field => (r#"{"type":"x","spec":{},"more":[1e400]}"#),
}

/// Guards against a partial configuration: a row of a known type is never left out.
fn not_left_out(row: &str) {
    for at in 0..7 {
        config::parse(&with_row(row, at)).expect_err("refused");
    }
}

cases! { not_left_out:
    known_row_with_a_number_out_of_range =>
        (r#"{"type":"services","metadata":{"name":"s"},"spec":{"warmup_s":1e400}}"#),
    known_row_without_a_spec => (r#"{"type":"tenants","metadata":{"name":"t"}}"#),
    row_without_a_type => (r#"{"spec":{}}"#),
    row_that_is_a_number => ("7"),
}

/// JSON that is well formed and odd.
fn odd_value() -> impl Strategy<Value = String> {
    prop_oneof![
        (0usize..3000).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
        (0usize..3000).prop_map(|depth| r#"{"a":"#.repeat(depth) + "1" + &"}".repeat(depth)),
        (any::<i64>(), 0u32..2000).prop_map(|(digits, exponent)| format!("{digits}e{exponent}")),
        any::<String>().prop_map(|text| json!(text).to_string()),
    ]
    .prop_filter("JSON has no empty value", |text| !text.is_empty())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(63),
        ..ProptestConfig::default()
    })]

    /// Guards against rows of unknown types that spoil or change what the others say.
    #[test]
    fn unknown_rows_change_nothing(spec in odd_value(), more in odd_value(), at in 0usize..8) {
        let row = format!(r#"{{"type":"x","metadata":{more},"spec":{spec},"more":{more}}}"#);
        let snapshot = config::parse(&with_row(&row, at)).expect("a configuration");
        prop_assert_eq!(snapshot, read(&document()));
    }

    /// Guards against bytes at which the parser ends the process.
    #[test]
    fn mutated_configurations_end_no_process(
        spec in odd_value(),
        cuts in proptest::collection::vec((any::<usize>(), any::<char>()), 0..6),
    ) {
        let row = format!(r#"{{"type":"routes","metadata":{{"name":"r"}},"spec":{spec}}}"#);
        let mut text: Vec<char> = with_row(&row, 0).chars().collect();
        for (at, with) in cuts {
            let at = at % text.len();
            text[at] = with;
        }
        let _ = config::parse(&text.into_iter().collect::<String>());
    }
}

/// Guards against a bound that refuses all keys, or holds forever, when the platform
/// names a number that is no duration.
fn keeps_the_default(number: f64) {
    let odd = ["revoke_ms", "budget_window_s", "drain_ms", "grace_s"];
    let odd = odd.map(|name| (name.to_owned(), json!(number)));
    let (read, default) = (
        bounds::parse(&odd.into()),
        bounds::parse(&Default::default()),
    );
    assert_eq!(format!("{read:?}"), format!("{default:?}"));
}

cases! { keeps_the_default:
    bounds_of_zero => (0.0),
    negative_bounds => (-5.0),
    huge_bounds => (1e300),
}

/// The store goes silent just after it had answered. Requests are owed for three
/// fifths of the bound from then on, and the last answer was to a question a
/// second and a half old: with a bound that is used to four fifths they were
/// refused for half a second while they were owed.
#[test]
fn keys_are_taken_for_as_long_as_they_are_owed() {
    let bounds = [("revoke_ms".to_owned(), json!(5000))];
    let bounds = bounds::parse(&bounds.into());
    let question = Span::from_ms(1500);
    assert!(bounds.stale_after >= Span::from_ms(3000) + question);
    assert!(bounds.stale_after < Span::from_ms(5000));
}

#[test]
fn the_configuration_of_the_path_tests_is_one() {
    read(&crate::site::configuration(3));
}

#[test]
fn a_text_that_was_cut_names_its_place() {
    let text = document().to_string();
    let error = config::parse(&text[..text.len() / 2]).expect_err("refused");
    assert_eq!((error.number(), error.line()), (5003, 1));
}
