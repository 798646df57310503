//! Members find each other, notice who is gone, and take nobody for gone who
//! is not.

use bluebellswitch::{
    clock::Span,
    member::Status,
    node::Event, //
};

use crate::site::{
    belief,
    known,
    name,
    settled,
    strangers,
    until, //
};

const EVERYONE: usize = 13;

/// Nobody knows anybody; the store names the seeds. All find each other.
fn nodes_find_each_other(counts: [usize; 3], loss: f64) {
    let mut driver = strangers(counts, loss, 11);
    let nodes = driver.len();
    let all = |driver: &mut _| known(driver) == vec![nodes; nodes];
    let took = until(&mut driver, Span::from_secs(20), all);
    assert!(took.is_some(), "{:?}", known(&mut driver));
}

cases! { nodes_find_each_other:
    join_of_two => ([1, 1, 0], 0.0),
    join_of_thirteen => ([5, 4, 4], 0.0),
    join_with_loss => ([5, 4, 4], 0.05),
    join_of_forty => ([20, 10, 10], 0.0),
}

/// A new instance is started while the store is out. It knows one address,
/// from its settings, and serves: an outage of the store must not stop growth.
#[test]
fn join_in_a_store_outage() {
    let mut driver = settled([5, 4, 4], 0.0, 3);
    driver.weather.out = true;
    driver.kill(7);
    driver.run_for(Span::from_secs(60));
    driver.restart(7);
    let seed = "10.0.0.2:7000".parse().expect("an address");
    driver.core(7).expect("a living node").seed([seed]);
    let there = |driver: &mut _| {
        known(driver) == vec![EVERYONE; EVERYONE] && crate::site::versions(driver) == [1; 13]
    };
    let took = until(&mut driver, Span::from_secs(10), there);
    assert!(took.is_some(), "{:?}", known(&mut driver));
}

/// An instance dies without a word. Its node answers no probe, others ask on
/// the prober's behalf, and within seconds nobody sends it work.
fn a_crash_is_noticed(loss: f64, seed: u64) {
    let mut driver = settled([5, 4, 4], loss, seed);
    driver.kill(6);
    let gone = |driver: &mut _| {
        (0..EVERYONE)
            .filter(|node| *node != 6)
            .all(|node| belief(driver, node, 6) != Some(Status::Alive))
    };
    let took = until(&mut driver, Span::from_secs(10), gone);
    assert!(took.is_some_and(|t| t < Span::from_secs(6)), "{took:?}");
    driver.run_for(Span::from_secs(15));
    let dead = (0..EVERYONE)
        .filter(|node| *node != 6)
        .all(|node| belief(&mut driver, node, 6) == Some(Status::Dead));
    assert!(dead);
}

cases! { a_crash_is_noticed:
    crash => (0.0, 5),
    crash_with_loss => (0.05, 6),
}

/// A link breaks, and the instance at its end is dead. The node that saw the
/// link break sends it nothing more, long before a probe is due.
#[test]
fn a_broken_link_is_enough_to_doubt() {
    let mut driver = settled([5, 4, 4], 0.0, 8);
    let pool = "registry".parse().expect("a name");
    let now = driver.now();
    let core = driver.core(0).expect("a living node");
    let mut out = Vec::new();
    core.on(now, Event::OutboundLinkLost(name(6), Vec::new()), &mut out);
    let serves = |core: &mut bluebellswitch::node::Core| {
        core.members()
            .serving(&pool)
            .any(|peer| peer.instance == name(6))
    };
    assert!(!serves(core));
    // The link may have broken for another reason: an answer ends the doubt.
    driver.run_for(Span::from_secs(30));
    assert!(serves(driver.core(0).expect("a living node")));
}

/// Five in a hundred datagrams are lost for ten minutes. Nobody may be taken
/// for dead who lives: each false death moves load and refuses work.
#[test]
fn loss_kills_nobody() {
    let mut driver = settled([5, 4, 4], 0.05, 21);
    for _ in 0..60 {
        driver.run_for(Span::from_secs(10));
        for at in 0..EVERYONE {
            for of in 0..EVERYONE {
                assert_ne!(
                    belief(&mut driver, at, of),
                    Some(Status::Dead),
                    "{at} of {of}"
                );
            }
        }
    }
}

/// A machine is suspended for half a minute and wakes. The others have given
/// it up; it must not give up all the others for the answers it slept through,
/// and is a member again within seconds.
#[test]
fn a_paused_node_wakes() {
    let mut driver = settled([5, 4, 4], 0.0, 13);
    driver.pause(4, Span::from_secs(30));
    driver.run_for(Span::from_secs(25));
    assert_eq!(belief(&mut driver, 0, 4), Some(Status::Dead));
    let whole = |driver: &mut _| known(driver) == vec![EVERYONE; EVERYONE];
    let took = until(&mut driver, Span::from_secs(15), whole);
    assert!(took.is_some_and(|t| t < Span::from_secs(12)), "{took:?}");
    for node in (0..EVERYONE).filter(|node| *node != 4) {
        assert_eq!(belief(&mut driver, 4, node), Some(Status::Alive));
    }
}

