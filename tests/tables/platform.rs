//! The stand-in of the platform's service keeps the semantics that the program
//! relies on, over the network and through the program's own client.

use std::{
    future::Future,
    net::SocketAddr, //
};

use bluebellswitch::{
    client::Client,
    clock::Span,
    id::{
        Lease,
        Revision, //
    },
    standin::platform::{
        Faults,
        Service,
        VALUE_LIMIT, //
    },
    store::{
        Answer,
        Call,
        Store, //
    },
};

const ABSENT: Revision = Revision(0);
/// Long enough for the busiest machine; nothing waits for it in a good run.
const PATIENCE: Span = Span::from_secs(60);

pub fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn trial<F: Future<Output = ()>>(body: impl FnOnce(Service, Client) -> F) {
    actix_rt::System::new().block_on(async {
        let service = Service::start(local()).expect("a free port");
        let client = Client::new(service.address(), PATIENCE);
        body(service, client).await;
    });
}

fn swap(expect: Revision, value: Option<&str>, lease: Option<Lease>) -> Call {
    Call::Swap {
        key: "k".into(),
        expect,
        value: value.map(str::to_owned),
        lease,
        unless: None,
    }
}

fn get() -> Call {
    Call::Get { key: "k".into() }
}

fn watch(after: Revision, wait: Span) -> Call {
    Call::Watch {
        key: "k".into(),
        after,
        wait,
    }
}

fn value(answer: &Answer) -> Option<&str> {
    match answer {
        Answer::Value(entry) | Answer::Conflict(entry) => entry.as_ref().map(|e| &*e.value),
        other => panic!("no value: {other:?}"),
    }
}

async fn put(client: &Client, expect: Revision, text: &str) -> Revision {
    match client.call(swap(expect, Some(text), None)).await {
        Answer::Swapped(revision) => revision,
        other => panic!("not swapped: {other:?}"),
    }
}

#[test]
fn swap_takes_effect_only_on_the_expected_revision() {
    trial(async |_service, client| {
        let first = put(&client, ABSENT, "a").await;
        let late = client.call(swap(ABSENT, Some("b"), None)).await;
        assert_eq!(value(&late), Some("a"));
        let second = put(&client, first, "c").await;
        assert!(second > first);
        assert_eq!(value(&client.call(get()).await), Some("c"));
    });
}

#[test]
fn revoked_lease_takes_its_values_along() {
    trial(async |_service, client| {
        let ttl = PATIENCE;
        let Answer::Leased { lease, .. } = client.call(Call::Grant { ttl }).await else {
            panic!("no lease");
        };
        client.call(swap(ABSENT, Some("a"), Some(lease))).await;
        client.call(Call::Revoke { lease }).await;
        assert_eq!(value(&client.call(get()).await), None);
        assert_eq!(client.call(Call::Renew { lease }).await, Answer::Expired);
        let late = client.call(swap(ABSENT, Some("a"), Some(lease))).await;
        assert_eq!(late, Answer::Expired);
    });
}

#[test]
fn lapsed_lease_is_news_to_a_watch() {
    trial(async |_service, client| {
        let ttl = Span::from_ms(50);
        let Answer::Leased { lease, .. } = client.call(Call::Grant { ttl }).await else {
            panic!("no lease");
        };
        match client.call(swap(ABSENT, Some("a"), Some(lease))).await {
            Answer::Swapped(revision) => {
                let news = client.call(watch(revision, PATIENCE)).await;
                assert_eq!(value(&news), None);
            }
            // The lease was over before the write came, on a busy machine.
            other => assert_eq!(other, Answer::Expired),
        }
        assert_eq!(client.call(Call::Renew { lease }).await, Answer::Expired);
    });
}

#[test]
fn watch_waits_for_a_write_and_counts_once() {
    trial(async |service, client| {
        let first = put(&client, ABSENT, "a").await;
        let waiting = actix_rt::spawn(client.call(watch(first, PATIENCE)));
        while service.stats().waiting == 0 {
            tokio::task::yield_now().await;
        }
        put(&client, first, "b").await;
        assert_eq!(value(&waiting.await.expect("no panic")), Some("b"));
        assert_eq!((service.stats().calls, service.stats().writes), (3, 2));
        let quiet = client.call(watch(Revision(u64::MAX), Span::ZERO)).await;
        assert_eq!(quiet, Answer::Quiet);
    });
}

/// A write whose answer was lost looks like an outage to its caller, who may
/// conclude nothing: here it took effect, there it did not.
#[test]
fn lost_answers_and_outages_look_alike() {
    trial(async |service, client| {
        service.set(Faults {
            lost_writes: 1,
            ..Faults::default()
        });
        assert_eq!(value(&client.call(get()).await), None);
        let lost = client.call(swap(ABSENT, Some("a"), None)).await;
        assert_eq!(lost, Answer::Lost);
        assert_eq!(value(&client.call(get()).await), Some("a"));
        service.set(Faults {
            out: true,
            ..Faults::default()
        });
        assert_eq!(client.call(swap(ABSENT, None, None)).await, Answer::Lost);
        service.set(Faults::default());
        assert_eq!(value(&client.call(get()).await), Some("a"));
        assert_eq!(service.stats().calls, 5);
        assert_eq!(service.stats().lost, 2);
    });
}

#[test]
fn value_over_the_limit_is_refused() {
    trial(async |_service, client| {
        let large = "x".repeat(VALUE_LIMIT + 1);
        let answer = client.call(swap(ABSENT, Some(&large), None)).await;
        assert_eq!(answer, Answer::Lost);
        put(&client, ABSENT, &large[1..]).await;
    });
}

#[test]
fn call_on_a_dead_service_is_lost_within_the_timeout() {
    trial(async |service, _client| {
        service.set(Faults {
            slow: PATIENCE,
            ..Faults::default()
        });
        let hasty = Client::new(service.address(), Span::from_ms(20));
        assert_eq!(hasty.call(get()).await, Answer::Lost);
        service.stop().await;
        assert_eq!(hasty.call(get()).await, Answer::Lost);
    });
}
