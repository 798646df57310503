//! The store is out for a minute, and then the owner of some teams' rates dies.
//! Callers of these teams were refused for the rest of the outage: 80.9 % of what
//! was within rate. Its lease had lived on for some seconds after the store fell
//! silent; on that ground the owner agreed with its successor to live by the store
//! again, and when the lease ended, the successor knew of no seat to take over.

use bluebellswitch::{
    clock::Span,
    lease::Seat,
    standin::{
        driver::Driver,
        site::Site, //
    },
};

/// The seats of rates that a node may use now.
fn seats(driver: &mut Driver, node: usize) -> Vec<Seat> {
    let now = driver.now();
    let Some(core) = driver.core(node) else {
        return Vec::new();
    };
    let all = (0..16).map(|number| Seat(format!("quota/{number}")));
    all.filter(|seat| core.seat_manager().ownership(now, seat).is_some())
        .collect()
}

#[test]
fn successor_takes_over_in_an_outage() {
    let site = Site::tuul();
    let mut driver = Driver::new(site.setup(1));
    driver.run_for(Span::from_secs(25));
    driver.weather.out = true;
    driver.run_for(Span::from_secs(60));
    let nodes = driver.len();
    let held = |driver: &mut Driver| {
        let all = (0..nodes).map(|node| (node, seats(driver, node)));
        all.max_by_key(|(_, seats)| seats.len()).expect("nodes")
    };
    let (owner, orphans) = held(&mut driver);
    assert!(orphans.len() > 2, "{orphans:?}");
    driver.kill(owner);
    driver.run_for(Span::from_secs(10));
    for seat in orphans {
        let owners = (0..nodes).filter(|node| seats(&mut driver, *node).contains(&seat));
        assert_eq!(owners.count(), 1, "{seat:?}");
    }
}
