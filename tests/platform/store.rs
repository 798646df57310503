//! The adapter's client against the stand-in store: each call, and each way in
//! which a call can go wrong.

use std::rc::Rc;

use bluebellswitch::{
    clock::Span,
    id::{
        Lease,
        Revision, //
    },
    platform::{
        standin::{
            Mood,
            Store, //
        },
        store::Client, //
    },
    store::{
        Answer,
        Call,
        Store as _, //
    },
};

use crate::site::run;

fn put(key: &str, value: &str, lease: Option<Lease>) -> Call {
    Call::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        lease,
    }
}

fn swap(key: &str, expect: u64, value: Option<&str>) -> Call {
    Call::Swap {
        key: key.to_owned(),
        expect: Revision(expect),
        value: value.map(str::to_owned),
        lease: None,
        unless: None,
    }
}

fn read(prefix: &str) -> Call {
    Call::Read {
        prefix: prefix.to_owned(),
    }
}

fn follow(prefix: &str, after: Revision, ms: u64) -> Call {
    Call::Follow {
        prefix: prefix.to_owned(),
        after,
        wait: Span::from_ms(ms),
    }
}

fn with_store<F: Future>(test: impl FnOnce(Rc<Store>, Client) -> F) {
    run(async {
        let store = Rc::new(Store::start());
        let client = Client::new(store.address());
        test(store.clone(), client).await;
    });
}

#[test]
fn what_is_written_is_read_over_all_pages() {
    with_store(|store, client| async move {
        for n in 0..8 {
            store.put(&format!("nodes/{n}"), &format!("värde {n}"));
        }
        let Answer::Listing { entries, at } = client.call(read("nodes/")).await else {
            panic!("no listing");
        };
        let values: Vec<_> = entries.iter().map(|entry| entry.value.clone()).collect();
        assert_eq!(values.len(), 8);
        assert_eq!((values[7].as_str(), at), ("värde 7", Revision(8)));
        let get = Call::Get {
            key: "nodes/3".to_owned(),
        };
        let Answer::Value(Some(entry)) = client.call(get).await else {
            panic!("no value");
        };
        assert_eq!(entry.value, "värde 3");
        let absent = Call::Get {
            key: "nodes/9".to_owned(),
        };
        assert_eq!(client.call(absent).await, Answer::Value(None));
    });
}

#[test]
fn a_swap_takes_the_place_it_expects_and_no_other() {
    with_store(|_store, client| async move {
        let Answer::Swapped(first) = client.call(swap("a", 0, Some("one"))).await else {
            panic!("not written");
        };
        let Answer::Conflict(Some(entry)) = client.call(swap("a", 0, Some("two"))).await else {
            panic!("no conflict");
        };
        assert_eq!((entry.value.as_str(), entry.revision), ("one", first));
        let gone = client.call(swap("a", first.0, None)).await;
        assert!(matches!(gone, Answer::Swapped(_)));
        assert_eq!(
            client.call(swap("a", first.0, Some("x"))).await,
            Answer::Conflict(None)
        );
    });
}

#[test]
fn a_value_goes_with_its_lease() {
    with_store(|store, client| async move {
        let ttl = Span::from_secs(5);
        let Answer::Leased { lease, ttl: told } = client.call(Call::Grant { ttl }).await else {
            panic!("no lease");
        };
        assert_eq!(told, ttl);
        client.call(put("n", "x", Some(lease))).await;
        assert_eq!(store.names("n"), ["n"]);
        let renewed = client.call(Call::Renew { lease }).await;
        assert_eq!(renewed, Answer::Leased { lease, ttl });
        assert_eq!(client.call(Call::Revoke { lease }).await, Answer::Quiet);
        assert!(store.names("n").is_empty());
        assert_eq!(client.call(Call::Renew { lease }).await, Answer::Expired);
        assert_eq!(
            client.call(put("n", "x", Some(lease))).await,
            Answer::Expired
        );
    });
}

#[test]
fn a_watch_tells_what_came_and_what_went() {
    with_store(|store, client| async move {
        store.put("w/a", "1");
        let Answer::Listing { at, .. } = client.call(read("w/")).await else {
            panic!("no listing");
        };
        let quiet = client.call(follow("w/", at, 20)).await;
        assert_eq!(
            quiet,
            Answer::Changes {
                changes: vec![],
                at
            }
        );
        store.put("w/b", "2");
        client.call(swap("w/a", 1, None)).await;
        let Answer::Changes { changes, .. } = client.call(follow("w/", at, 1000)).await else {
            panic!("no changes");
        };
        let told: Vec<_> = changes
            .iter()
            .map(|change| (change.key.as_str(), change.entry.is_some()))
            .collect();
        assert_eq!(told, [("w/b", true), ("w/a", false)]);
        store.forget();
        assert_eq!(client.call(follow("w/", at, 1000)).await, Answer::Compacted);
    });
}

/// Whatever the store does, the call ends, and says that nothing is known.
fn lost(mood: Mood, call: Call) {
    with_store(|store, client| async move {
        store.set(mood);
        assert_eq!(client.call(call).await, Answer::Lost);
    });
}

cases! { lost:
    refused_for_being_busy => (Mood::Refuses(503), read("a")),
    refused_for_too_many_calls => (Mood::Refuses(429), read("a")),
    forbidden => (Mood::Refuses(403), put("a", "1", None)),
    never_answered => (Mood::Silent, read("a")),
    answered_with_something_else => (Mood::Babbles, read("a")),
    written_and_never_told => (Mood::LosesAnswers, put("a", "1", None)),
}

/// A write whose answer is lost has taken effect: whoever made it finds out by
/// reading, and the client's next call goes over a connection that works.
#[test]
fn a_lost_answer_may_hide_a_write() {
    with_store(|store, client| async move {
        store.set(Mood::LosesAnswers);
        assert_eq!(client.call(put("a", "1", None)).await, Answer::Lost);
        store.set(Mood::Well);
        let Answer::Listing { entries, .. } = client.call(read("a")).await else {
            panic!("no listing");
        };
        assert_eq!(entries[0].value, "1");
    });
}

#[test]
fn a_store_that_is_not_there_is_lost_at_once() {
    run(async {
        let address = {
            let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            socket.local_addr().expect("an address")
        };
        assert_eq!(Client::new(address).call(read("a")).await, Answer::Lost);
    });
}
