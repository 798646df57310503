//! The departures of an upstream in the store, and what their absence proves.

use bluebellswitch::{
    announce::{
        Departure,
        State, //
    },
    clock::{
        Span,
        Time, //
    },
    directory::{
        DEPARTURE_PREFIX,
        Directory,
        Inquiry,
        Purpose, //
    },
    id::{
        Incarnation,
        Lease,
        Revision, //
    },
    member::{
        Peer,
        Status, //
    },
    store::{
        Answer,
        Call,
        Entry, //
    },
};

const TTL: Span = Span::from_secs(6);

fn peer() -> Peer {
    let address = "127.0.0.1:7000".parse().expect("an address");
    Peer {
        instance: "me".parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        pool: "mill".parse().expect("a name"),
        link: address,
        datagram: address,
        incarnation: Incarnation(5),
        status: Status::Alive,
        ready: false,
    }
}

fn departure(life: u64) -> Departure {
    Departure {
        upstream: "i-7f".to_owned(),
        life: Some(life),
        sequence: Some(4),
        state: State::Draining,
    }
}

fn entry(value: String) -> Entry {
    Entry {
        key: format!("{DEPARTURE_PREFIX}me"),
        value,
        revision: Revision(8),
    }
}

struct Story {
    now: Time,
    directory: Directory,
}

impl Story {
    fn new() -> Self {
        Self {
            now: Time::from_ms(1000),
            directory: Directory::new(peer()),
        }
    }

    /// The calls that are due, except those about other members.
    fn calls(&mut self) -> Vec<(Purpose, Call)> {
        let mut calls = Vec::new();
        self.directory.tick(self.now, &mut calls);
        calls.retain(|(purpose, _)| *purpose != Purpose::Watch);
        calls
    }

    /// The call about departures that is due.
    fn call(&mut self) -> Option<Call> {
        let mut calls = self.calls().into_iter();
        let call = calls.find(|(purpose, _)| *purpose == Purpose::Departure);
        call.map(|(_, call)| call)
    }

    fn answer(&mut self, purpose: Purpose, answer: Answer) {
        self.directory.handle_answer(self.now, purpose, answer);
    }

    /// Makes the first write due, and answers it.
    fn first_write(&mut self, answer: Answer) {
        let lease = Lease(7);
        self.calls();
        self.answer(Purpose::Register, Answer::Leased { lease, ttl: TTL });
        self.calls();
        self.answer(Purpose::Register, answer);
    }
}

/// Guards against a restarted node that waits although no departure was acknowledged, or
/// that calls the store once more to find out.
#[test]
fn the_first_write_proves_that_there_is_no_departure() {
    let mut story = Story::new();
    let lease = Lease(7);
    story.calls();
    story.answer(Purpose::Register, Answer::Leased { lease, ttl: TTL });
    let calls = story.calls();
    let [(Purpose::Register, Call::Swap { unless, .. })] = &calls[..] else {
        panic!("{calls:?}");
    };
    assert_eq!(unless.as_deref(), Some("bluebellswitch/departures/me"));
    assert_eq!(story.directory.take_inquiry(), None);
    story.answer(Purpose::Register, Answer::Swapped(Revision(3)));
    let inquiry = Inquiry {
        departure: None,
        is_conclusive: true,
    };
    assert_eq!(story.directory.take_inquiry(), Some(inquiry));
    assert_eq!(story.call(), None);
}

/// Guards against a restarted node that doesn't learn of an earlier departure.
fn finds(value: &str, departure: Option<Departure>, is_conclusive: bool) {
    let mut story = Story::new();
    story.first_write(Answer::Conflict(None));
    // The node registers in spite of the departure.
    let calls = story.calls();
    let [
        (Purpose::Register, Call::Swap { unless: None, .. }),
        (Purpose::Departure, Call::Get { key }),
    ] = &calls[..]
    else {
        panic!("{calls:?}");
    };
    let found = Entry {
        key: key.clone(),
        ..entry(value.to_owned())
    };
    story.answer(Purpose::Departure, Answer::Value(Some(found)));
    let inquiry = Inquiry {
        departure,
        is_conclusive,
    };
    assert_eq!(story.directory.take_inquiry(), Some(inquiry));
}

cases! { finds:
    a_departure =>
        (&serde_json::to_string(&departure(1000)).expect("text"), Some(departure(1000)), true),
    no_departure_of_any_kind => ("{}", None, false),
    a_state_of_a_later_version =>
        (r#"{"upstream":"i","life":1,"sequence":1,"state":"asleep"}"#, None, false),
}

/// Guards against a missing entry that is taken for a proof, although the store was away
/// when the departure was acknowledged.
#[test]
fn an_answer_after_a_lost_call_proves_nothing() {
    let mut story = Story::new();
    story.calls();
    story.answer(Purpose::Register, Answer::Lost);
    story.now += Span::from_secs(1);
    story.first_write(Answer::Swapped(Revision(3)));
    let inquiry = Inquiry {
        departure: None,
        is_conclusive: false,
    };
    assert_eq!(story.directory.take_inquiry(), Some(inquiry));
}

/// Guards against a departure that is lost, or written without a lease.
#[test]
fn a_departure_is_written_until_the_store_holds_it() {
    let mut story = Story::new();
    story.first_write(Answer::Swapped(Revision(3)));
    story.directory.record_departure(story.now, departure(1000));
    assert!(!story.directory.has_stored_departure());
    for _ in 0..3 {
        assert!(matches!(story.call(), Some(Call::Grant { .. })));
        story.answer(Purpose::Departure, Answer::Lost);
        story.now += Span::from_secs(1);
    }
    let lease = Lease(9);
    story.call();
    story.answer(Purpose::Departure, Answer::Leased { lease, ttl: TTL });
    for answer in [Answer::Lost, Answer::Expired] {
        story.now += Span::from_secs(1);
        let put = story.call();
        let Some(Call::Put { lease: Some(_), .. }) = put else {
            panic!("{put:?}");
        };
        story.answer(Purpose::Departure, answer);
    }
    assert!(matches!(story.call(), Some(Call::Grant { .. })));
    story.answer(Purpose::Departure, Answer::Leased { lease, ttl: TTL });
    story.call();
    story.answer(Purpose::Departure, Answer::Swapped(Revision(9)));
    assert!(story.directory.has_stored_departure());
    // Repeated announcements cost nothing.
    story.directory.record_departure(story.now, departure(1000));
    assert!(story.directory.has_stored_departure());
    // That of another life does, and that after a return.
    story.directory.record_departure(story.now, departure(2000));
    assert!(!story.directory.has_stored_departure());
    story.directory.retract_departure();
    assert!(story.directory.has_stored_departure());
    story.directory.record_departure(story.now, departure(1000));
    assert!(!story.directory.has_stored_departure());
}

/// Guards against nodes that never learn of a departure which the store does not hold, and
/// against a fleet that is told of it without end.
#[test]
fn an_unstored_departure_is_reported_at_growing_intervals() {
    let mut story = Story::new();
    story.first_write(Answer::Swapped(Revision(3)));
    story.directory.record_departure(story.now, departure(1000));
    let mut reports = Vec::new();
    for ms in 0..20_000 {
        let now = story.now + Span::from_ms(ms);
        let due = story.directory.take_departure_report(now);
        reports.extend(due.map(|_| ms));
    }
    assert_eq!(
        reports,
        [200, 400, 800, 1600, 3200, 6400, 10_400, 14_400, 18_400]
    );
}
