//! Every fault of the tables is found, numbered and placed.

use bluebellswitch::{
    check::{
        self,
        Texts, //
    },
    document::{
        Document,
        Snapshot, //
    },
};
use proptest::prelude::*;

const ROUTES: &str = r#"{
    // Certificates are issued once.
    "issue": {
        "method": "POST", "path": "/certificates", "pool": "issuer",
        "importance": "critical", "deadline": "5s", "calls": ["lookup"],
    },
    "lookup": { "path": "/certificates/{id}", "method": "GET", "pool": "registry", "deadline": "2s" },
}"#;
const POOLS: &str = r#"{
    "issuer": { "slots": 50, "connections": 400 },
    "registry": {},
}"#;

/// All faults, each as `file:line:column number`.
fn faults(routes: &str, pools: &str) -> Vec<String> {
    let mut faults = Vec::new();
    let texts = Texts {
        routes_file: "routes",
        routes,
        pools_file: "pools",
        pools,
    };
    check::tables(&texts, &mut faults);
    let place = |f: &bluebellswitch::Error| {
        let file = f.file().unwrap_or_default();
        format!("{file}:{}:{} {}", f.line(), f.column(), f.number())
    };
    faults.iter().map(place).collect()
}

/// Stands before the place of the fault; without it, the row is the place.
const MARK: char = '»';

/// A row on a line of its own, and the column of the fault in it.
fn row(name: &str, fields: &str) -> (String, usize) {
    let line = format!("\"{name}\": {{ {fields} }}");
    let column = line.chars().position(|c| c == MARK).unwrap_or(0) + 1;
    (format!("{{\n{}\n}}", line.replace(MARK, "")), column)
}

