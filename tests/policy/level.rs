//! The level below which an inbound proxy sheds, and who gets what is left.

use bluebellswitch::{
    admission::{
        RANKS_PER_IMPORTANCE,
        level::{
            Controller,
            Measurement, //
        },
    },
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::Team, //
};

fn team(name: &str) -> Team {
    name.parse().expect("a name")
}

/// A service deep in a chain gets three calls of other services for each request
/// of its own callers, who are eight teams. Under overload the calls were one
/// team among nine: the eight small ones were served whole, and the chains that
/// the calls belong to paid for it.
#[test]
fn calls_between_services_are_cut_like_new_work() {
    let target = Span::from_ms(20);
    let mut level = Controller::default();
    let names: Vec<String> = (0..8).map(|number| format!("mill-{number}")).collect();
    for tick in 0..200 {
        let now = Time::from_ms(1000 + tick * 50);
        for name in &names {
            level.record_admitted(Importance::Normal, &team(name), 1);
        }
        for _ in 0..24 {
            level.record_admitted(Importance::Normal, &Team::services(), 1);
        }
        // The delay is too long until a third of the band is shed.
        let shed = (level.shed_importances() - 1.0).max(0.0);
        let queue_delay = Span::from_ms(if shed < 0.33 { 60 } else { 20 });
        let measurement = Measurement {
            queue_delay,
            utilization: 1.0,
            service_rate: 400.0,
        };
        level.tick(now, measurement, target);
    }
    let shed = level.shed_importances() - 1.0;
    let of = |team: &Team| {
        f64::from(level.level(team, true) - RANKS_PER_IMPORTANCE) / f64::from(RANKS_PER_IMPORTANCE)
    };
    assert!((0.2..0.6).contains(&shed), "{shed}");
    assert!((of(&Team::services()) - shed).abs() < 0.01);
    for name in &names {
        let cut = of(&team(name));
        assert!((cut - shed).abs() < 0.05, "{name}: {cut} of {shed}");
    }
}

/// Ticks of a controller whose requests are of two importances, with nothing
/// between and below them.
fn ticks(level: &mut Controller, first: u64, count: u64, queue_delay: Span, utilization: f64) {
    for tick in first..first + count {
        for _ in 0..10 {
            level.record_admitted(Importance::Normal, &team("mill"), 1);
            level.record_admitted(Importance::Critical, &team("mill"), 1);
        }
        let measurement = Measurement {
            queue_delay,
            utilization,
            service_rate: 400.0,
        };
        let now = Time::from_ms(1000 + tick * 50);
        level.tick(now, measurement, Span::from_ms(20));
    }
}

/// A crowd comes, and no request is of the least importance. The level climbed for
/// five seconds through that importance before the first request was shed; until
/// then they timed out in the queue, the important ones among them.
#[test]
fn shedding_begins_with_the_least_that_is_asked_for() {
    let mut level = Controller::default();
    ticks(&mut level, 0, 10, Span::from_ms(30), 1.0);
    assert!(
        level.shed_importances() > 1.02,
        "{}",
        level.shed_importances()
    );
}

/// A crowd had pushed the level into an importance without requests. It ends, and
/// half of the slots stood empty while the level came back through it.
#[test]
fn what_nobody_asks_for_does_not_hold_the_level_up() {
    let mut level = Controller::default();
    let mut tick = 0;
    while level.shed_importances() < 2.6 {
        ticks(&mut level, tick, 1, Span::from_ms(60), 1.0);
        tick += 1;
        assert!(tick < 1000, "{}", level.shed_importances());
    }
    ticks(&mut level, tick, 2, Span::ZERO, 0.5);
    assert!(
        level.shed_importances() < 2.0,
        "{}",
        level.shed_importances()
    );
}
