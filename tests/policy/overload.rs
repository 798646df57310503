//! Whole sites under overload, in short forms of what `measure policy` prints.

use bluebellswitch::{
    clock::Span,
    policy::Policy,
    standin::{
        site::Site,
        trial, //
    },
};

const SHORT: Span = Span::from_secs(15);

/// Demand is three times the capacity and callers retry. Every server is busy,
/// but with requests that end nowhere: a chain taken at three hops is shed at
/// the fourth, and certificates fail beside look-ups.
fn surge(site: Site) {
    let surge = trial::surge(&site, Policy::default(), 3, SHORT);
    assert!(surge.goodput >= 0.9, "{surge:?}");
    assert!(surge.critical >= 0.99, "{surge:?}");
    assert!(surge.wasted < 0.05, "{surge:?}");
    assert!(surge.recovery.is_some_and(|s| s <= 5), "{surge:?}");
}

cases! { surge:
    surge_at_tuul => (Site::tuul()),
    surge_at_kandy => (Site::kandy()),
}

/// The deepest service is ten times slower for a while. Users see errors long
/// after it is well again: queues hold requests that nobody waits for, and
/// callers' retries keep them full.
fn slowdown(site: Site) {
    let slow = trial::slowdown(&site, Policy::default(), 3, SHORT);
    assert!(slow.recovery.is_some_and(|s| s <= 5), "{slow:?}");
    assert!(slow.after >= 0.95, "{slow:?}");
}

cases! { slowdown:
    slowdown_at_tuul => (Site::tuul()),
    slowdown_at_kandy => (Site::kandy()),
}

#[test]
fn without_control_a_slowdown_outlasts_its_cause() {
    let slow = trial::slowdown(&Site::tuul(), Policy::open(), 3, SHORT);
    assert_eq!(slow.recovery, None, "{slow:?}");
    assert!(slow.after < 0.1, "{slow:?}");
}

/// Guards against upstreams that come back cold, crash under the load of warm ones
/// and come back cold again.
fn outage(site: Site) {
    let outage = trial::outage(&site, true, 3);
    assert_eq!(outage.crashes, 0, "{outage:?}");
    assert!(outage.recovery.is_some_and(|s| s <= 8), "{outage:?}");
    assert!(outage.after >= 0.95, "{outage:?}");
}

cases! { outage:
    outage_at_tuul => (Site::tuul()),
    outage_at_kandy => (Site::kandy()),
}

/// Guards against work that begins in an evacuated domain, requests lost beside it,
/// and upstreams that crash as they are taken back.
fn evacuation(site: Site) {
    let evacuation = trial::evacuation(&site, true, 3);
    assert_eq!(evacuation.begun, 0, "{evacuation:?}");
    assert_eq!(evacuation.crashes, 0, "{evacuation:?}");
    assert!(evacuation.during >= 0.99, "{evacuation:?}");
    assert!(evacuation.after >= 0.99, "{evacuation:?}");
}

cases! { evacuation:
    evacuation_at_tuul => (Site::tuul()),
    evacuation_at_kandy => (Site::kandy()),
}

/// Shows that the story above sees nodes that did not hear of the order, and of its end.
#[test]
fn an_evacuation_that_nobody_hears_of_is_seen() {
    let evacuation = trial::evacuation(&Site::tuul(), false, 3);
    assert!(evacuation.begun > 1000, "{evacuation:?}");
    assert!(evacuation.crashes > 0, "{evacuation:?}");
}

/// Shows that the story of an outage really crashes what gets too much.
#[test]
fn without_a_rate_for_cold_upstreams_an_outage_lasts() {
    let outage = trial::outage(&Site::tuul(), false, 3);
    assert!(outage.crashes > 100, "{outage:?}");
    assert_eq!(outage.recovery, None, "{outage:?}");
    assert!(outage.after < 0.5, "{outage:?}");
}

/// One team sends five times what it should. The others send what they always
/// do, and see their requests refused.
fn greed(site: Site) {
    let greed = trial::unmetered(&site, Policy::default(), 3, SHORT);
    assert!(greed.worst >= 0.95, "{greed:?}");
    assert!(greed.greedy < 0.6, "{greed:?}");
}

cases! { greed:
    greed_at_tuul => (Site::tuul()),
    greed_at_kandy => (Site::kandy()),
}
