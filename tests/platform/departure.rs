//! Upstreams whose departure was acknowledged, across restarts of the node beside them.

use std::{
    cell::Cell,
    time::Duration, //
};

use bluebellswitch::{
    clock::Span,
    platform::standin::Mood, //
};

use crate::site::{
    HOST,
    ID,
    KEY,
    Site,
    pause,
    run,
    until,
    whole, //
};

/// The machine whose upstream leaves, and the one that sends requests.
const LEAVING: usize = 1;
const SENDING: usize = 0;
/// Time between the end of a node and its restart.
const DOWN: Span = Span::from_ms(300);
/// The same, so long that the lease of the node's record expires.
const DOWN_PAST_LEASE: Span = Span::from_secs(7);
/// Sequence numbers of the delayed heartbeats and of the departure.
const DELAYED: u64 = 4;
const DEPARTURE: u64 = 8;
/// Time between two of the delayed heartbeats.
const DELAYED_INTERVAL_MS: u64 = 300;
/// Time for which the departed upstream must get no request.
const WATCHED: Duration = Duration::from_secs(3);

/// How an upstream leaves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Leave {
    Draining,
    Deregistered,
    /// It deregisters, and its node has received no other announcement.
    OnlyDeregistered,
}

/// How the node restarts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Restart {
    Killed,
    Drained,
    KilledTwice,
    KilledLate,
    AllKilled,
}

/// When the store refuses calls.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Store {
    Well,
    /// From before the departure until after the restart.
    AwayAcross,
    /// From before the departure until before the restart.
    AwayBefore,
}

async fn leave(site: &Site, how: Leave) {
    let machine = &site.machines[LEAVING];
    let status = match how {
        Leave::Draining => machine.say("draining", DEPARTURE).await,
        Leave::Deregistered => machine.leave().await,
        Leave::OnlyDeregistered => machine.leave_born(DEPARTURE, 1).await,
    };
    assert_eq!(status, 200, "the departure is acknowledged");
}

async fn restart(site: &mut Site, how: Restart) {
    if how == Restart::AllKilled {
        site.restart(SENDING, false, Span::ZERO).await;
    }
    if how == Restart::KilledTwice {
        site.restart(LEAVING, false, DOWN).await;
    }
    let down = match how {
        Restart::KilledLate => DOWN_PAST_LEASE,
        _ => DOWN,
    };
    site.restart(LEAVING, how == Restart::Drained, down).await;
}

/// Counts the requests that an upstream serves.
async fn served(site: &Site) -> usize {
    let front = site.front();
    let mut served = 0;
    let watched = async {
        loop {
            let answer = front.get("/view/x", &[HOST, KEY, ID]).await;
            served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
            pause(5).await;
        }
    };
    let _ = tokio::time::timeout(WATCHED, watched).await;
    served
}

/// Guards against requests for an upstream whose departure was acknowledged, after the
/// node beside it has restarted and received delayed heartbeats.
fn departs(leave_how: Leave, restart_how: Restart, store: Store) {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "whole")).await;
        if leave_how == Leave::OnlyDeregistered {
            site.restart(LEAVING, false, DOWN).await;
        }
        if store != Store::Well {
            site.store.set(Mood::Refuses(503));
            pause(100).await;
        }
        leave(&site, leave_how).await;
        if store == Store::AwayBefore {
            site.store.set(Mood::Well);
        }
        restart(&mut site, restart_how).await;
        for number in 0..3 {
            let status = site.machines[LEAVING].say("ready", DELAYED + number).await;
            assert_eq!(status, 200);
            pause(DELAYED_INTERVAL_MS).await;
        }
        site.store.set(Mood::Well);
        assert_eq!(served(&site).await, 0, "requests for a departed upstream");
        let sequence = Cell::new(0);
        until("the next life of the upstream is ready", || async {
            sequence.set(sequence.get() + 1);
            let announced = site.machines[LEAVING].say_born("ready", sequence.get(), 2);
            announced.await;
            pause(500).await;
            let answer = site.front().get("/view/x", &[HOST, KEY, ID]).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    });
}

cases! { departs:
    draining_then_killed => (Leave::Draining, Restart::Killed, Store::Well),
    draining_then_upgraded => (Leave::Draining, Restart::Drained, Store::Well),
    draining_then_killed_twice => (Leave::Draining, Restart::KilledTwice, Store::Well),
    draining_then_away_past_the_lease => (Leave::Draining, Restart::KilledLate, Store::Well),
    draining_then_all_killed => (Leave::Draining, Restart::AllKilled, Store::Well),
    deregistered_then_killed => (Leave::Deregistered, Restart::Killed, Store::Well),
    deregistered_then_upgraded => (Leave::Deregistered, Restart::Drained, Store::Well),
    deregistered_unknown_then_killed =>
        (Leave::OnlyDeregistered, Restart::Killed, Store::Well),
    store_away_across_a_kill => (Leave::Draining, Restart::Killed, Store::AwayAcross),
    store_away_across_an_upgrade => (Leave::Deregistered, Restart::Drained, Store::AwayAcross),
    store_away_across_kills_of_all => (Leave::Draining, Restart::AllKilled, Store::AwayAcross),
    store_away_before_an_upgrade => (Leave::Draining, Restart::Drained, Store::AwayBefore),
    store_away_before_a_kill => (Leave::Draining, Restart::Killed, Store::AwayBefore),
}

/// Guards against an acknowledgement that no other process knows of: after a kill it would
/// be forgotten.
#[test]
fn a_departure_that_nobody_else_holds_is_not_acknowledged() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "whole")).await;
        site.store.set(Mood::Refuses(503));
        // Without the store the nodes don't find each other.
        site.restart(SENDING, false, Span::ZERO).await;
        site.restart(LEAVING, false, Span::ZERO).await;
        let machine = &site.machines[LEAVING];
        assert_eq!(machine.say("ready", 2).await, 200);
        assert_eq!(machine.say("draining", 3).await, 503);
        site.store.set(Mood::Well);
        let sequence = Cell::new(3);
        until("the departure is acknowledged", || async {
            sequence.set(sequence.get() + 1);
            machine.say("draining", sequence.get()).await == 200
        })
        .await;
    });
}
