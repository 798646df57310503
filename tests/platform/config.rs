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
