//! A start of many nodes at once, where the store lists the members.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Incarnation,
        Revision,
        Version, //
    },
    introducer::Introduction,
    member::{
        Peer,
        Status, //
    },
    node::Bounds,
    standin::driver::Driver,
    store::{
        Answer,
        Call,
        Entry, //
    },
};

use crate::listed;

/// A fleet in three failure domains that starts all at once.
fn fleet(nodes: usize) -> Driver {
    listed::fleet(nodes / 3, Bounds::default().propagation, false)
}

/// Whether every living node knows all others and the configuration.
fn is_complete(driver: &mut Driver, members: usize) -> bool {
    (0..driver.len()).all(|node| {
        let Some(core) = driver.core(node) else {
            return true;
        };
        core.members().len() == members && core.snapshot().version == Version(1)
    })
}

fn time_until_complete(driver: &mut Driver, limit: Span) -> Option<Span> {
    let start = driver.now();
    let members = driver.len();
    while driver.now().since(start) < limit {
        driver.run_for(Span::from_ms(100));
        if is_complete(driver, members) {
            return Some(driver.now().since(start));
        }
    }
    None
}

/// Guards against a start that loads the store with nodes times members: the listings
/// took longer than the timeout, were thrown away and asked for again, for ever.
fn starts_behind_a_narrow_link(nodes: usize) {
    let mut driver = fleet(nodes);
    // A listing by each node would take three times the timeout at 60 nodes.
    driver.weather.listed_per_ms = 1.2;
    let took = time_until_complete(&mut driver, Span::from_secs(10));
    assert!(took.is_some(), "not all know each other after 10 s");
}

cases! { starts_behind_a_narrow_link:
    a_start_of_60_does_not_fill_the_store => (60),
    a_start_of_120_does_not_fill_the_store => (120),
}

/// Guards against calls of a start that grow faster than the fleet.
#[test]
fn the_listings_of_a_start_do_not_grow_with_the_fleet() {
    for nodes in [30, 60, 120] {
        let mut driver = fleet(nodes);
        assert!(time_until_complete(&mut driver, Span::from_secs(10)).is_some());
        let listings = driver.store.listings();
        // Members and configuration, once or twice in each domain.
        assert!(
            listings <= 2 * 2 * 3,
            "{listings} listings at {nodes} nodes"
        );
    }
}

/// Guards against a start that never ends because the introducer in the store is dead.
#[test]
fn a_dead_introducer_is_replaced() {
    let mut driver = fleet(30);
    assert!(time_until_complete(&mut driver, Span::from_secs(10)).is_some());
    let introducer = |driver: &mut Driver| {
        let key = "bluebellswitch/introducers/a".to_owned();
        let now = driver.now();
        let Some(Answer::Value(Some(entry))) = driver.store.on(now, &Call::Get { key }) else {
            panic!("no introducer");
        };
        let peer: Peer = serde_json::from_str(&entry.value).expect("a peer");
        let name = peer.instance.as_str().trim_start_matches('n').to_owned();
        name.parse::<usize>().expect("a number")
    };
    let dead = introducer(&mut driver);
    let newcomer = (0..10).find(|node| *node != dead).expect("another node");
    driver.kill(dead);
    driver.kill(newcomer);
    driver.run_for(Span::from_secs(12));
    driver.restart(newcomer);
    driver.run_for(Span::from_secs(6));
    assert!(
        is_complete(&mut driver, 29),
        "the newcomer knows the others"
    );
    assert_ne!(introducer(&mut driver), dead);
}

/// Guards against a listing by each node whenever a watcher dies.
#[test]
fn a_watcher_is_replaced_without_a_listing() {
    let mut driver = fleet(30);
    assert!(time_until_complete(&mut driver, Span::from_secs(10)).is_some());
    driver.run_for(Span::from_secs(15));
    let before = driver.store.listings();
    for node in 0..10 {
        driver.kill(node);
        driver.run_for(Span::from_secs(3));
        driver.restart(node);
        driver.run_for(Span::from_secs(3));
    }
    assert!(is_complete(&mut driver, 30));
    // The introducer is among those that started again: it lists both topics.
    let listings = driver.store.listings() - before;
    assert!(listings <= 2, "{listings} listings after the start");
}

fn peer(name: &str) -> Peer {
    let address = "127.0.0.1:7000".parse().expect("an address");
    Peer {
        instance: name.parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        pool: "mill".parse().expect("a name"),
        link: address,
        datagram: address,
        incarnation: Incarnation(1),
        status: Status::Alive,
        ready: true,
    }
}