/// One row of routes with one fault.
fn route(fields: &str, number: u16) {
    let (text, column) = row("r", fields);
    let want = format!("routes:2:{column} {number}");
    assert_eq!(faults(&text, r#"{ "p": {} }"#), [want], "{text}");
}

/// One row of pools with one fault.
fn pool(fields: &str, number: u16) {
    let (text, column) = row("p", fields);
    let want = format!("pools:2:{column} {number}");
    assert_eq!(faults("", &text), [want], "{text}");
}

/// Whole tables with these faults.
fn both(routes: &str, pools: &str, want: &[&str]) {
    assert_eq!(faults(routes, pools), want);
}

cases! { route:
    unknown_field => (r#""path": "/", "pool": "p", »"poool": "p""#, 4002),
    doubled_field => (r#""path": "/", "pool": "p", »"pool": "p""#, 4002),
    missing_path => (r#""pool": "p""#, 4002),
    missing_pool => (r#""path": "/""#, 4002),
    path_is_a_number => (r#""path": »1, "pool": "p""#, 4002),
    path_without_slash => (r#""path": »"x", "pool": "p""#, 4003),
    path_with_double_slash => (r#""path": »"/a//b", "pool": "p""#, 4003),
    path_with_dots => (r#""path": »"/a/../b", "pool": "p""#, 4003),
    path_with_star_inside => (r#""path": »"/*/a", "pool": "p""#, 4003),
    path_with_half_a_name => (r#""path": »"/a{b}", "pool": "p""#, 4003),
    path_with_a_name_twice => (r#""path": »"/{a}/{a}", "pool": "p""#, 4003),
    path_with_a_query => (r#""path": »"/a?b", "pool": "p""#, 4003),
    path_percent_encoded => (r#""path": »"/%61", "pool": "p""#, 4003),
    host_with_port => (r#""host": »"a:80", "path": "/", "pool": "p""#, 4003),
    method_in_lower_case => (r#""method": »"get", "path": "/", "pool": "p""#, 4003),
    importance_unknown => (r#""path": "/", "pool": "p", "importance": »"vital""#, 4003),
    idempotent_as_text => (r#""path": "/", "pool": "p", "idempotent": »"yes""#, 4002),
    deadline_null => (r#""path": "/", "pool": "p", "deadline": »null"#, 4002),
    deadline_zero => (r#""path": "/", "pool": "p", "deadline": »"0s""#, 4003),
    deadline_without_unit => (r#""path": "/", "pool": "p", "deadline": »"5""#, 4003),
    deadline_of_a_day => (r#""path": "/", "pool": "p", "deadline": »"1440min""#, 4003),
    deadline_below_queue_delay => (r#""path": "/", "pool": "p", "deadline": »"20ms""#, 4005),
    retries_absurd => (r#""path": "/", "pool": "p", "retries": »11"#, 4003),
    retries_negative => (r#""path": "/", "pool": "p", "retries": »-1"#, 4003),
    retries_broken => (r#""path": "/", "pool": "p", "retries": »1.5"#, 4003),
    body_without_unit => (r#""path": "/", "pool": "p", "body": »"12""#, 4003),
    body_absurd => (r#""path": "/", "pool": "p", "body": »"9999MiB""#, 4003),
    pool_name_bad => (r#""path": "/", "pool": »"p q""#, 4004),
    pool_absent => (r#""path": "/", "pool": »"q""#, 4005),
    calls_no_list => (r#""path": "/", "pool": "p", "calls": »"r""#, 4002),
    calls_no_text => (r#""path": "/", "pool": "p", "calls": [»1]"#, 4002),
    calls_unknown => (r#""path": "/", "pool": "p", "calls": [»"x"]"#, 4005),
    calls_itself => (r#""path": "/", "pool": "p", "calls": [»"r"]"#, 4005),
}

cases! { pool:
    slots_zero => (r#""slots": »0"#, 4003),
    slots_absurd => (r#""slots": »2000000"#, 4003),
    slots_as_text => (r#""slots": »"5""#, 4002),
    connections_below_slots => (r#""slots": 5, "connections": »4"#, 4005),
    drain_zero => (r#""drain": »"0s""#, 4003),
    delay_zero => (r#""delay": »"0ms""#, 4003),
    delay_absurd => (r#""delay": »"11s""#, 4003),
    ramp_absurd => (r#""ramp": »"11min""#, 4003),
    health_without_slash => (r#""health": »"up""#, 4003),
    pool_field_unknown => (r#"»"slot": 5"#, 4002),
}

cases! { both:
    good => (ROUTES, POOLS, &[]),
    empty => ("", "// Nothing yet.", &[]),
    no_object => ("[]", "7", &["routes:1:1 4001", "pools:1:1 4001"]),
    no_json => ("{\n  \"a\" }", "{", &["routes:2:7 4001", "pools:1:1 4001"]),
    json_is_strict => ("{ 'a': {} }", "{ a: {} }", &["routes:1:3 4001", "pools:1:3 4001"]),
    all_faults_at_once => (
        "{\n\"a\": { \"path\": \"/\", \"pool\": \"p\", \"retries\": 99 },\n\"b\": { \"path\": \"x\" }\n}",
        "{\n\"p\": { \"slots\": 0 }\n}",
        &["routes:2:45 4003", "routes:3:1 4002", "routes:3:16 4003", "pools:2:17 4003"],
    ),
    columns_count_characters => ("{ /* Өвөр */ \"a\": 1 }", "", &["routes:1:19 4002"]),
    names_twice => (
        r#"{ "a": { "path": "/a", "pool": "p" }, "a": { "path": "/b", "pool": "p" } }"#,
        r#"{ "p": {}, "p": {} }"#,
        &["routes:1:39 4005", "pools:1:12 4005"],
    ),
    same_requests => (
        r#"{ "a": { "path": "/{x}/y", "pool": "p" }, "b": { "path": "/{z}/y", "pool": "p" } }"#,
        r#"{ "p": {} }"#,
        &["routes:1:58 4005"],
    ),
    nested_deadline_does_not_fit => (
        r#"{ "a": { "path": "/a", "pool": "p", "deadline": "2s", "calls": ["b"] },
             "b": { "path": "/b", "pool": "p", "deadline": "3s" } }"#,
        r#"{ "p": {} }"#,
        &["routes:1:65 4005"],
    ),
    idempotent_calls_other => (
        r#"{ "a": { "path": "/a", "pool": "p", "idempotent": true, "calls": ["b"] },
             "b": { "path": "/b", "pool": "p", "deadline": "3s", "method": "POST" } }"#,
        r#"{ "p": {} }"#,
        &["routes:1:67 4005"],
    ),
    row_no_object => (r#"{ "a": 5 }"#, "", &["routes:1:8 4002"]),
    // A pool whose row is wrong is still there for the routes.
    faulty_pool_is_no_absent_one => (
        r#"{ "a": { "path": "/", "pool": "p" } }"#,
        r#"{ "p": 5 }"#,
        &["pools:1:8 4002"],
    ),
}

#[test]
fn snapshot_holds_what_the_tables_say() {
    let document = Document {
        routes: ROUTES.into(),
        pools: POOLS.into(),
        ..Document::default()
    };
    let snapshot = Snapshot::parse(&document).expect("good");
    let issue = &snapshot.tables.routes[0];
    assert_eq!(issue.deadline.to_string(), "5s");
    assert_eq!(issue.importance.to_string(), "critical");
    assert!(!issue.is_idempotent("POST"));
    assert_eq!(snapshot.tables.pools[0].slots, Some(50));
    assert_eq!(snapshot.tables.pools[1].slots, None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any text gives tables or faults that each have a place.
    #[test]
    fn any_text_is_read(routes in ".*", pools in "[{}\\[\\]\",:/*a-z0-9 \n]*") {
        prop_assert!(!faults(&routes, &pools).iter().any(|f| f.contains(":0:")));
    }

    /// A good text with one stretch replaced gives tables or placed faults.
    #[test]
    fn mutated_text_is_read(from in 0..ROUTES.len(), cut in 0_usize..12, put in "\\PC{0,3}") {
        let end = (from + cut).min(ROUTES.len());
        let text = format!("{}{put}{}", &ROUTES[..from], &ROUTES[end..]);
        prop_assert!(!faults(&text, POOLS).iter().any(|f| f.contains(":0:")));
    }
}
