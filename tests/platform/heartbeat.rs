//! What servers say of themselves, good and malformed, and which words count.

use bluebellswitch::{
    announce::{
        Announcement, //
        State,
        UpstreamTracker,
        Verdict,
    },
    clock::{
        Span,
        Time, //
    },
    interface::AnnouncementRequest,
    platform::heartbeat, //
};
use serde_json::{
    Value,
    json, //
};

const ADDRESS: &str = "10.128.0.9:8080";
const BEAT: &str = "/api/Instances.Heartbeat/i-7f";
const LEAVE: &str = "/api/Instances.Deregister/i-7f";

fn body() -> Value {
    json!({ "service": "mill", "address": ADDRESS, "zone": "a", "version": "v1",
            "capacity_slots": 55, "state": "ready", "warmup_left_ms": 0,
            "sequence": 4, "born": 1000 })
}

fn read(path: &str, body: &[u8]) -> Result<Announcement, bluebellswitch::Error> {
    let method = "POST";
    heartbeat::parse(AnnouncementRequest { method, path, body })
}

#[test]
fn a_heartbeat_says_who_what_and_how_much() {
    let word = read(BEAT, body().to_string().as_bytes()).expect("a word");
    assert_eq!(word.upstream, "i-7f");
    assert_eq!(
        (word.life, word.sequence, word.slots),
        (Some(1000), Some(4), Some(55))
    );
    assert_eq!(word.state, State::Ready);
}

#[test]
fn a_deregistration_needs_no_body() {
    let word = read(LEAVE, b"").expect("a word");
    assert_eq!((word.state, word.life), (State::Gone, None));
    let word = read(LEAVE, br#"{"born":5,"sequence":9}"#).expect("a word");
    assert_eq!((word.life, word.sequence), (Some(5), Some(9)));
}

/// A word that names no server to use is refused, and changes nothing.
fn refused(change: fn(&mut Value)) {
    let mut body = body();
    change(&mut body);
    read(BEAT, body.to_string().as_bytes()).expect_err("refused");
}

cases! { refused:
    unknown_state => (|b| b["state"] = "asleep".into()),
    no_state => (|b| b["state"] = Value::Null),
    slots_as_text => (|b| b["capacity_slots"] = "many".into()),
    no_slots => (|b| b["capacity_slots"] = 0.into()),
    odd_service => (|b| b["service"] = "a b".into()),
    odd_address => (|b| b["address"] = "here".into()),
    no_sequence => (|b| b["sequence"] = Value::Null),
}

#[test]
fn what_is_no_announcement_is_refused() {
    read(BEAT, b"{\"service\":").expect_err("cut short");
    read(BEAT, &[0xff, 0xfe]).expect_err("no text");
    read("/api/Instances.Heartbeat/", b"{}").expect_err("no server");
    read("/api/else", b"{}").expect_err("another call");
    let (method, path) = ("GET", BEAT);
    heartbeat::parse(AnnouncementRequest {
        method,
        path,
        body: b"",
    })
    .expect_err("another method");
}

/// A story of words: life, sequence, state; and what became of each.
fn story(words: &[(u64, u64, State, Verdict)], ready: bool) {
    let pool = "mill".parse().expect("a name");
    let address = ADDRESS.parse().expect("an address");
    let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
    for (number, (life, sequence, state, verdict)) in words.iter().enumerate() {
        let word = Announcement {
            upstream: "i-7f".to_owned(),
            life: Some(*life),
            sequence: Some(*sequence),
            state: *state,
            pool: None,
            address: None,
            slots: Some(5),
            warmup: Span::ZERO,
        };
        assert_eq!(
            upstream_tracker.handle(Time::from_ms(1), &word),
            *verdict,
            "word {number}"
        );
    }
    assert_eq!(upstream_tracker.is_ready(), ready);
}

use State::{
    Draining,
    Gone,
    Ready, //
};
use Verdict::{
    Changed,
    Old,
    Same, //
};

cases! { story:
    it_drains_and_goes => (
        &[(1, 1, Ready, Changed), (1, 2, Draining, Changed), (1, 3, Gone, Changed)], false),
    a_late_word_does_not_end_a_drain => (
        &[(1, 1, Ready, Changed), (1, 3, Draining, Changed), (1, 2, Ready, Old)], false),
    nothing_comes_back_after_the_last_word => (
        &[(1, 1, Ready, Changed), (1, 2, Gone, Changed), (1, 9, Ready, Old)], false),
    a_drain_may_be_called_off => (
        &[(1, 1, Ready, Changed), (1, 2, Draining, Changed), (1, 3, Ready, Changed)], true),
    a_new_life_counts_anew => (
        &[(1, 9, Ready, Changed), (1, 10, Gone, Changed), (2, 1, Ready, Changed)], true),
    a_former_life_is_not_heard => (
        &[(2, 1, Ready, Changed), (1, 99, Draining, Old), (1, 100, Gone, Old)], true),
    the_same_again => (&[(1, 1, Ready, Changed), (1, 2, Ready, Same)], true),
    gone_before_it_was_known => (&[(1, 1, Gone, Old)], false),
}

/// A word about a server elsewhere is not acknowledged: it would bind this node
/// to a server that is not beside it.
#[test]
fn a_server_elsewhere_is_foreign() {
    let pool = "mill".parse().expect("a name");
    let address = "10.128.0.1:1".parse().expect("an address");
    let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
    let word = read(BEAT, body().to_string().as_bytes()).expect("a word");
    assert_eq!(
        upstream_tracker.handle(Time::from_ms(1), &word),
        Verdict::Foreign
    );
}

/// A node is restarted just as its server leaves. The first word that it hears is
/// the server's last one, which names no life, and then a heartbeat comes that was
/// delayed. The node believed it, and requests reached the server 2.3 s after its
/// leaving had been acknowledged.
#[test]
fn a_late_word_after_the_last_one_brings_nothing_back() {
    let pool = "mill".parse().expect("a name");
    let address = "10.128.0.9:8080".parse().expect("an address");
    let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
    let word = |life, place, state| Announcement {
        upstream: "i-1".into(),
        life,
        sequence: place,
        state,
        pool: None,
        address: None,
        slots: Some(4),
        warmup: Span::ZERO,
    };
    let now = Time::from_ms(1000);
    assert_eq!(
        upstream_tracker.handle(now, &word(None, None, State::Gone)),
        Verdict::Old
    );
    let late = word(Some(7), Some(20), State::Ready);
    assert_eq!(upstream_tracker.handle(now, &late), Verdict::Old);
    assert!(!upstream_tracker.is_ready());
    // The same server begins anew under its name.
    let anew = word(Some(9), Some(1), State::Ready);
    assert_eq!(upstream_tracker.handle(now, &anew), Verdict::Changed);
    assert!(upstream_tracker.is_ready());
}