fn entry(name: &str, revision: u64) -> Entry {
    Entry {
        key: "bluebellswitch/introducers/a".to_owned(),
        value: serde_json::to_string(&peer(name)).expect("text"),
        revision: Revision(revision),
    }
}

/// Runs until the next call that claims the role; all reads find nobody.
fn next_claim(introduction: &mut Introduction, now: &mut Time) -> Revision {
    for _ in 0..100 {
        *now = introduction.due().max(*now);
        match introduction.tick(*now) {
            Some(Call::Swap { expect, .. }) => return expect,
            Some(Call::Peek { .. }) => introduction.handle_answer(*now, Answer::Value(None)),
            call => panic!("{call:?}"),
        }
    }
    panic!("it never claims the role");
}

/// Guards against a crowd that writes at once, and against one that never does.
#[test]
fn claims_are_spread_over_time() {
    let delays = (0..50).map(|number| {
        let mut now = Time::from_ms(1000);
        let mut introduction = Introduction::new(peer(&format!("n{number}")));
        assert_eq!(next_claim(&mut introduction, &mut now), Revision(0));
        now.as_ms() / 100
    });
    let moments: std::collections::BTreeSet<_> = delays.collect();
    assert!(moments.len() > 8, "{moments:?}");
}

/// Guards against two introducers, and against a read older than a conflict that
/// brings back a dead one.
#[test]
fn a_lost_claim_tells_whom_to_ask() {
    let mut now = Time::from_ms(1000);
    let mut introduction = Introduction::new(peer("me"));
    next_claim(&mut introduction, &mut now);
    introduction.handle_answer(now, Answer::Conflict(Some(entry("other", 8))));
    let name = introduction.introducer().map(|peer| peer.instance.as_str());
    assert_eq!(name, Some("other"));
    introduction.introducer_failed(now);
    assert_eq!(next_claim(&mut introduction, &mut now), Revision(8));
    introduction.handle_answer(now, Answer::Swapped(Revision(9)));
    assert_eq!(introduction.introducer_since(), Some(now));
}

/// Guards against a claim that took effect although its answer was lost.
#[test]
fn an_own_entry_makes_the_introducer() {
    let mut now = Time::from_ms(1000);
    let mut introduction = Introduction::new(peer("me"));
    next_claim(&mut introduction, &mut now);
    introduction.handle_answer(now, Answer::Lost);
    now = introduction.due().max(now);
    introduction.tick(now);
    introduction.handle_answer(now, Answer::Conflict(Some(entry("me", 8))));
    assert_eq!(introduction.introducer_since(), Some(now));
}

/// Guards against a domain without an introducer because an entry of another writer names
/// nobody that can be asked.
fn is_claimed(odd: Entry) {
    let mut now = Time::from_ms(1000);
    let mut introduction = Introduction::new(peer("me"));
    while introduction.introducer_since().is_none() {
        now = introduction.due().max(now);
        assert!(now < Time::from_ms(4000), "the role is not claimed");
        let answer = match introduction.tick(now) {
            Some(Call::Peek { .. }) => Answer::Value(Some(odd.clone())),
            Some(Call::Swap { expect, .. }) => {
                assert_eq!(expect, odd.revision);
                Answer::Swapped(Revision(9))
            }
            // What the store has at no known revision cannot be expected.
            Some(Call::Put { .. }) if odd.revision == Revision(0) => Answer::Swapped(Revision(9)),
            call => panic!("{call:?}"),
        };
        introduction.handle_answer(now, answer);
    }
}

fn changed(change: impl FnOnce(&mut Peer)) -> Entry {
    let mut odd = peer("other");
    change(&mut odd);
    Entry {
        value: serde_json::to_string(&odd).expect("text"),
        ..entry("other", 8)
    }
}

cases! { is_claimed:
    value_that_cannot_be_read => (Entry { value: String::new(), ..entry("other", 8) }),
    revision_that_cannot_be_read => (Entry { value: String::new(), ..entry("other", 0) }),
    value_that_is_no_member => (Entry { value: "[]".to_owned(), ..entry("other", 8) }),
    another_domain => (changed(|peer| peer.domain = "b".parse().expect("a name"))),
    port_of_zero => (changed(|peer| peer.link.set_port(0))),
    incarnation_out_of_range => (changed(|peer| peer.incarnation.0 = u64::MAX)),
    state_that_no_node_writes => (changed(|peer| peer.status = Status::Dead)),
}
