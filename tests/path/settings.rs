//! Settings that are wrong say where and why.

use bluebellswitch::{
    policy::Scheduling,
    settings::Settings, //
};

use crate::bench;

fn good() -> String {
    let upstream = "127.0.0.1:8080".parse().expect("an address");
    bench::text("edge", "front", upstream, bench::SECRET, "{}")
}

#[test]
fn good_settings_are_read() {
    let settings = Settings::parse(&good()).expect("good");
    assert_eq!(settings.instance.to_string(), "edge");
    assert_eq!(settings.limits.half_open, 64);
}

/// A deployment that does not ask for a mechanism is served as before.
#[test]
fn mechanisms_for_uneven_capacity_are_off_by_default() {
    let settings = Settings::parse(&good()).expect("good");
    assert_eq!(settings.scheduling, Scheduling::default());
    let text = good().replacen(
        "\"limits\": {}",
        "\"scheduling\": { \"chain_retries\": true }",
        1,
    );
    let settings = Settings::parse(&text).expect("good");
    let expected = Scheduling {
        chain_retries: true,
        ..Scheduling::default()
    };
    assert_eq!(settings.scheduling, expected);
}

/// Secrets are not shown, whoever prints the settings.
#[test]
fn secrets_are_hidden() {
    let settings = Settings::parse(&good()).expect("good");
    let text = format!("{settings:?}");
    assert!(
        !text.contains(bench::SECRET) && !text.contains(bench::TOKEN),
        "{text}"
    );
}

/// The text with one part replaced is refused with this number, at this line,
/// and the reason names this.
fn bad(from: &str, to: &str, number: u16, line: usize, says: &str) {
    let text = good();
    assert!(text.contains(from), "{from}");
    let error = Settings::parse(&text.replacen(from, to, 1)).expect_err("refused");
    assert_eq!((error.number(), error.line()), (number, line), "{error}");
    assert!(error.column() > 0, "{error}");
    assert!(error.reason().contains(says), "{error}");
}

cases! { bad:
    unknown_field => ("\"upstream\":", "\"upstreem\":", 4002, 6, "upstreem"),
    unknown_limit => ("\"limits\": {}", "\"limits\": { \"heads\": \"1KiB\" }", 4002, 9, "heads"),
    unknown_mechanism => (
        "\"limits\": {}", "\"scheduling\": { \"retries\": true }", 4002, 9, "retries"),
    mechanism_without_boolean => (
        "\"limits\": {}", "\"scheduling\": { \"chain_retries\": 1 }", 4002, 9, "boolean"),
    missing_field => ("\"instance\": \"edge\",", "", 4002, 10, "instance"),
    no_name => ("\"edge\"", "\"e d\"", 4002, 3, "e d"),
    no_address => ("\"127.0.0.1:0\"", "\"here\"", 4002, 4, "address"),
    no_unit => ("\"limits\": {}", "\"limits\": { \"head_time\": \"5\" }", 4002, 9, "250ms"),
    short_head_time => (
        "\"limits\": {}", "\"limits\": { \"head_time\": \"900ms\" }", 4005, 9, "1s"),
    little_memory => ("\"limits\": {}", "\"limits\": { \"memory\": \"8MiB\" }", 4005, 9, "16MiB"),
    not_json => ("\"pool\": \"front\",", "\"pool\": front,", 4001, 3, ""),
    single_quotes => ("\"front\"", "'front'", 4001, 3, ""),
    unterminated => ("},\n            \"upstream\"", "\n \"upstream\"", 4001, 5, ""),
    no_secret => ("[\"fleet-secret-number-1\"]", "[]", 4005, 7, "one secret"),
    three_secrets => ("[\"fleet-secret-number-1\"]", "[\"a\", \"b\", \"c\"]", 4005, 7, "one secret"),
    short_secret => ("fleet-secret-number-1", "short", 4005, 7, "16"),
    short_token => ("operators-token-1", "short", 4005, 8, "16"),
    any_address_for_links => ("\"links\": \"127.0.0.1:0\"", "\"links\": \"0.0.0.0:0\"", 4005, 5, "links"),
    same_address_twice => (
        "\"links\": \"127.0.0.1:0\", \"operators\": \"127.0.0.1:0\"",
        "\"links\": \"127.0.0.1:7\", \"operators\": \"0.0.0.0:7\"", 4005, 5, "same address"),
}

#[test]
fn missing_file_is_named() {
    let path = std::path::Path::new("no-such-settings.json");
    let error = Settings::load(path).expect_err("refused");
    assert_eq!(error.number(), 7001);
    assert_eq!(error.file(), Some("no-such-settings.json"));
}