/// Two domains lose each other for minutes and each takes the other for dead.
/// When the way is open again, nobody would try: the exchange does.
#[test]
fn a_partition_heals() {
    let mut driver = settled([5, 4, 4], 0.0, 17);
    let group = driver.domain("a");
    driver.part(&group, true);
    driver.run_for(Span::from_secs(120));
    assert_eq!(belief(&mut driver, 0, 12), Some(Status::Dead));
    assert_eq!(belief(&mut driver, 12, 0), Some(Status::Dead));
    driver.part(&group, false);
    let whole = |driver: &mut _| known(driver) == vec![EVERYONE; EVERYONE];
    let took = until(&mut driver, Span::from_secs(8), whole);
    assert!(took.is_some(), "{:?}", known(&mut driver));
}

/// The other side was forgotten before the way is open again: twenty minutes.
/// Only the seeds that the store names can bring the two together.
#[test]
fn a_long_partition_heals() {
    let mut driver = settled([3, 3, 0], 0.0, 19);
    let group = driver.domain("a");
    driver.part(&group, true);
    driver.run_for(Span::from_secs(1200));
    assert_eq!(belief(&mut driver, 0, 5), None, "forgotten");
    driver.part(&group, false);
    let whole = |driver: &mut _| known(driver) == vec![6; 6];
    let took = until(&mut driver, Span::from_secs(180), whole);
    assert!(took.is_some(), "{:?}", known(&mut driver));
}

/// A member died and was forgotten by all. A node that was suspended all the
/// while wakes and still tells that it lives: it must not come back.
#[test]
fn stale_gossip_brings_nobody_back() {
    let mut driver = settled([5, 4, 4], 0.0, 23);
    driver.pause(2, Span::from_secs(1500));
    driver.run_for(Span::from_secs(1));
    driver.kill(9);
    driver.run_for(Span::from_secs(1450));
    assert_eq!(belief(&mut driver, 0, 9), None, "forgotten");
    for _ in 0..120 {
        driver.run_for(Span::from_secs(1));
        for node in (0..EVERYONE).filter(|node| *node != 2 && *node != 9) {
            let belief = belief(&mut driver, node, 9);
            assert!(
                belief.is_none_or(|s| s == Status::Dead),
                "{node}: {belief:?}"
            );
        }
    }
    assert_ne!(belief(&mut driver, 2, 9), Some(Status::Alive));
}

/// An upstream leaves. Two seconds later no node picks it, and when its node
/// has gone nobody calls that a failure.
fn leaving_is_heard(loss: f64) {
    let mut driver = settled([5, 4, 4], loss, 29);
    let pool = "registry".parse().expect("a name");
    driver.drain(3);
    driver.run_for(Span::from_secs(1));
    for node in (0..EVERYONE).filter(|node| *node != 3) {
        assert_eq!(belief(&mut driver, node, 3), Some(Status::Leaving));
    }
    driver.run_for(Span::from_secs(1));
    for node in (0..EVERYONE).filter(|node| *node != 3) {
        let core = driver.core(node).expect("a living node");
        let picked = core
            .members()
            .serving(&pool)
            .any(|peer| peer.instance == name(3));
        assert!(!picked, "{node} still sends to the one that leaves");
    }
    driver.run_for(Span::from_secs(5));
    assert!(driver.core(3).is_none(), "it has stopped");
    for node in (0..EVERYONE).filter(|node| *node != 3) {
        assert_ne!(belief(&mut driver, node, 3), Some(Status::Suspect));
    }
}

cases! { leaving_is_heard:
    leaving => (0.0),
    leaving_with_loss => (0.05),
}

/// An instance is replaced under its old name and address. Its new life must
/// take the old one's place at once, although the old one is being buried.
#[test]
fn a_restart_under_the_same_address() {
    let mut driver = settled([5, 4, 4], 0.0, 31);
    driver.kill(5);
    driver.run_for(Span::from_secs(8));
    driver.restart(5);
    let whole = |driver: &mut _| known(driver) == vec![EVERYONE; EVERYONE];
    let took = until(&mut driver, Span::from_secs(8), whole);
    assert!(took.is_some(), "{:?}", known(&mut driver));
}

/// Everything in a pool is suspected, as when this node's own network stalls.
/// A guess is better than an empty pool.
#[test]
fn suspects_serve_when_nothing_else_does() {
    let mut driver = settled([5, 4, 4], 0.0, 37);
    let pool = "registry".parse().expect("a name");
    let core = driver.core(0).expect("a living node");
    let peers: Vec<_> = core.members().iter().cloned().collect();
    for mut peer in peers {
        peer.status = Status::Suspect;
        core.members().insert(peer);
    }
    assert_eq!(core.members().serving(&pool).count(), EVERYONE);
}

/// A new upstream ramps up, so every node must know how long it has been
/// ready, not only those who were there when it came.
#[test]
fn the_age_of_readiness_is_spread() {
    let mut driver = settled([5, 4, 4], 0.0, 41);
    driver.kill(5);
    driver.run_for(Span::from_secs(20));
    driver.restart(5);
    driver.run_for(Span::from_secs(10));
    let now = driver.now();
    for node in 0..EVERYONE {
        let core = driver.core(node).expect("a living node");
        let age = core.members().ready_duration(now, &name(5)).expect("ready");
        let near = age >= Span::from_secs(8) && age <= Span::from_secs(10);
        assert!(near, "{node}: {age}");
    }
}
