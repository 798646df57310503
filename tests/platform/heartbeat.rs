//! What servers say of themselves, good and malformed, and which words count.

use bluebellswitch::{
    announce::{
        Announcement,
        Departure,
        State,
        UpstreamTracker,
        Verdict, //
    },
    clock::{
        Span,
        Time, //
    },
    interface::AnnouncementRequest,
    platform::heartbeat, //
};
use proptest::prelude::*;
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
    no_port => (|b| b["address"] = "10.128.0.9:0".into()),
    port_out_of_range => (|b| b["address"] = "10.128.0.9:70000".into()),
    sequence_that_nothing_follows => (|b| b["sequence"] = u64::MAX.into()),
    no_zone => (|b| b["zone"] = Value::Null),
    zone_left_out => (|b| drop(b.as_object_mut().expect("an object").remove("zone"))),
    version_as_a_number => (|b| b["version"] = 1.into()),
    warmup_left_out => (|b| drop(b.as_object_mut().expect("an object").remove("warmup_left_ms"))),
    born_as_text => (|b| b["born"] = "1000".into()),
    born_in_the_far_future => (|b| b["born"] = u64::MAX.into()),
    more_slots_than_a_server_has => (|b| b["capacity_slots"] = u32::MAX.into()),
    negative_warmup => (|b| b["warmup_left_ms"] = (-1).into()),
}

/// Guards against a departure that no later life can follow.
#[test]
fn a_departure_in_the_far_future_is_refused() {
    read(LEAVE, br#"{"born":18446744073709551615,"sequence":9}"#).expect_err("refused");
    read(LEAVE, br#"{"born":5,"sequence":18446744073709551615}"#).expect_err("refused");
}

/// Guards against a server that counts as cold forever, and against one that is unknown
/// because it counts in parts of a millisecond.
fn warms_up_within(left: Value, within: Span) {
    let mut body = body();
    body["warmup_left_ms"] = left;
    let word = read(BEAT, body.to_string().as_bytes()).expect("a word");
    assert!(word.warmup <= within, "{}", word.warmup);
}

cases! { warms_up_within:
    huge_warmup => (1e300.into(), Span::from_secs(86_400)),
    huge_whole_warmup => (u64::MAX.into(), Span::from_secs(86_400)),
    warmup_of_a_part => (0.5.into(), Span::from_ms(1)),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(64),
        ..ProptestConfig::default()
    })]

    /// Guards against odd heartbeats that end the process, or after which the server's
    /// own ones count as outdated.
    #[test]
    fn odd_heartbeats_hide_no_server(
        odd in proptest::collection::vec(
            (0usize..9, prop_oneof![
                Just(Value::Null), Just(json!([[[]]])), Just(json!(u64::MAX)),
                Just(json!(-1)), Just(json!(1e300)), any::<String>().prop_map(Value::from),
            ], proptest::option::of((any::<usize>(), any::<u8>()))),
            0..20,
        ),
        is_known in any::<bool>(),
    ) {
        const FIELDS: [&str; 9] = ["service", "address", "zone", "version", "capacity_slots",
            "state", "warmup_left_ms", "sequence", "born"];
        let pool = "mill".parse().expect("a name");
        let address = ADDRESS.parse().expect("an address");
        let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
        let hears = |upstream_tracker: &mut UpstreamTracker, sequence: u64, state: &str| {
            let mut body = body();
            body["sequence"] = sequence.into();
            body["state"] = state.into();
            let word = read(BEAT, body.to_string().as_bytes()).expect("a word");
            upstream_tracker.handle(Time::from_ms(2), &word);
            upstream_tracker.is_ready()
        };
        if is_known {
            hears(&mut upstream_tracker, 3, "ready");
        }
        for (field, value, byte) in odd {
            let mut body = body();
            // A readable number is a word of the server itself, so only the others follow.
            if FIELDS[field] == "born" {
                body["sequence"] = 500.into();
            }
            body[FIELDS[field]] = value;
            let mut text = body.to_string().into_bytes();
            if let Some((at, with)) = byte.filter(|_| field < 4) {
                let at = at % (text.len() / 2);
                text[at] = with;
            }
            if let Ok(word) = read(BEAT, &text) {
                prop_assert!(word.sequence <= Some(1 << 53));
                prop_assert!(word.life.is_none_or(|life| life < 1 << 42));
                if word.life.is_none() || word.sequence == Some(4) && word.life == Some(1000) {
                    upstream_tracker.handle(Time::from_ms(1), &word);
                }
            }
        }
        prop_assert!(hears(&mut upstream_tracker, 5, "ready"));
        prop_assert!(!hears(&mut upstream_tracker, 6, "draining"));
    }
}

