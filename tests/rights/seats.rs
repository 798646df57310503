//! No seat ever has two owners, whatever happens to nodes, network and store.

use std::collections::BTreeMap;

use bluebellswitch::{
    clock::Span,
    lease::{
        Epoch,
        Seat, //
    },
    standin::{
        driver::Driver,
        site::Site, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const STEP: Span = Span::from_ms(50);

/// Looks at every node: who holds which seat now, under which number.
fn look(driver: &mut Driver, last: &mut BTreeMap<Seat, (Epoch, usize)>) -> usize {
    let now = driver.now();
    let mut owners: BTreeMap<Seat, usize> = BTreeMap::new();
    for node in 0..driver.len() {
        let Some(core) = driver.core(node) else {
            continue;
        };
        for seat in core.seat_manager().seats(now) {
            let right = core.seat_manager().ownership(now, &seat).expect("it holds");
            let before = owners.insert(seat.clone(), node);
            assert_eq!(before, None, "{now}: {seat} has two owners");
            let (epoch, owner) = last.get(&seat).copied().unwrap_or((Epoch(0), node));
            assert!(right.epoch >= epoch, "{now}: {seat} went back");
            assert!(
                right.epoch > epoch || owner == node,
                "{now}: {seat} changed hands under one number"
            );
            last.insert(seat, (right.epoch, node));
        }
    }
    owners.len()
}

/// One fault by chance.
fn fault(driver: &mut Driver, rng: &mut ChaCha8Rng) {
    let node = rng.random_range(0..driver.len());
    let other = rng.random_range(0..driver.len());
    match rng.random_range(0..10) {
        0 => driver.kill(node),
        1 => driver.pause(node, Span::from_ms(rng.random_range(500..6000))),
        2 => driver.weather.out = true,
        3 => driver.weather.lost = 0.4,
        4 => driver.weather.slow = Span::from_ms(rng.random_range(0..900)),
        5 => driver.part(&[node], true),
        6 if node != other => driver.cut(node, other, true),
        7 => driver.drain(node),
        8 => {
            driver.weather = Default::default();
            (0..driver.len()).for_each(|node| driver.part(&[node], false));
        }
        _ => (0..driver.len()).for_each(|node| driver.restart(node)),
    }
}

fn one_owner(seed: u64) {
    let mut setup = Site::tuul().setup(seed);
    setup.net.jitter = Span::from_ms(20);
    setup.net.loss = 0.1;
    setup.net.double = 0.1;
    let mut driver = Driver::new(setup);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut last = BTreeMap::new();
    let mut most = 0;
    for step in 0..2400 {
        if step > 60 && rng.random_bool(0.04) {
            fault(&mut driver, &mut rng);
        }
        driver.run_for(STEP);
        most = most.max(look(&mut driver, &mut last));
    }
    // The faults are not so many that nothing was ever owned.
    assert!(most >= 16, "{most}");
}

// Faults that these seeds showed, each seen as two nodes that grant the same
// team's tokens at once:
// 7: an owner told its successor of seats that it had lost to it before, and
//    the successor took them "over" under an older number.
// 187, 232: an owner was paused, lost its seats, woke, told its successor that
//    it was calm, lost the store, and went on with the old seats by promise.
// 120, 356: a successor that had taken over an owner's seats without the store
//    took also what that owner wrote in the store afterwards.
cases! { one_owner:
    seats_seed_1 => (1),
    seats_seed_2 => (2),
    seats_told_though_lost => (7),
    seats_kept_over_a_pause => (187),
    seats_kept_over_a_pause_again => (232),
    seats_written_after_the_takeover => (120),
    seats_written_after_the_takeover_again => (356),
    seats_of_an_owner_that_was_taken_over => (1213),
    seats_frozen_again => (383),
}
