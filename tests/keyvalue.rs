//! The stand-in of the platform's service keeps its promises.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Lease,
        Revision, //
    },
    standin::keyvalue::Map,
    store::{
        Answer,
        Call, //
    },
};

fn swap(expect: u64, value: &str, lease: Option<Lease>) -> Call {
    Call::Swap {
        key: "a".into(),
        expect: Revision(expect),
        value: Some(value.into()),
        lease,
        unless: None,
    }
}

fn watch(after: u64) -> Call {
    Call::Watch {
        key: "a".into(),
        after: Revision(after),
        wait: Span::from_secs(1),
    }
}

#[test]
fn one_of_two_racing_writers_wins() {
    let mut map = Map::default();
    assert_eq!(
        map.on(Time::ZERO, &swap(0, "one", None)),
        Some(Answer::Swapped(Revision(1)))
    );
    let Some(Answer::Conflict(Some(entry))) = map.on(Time::ZERO, &swap(0, "two", None)) else {
        panic!("the second writer was not told");
    };
    assert_eq!((entry.value.as_str(), entry.revision), ("one", Revision(1)));
    assert_eq!((map.calls(), map.writes()), (2, 2));
}

#[test]
fn a_lapsed_lease_takes_its_value_and_wakes_the_watch() {
    let mut map = Map::default();
    let ttl = Span::from_secs(3);
    let Some(Answer::Leased { lease, .. }) = map.on(Time::ZERO, &Call::Grant { ttl }) else {
        panic!("no lease");
    };
    map.on(Time::ZERO, &swap(0, "one", Some(lease)));
    assert_eq!(map.on(Time::from_ms(2000), &watch(1)), None);
    map.on(Time::from_ms(2500), &Call::Renew { lease });
    map.expire(Time::from_ms(5499));
    assert_eq!(map.news("a", Revision(1)), None);
    map.expire(Time::from_ms(5500));
    assert_eq!(map.news("a", Revision(1)), Some(Answer::Value(None)));
    assert_eq!(
        map.on(Time::from_ms(5600), &Call::Renew { lease }),
        Some(Answer::Expired)
    );
    assert_eq!(
        map.on(Time::from_ms(5600), &swap(0, "two", Some(lease))),
        Some(Answer::Expired)
    );
}