/// Guards against a log that another writer fills with heartbeats that cannot be read.
#[test]
fn refused_heartbeats_are_reported_once_a_path() {
    let pool = "mill".parse().expect("a name");
    let address = ADDRESS.parse().expect("an address");
    let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
    assert!(upstream_tracker.record_refused(BEAT));
    assert!(!upstream_tracker.record_refused(BEAT));
    let reported = (0..10_000).filter(|id| upstream_tracker.record_refused(&id.to_string()));
    assert!(reported.count() < 100);
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
    Foreign,
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

/// Guards against another writer's heartbeat without `born` that makes the server's own
/// ones outdated, or a server ready that has left.
fn lives(words: &[(Option<u64>, u64, State, Verdict)], ready: bool) {
    let pool = "mill".parse().expect("a name");
    let address = ADDRESS.parse().expect("an address");
    let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
    for (number, (life, sequence, state, verdict)) in words.iter().enumerate() {
        let word = Announcement {
            upstream: "i-7f".to_owned(),
            life: *life,
            sequence: Some(*sequence),
            state: *state,
            pool: None,
            address: None,
            slots: Some(5),
            warmup: Span::ZERO,
        };
        let found = upstream_tracker.handle(Time::from_ms(1), &word);
        assert_eq!(found, *verdict, "word {number}");
    }
    assert_eq!(upstream_tracker.is_ready(), ready);
}

cases! { lives:
    lost_before_a_drain => (
        &[(Some(7), 1, Ready, Changed), (None, 500, Ready, Foreign),
          (Some(7), 2, Draining, Changed)],
        false
    ),
    lost_in_a_drain => (
        &[(Some(7), 1, Draining, Changed), (None, 500, Ready, Foreign)], false),
    lost_in_another_drain => (
        &[(Some(7), 1, Ready, Changed), (None, 500, Draining, Foreign)], true),
    lost_after_an_unknown_life => (&[(Some(7), 1, Gone, Old), (None, 1, Ready, Foreign)], false),
    lost_before_the_first_word => (
        &[(None, 500, Ready, Changed), (Some(7), 1, Draining, Changed)], false),
    never_named => (&[(None, 1, Ready, Changed), (None, 2, Draining, Changed)], false),
    left_out_of_the_last_word => (
        &[(Some(7), 1, Ready, Changed), (None, 2, Gone, Changed)], false),
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

/// What happens to a tracker whose process has just started.
enum Step {
    /// An announcement of a life, with a sequence number, at a time in milliseconds.
    Heard(u64, u64, State, u64),
    /// A departure that an earlier process acknowledged: its life and sequence number.
    Restored(u64, u64, State),
    /// All departures are known.
    Trusted,
}

/// Guards against a delayed heartbeat that makes an upstream ready whose departure an
/// earlier process acknowledged, and against an upstream that stays unknown.
fn restart(steps: &[Step], ready: bool) {
    let pool = "mill".parse().expect("a name");
    let address = ADDRESS.parse().expect("an address");
    let mut upstream_tracker = UpstreamTracker::new(pool, address, Span::from_ms(1500));
    upstream_tracker.distrust_delayed(Time::from_ms(1000));
    for step in steps {
        match step {
            Step::Heard(life, sequence, state, ms) => {
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
                upstream_tracker.handle(Time::from_ms(*ms), &word);
            }
            Step::Restored(life, sequence, state) => upstream_tracker.restore(Departure {
                upstream: "i-7f".to_owned(),
                life: Some(*life),
                sequence: Some(*sequence),
                state: *state,
            }),
            Step::Trusted => upstream_tracker.trust_delayed(),
        }
    }
    assert_eq!(upstream_tracker.is_ready(), ready);
}

cases! { restart:
    nothing_is_known_yet => (&[Step::Heard(7, 4, State::Ready, 2000)], false),
    no_departure => (&[Step::Heard(7, 4, State::Ready, 2000), Step::Trusted], true),
    unknown_and_too_late_to_be_delayed => (
        &[Step::Heard(7, 4, State::Ready, 2000), Step::Heard(7, 5, State::Ready, 5000)],
        true
    ),
    delayed_before_the_departure_is_known => (
        &[Step::Heard(7, 4, State::Ready, 2000), Step::Restored(7, 5, State::Draining),
          Step::Trusted],
        false
    ),
    delayed_after_the_departure_is_known => (
        &[Step::Restored(7, 5, State::Draining), Step::Trusted,
          Step::Heard(7, 3, State::Ready, 2000), Step::Heard(7, 4, State::Ready, 2500)],
        false
    ),
    delayed_after_a_deregistration => (
        &[Step::Restored(7, 0, State::Gone), Step::Trusted,
          Step::Heard(7, 4, State::Ready, 2000)],
        false
    ),
    delayed_from_an_earlier_life => (
        &[Step::Heard(6, 9, State::Ready, 2000), Step::Restored(7, 5, State::Draining),
          Step::Trusted, Step::Heard(6, 10, State::Ready, 2500)],
        false
    ),
    returned_after_the_departure => (
        &[Step::Restored(7, 5, State::Draining), Step::Trusted,
          Step::Heard(7, 6, State::Ready, 2000)],
        true
    ),
    later_life => (
        &[Step::Restored(7, 5, State::Gone), Step::Trusted,
          Step::Heard(8, 1, State::Ready, 2000)],
        true
    ),
    later_life_heard_first => (
        &[Step::Heard(8, 1, State::Ready, 2000), Step::Restored(7, 5, State::Gone),
          Step::Trusted],
        true
    ),
}
