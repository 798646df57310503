//! The level below which an inbound proxy sheds, and who gets what is left.

use bluebellswitch::{
    admission::{
        BAND,
        level::{
            Controller,
            State, //
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
            level.passed(Importance::Normal, &team(name), 1);
        }
        for _ in 0..24 {
            level.passed(Importance::Normal, &Team::services(), 1);
        }
        // The delay is too long until a third of the band is shed.
        let shed = (level.height() - 1.0).max(0.0);
        let delay = Span::from_ms(if shed < 0.33 { 60 } else { 20 });
        let state = State {
            delay,
            used: 1.0,
            rate: 400.0,
        };
        level.tick(now, state, target);
    }
    let shed = level.height() - 1.0;
    let of = |team: &Team| f64::from(level.level(team, true) - BAND) / f64::from(BAND);
    assert!((0.2..0.6).contains(&shed), "{shed}");
    assert!((of(&Team::services()) - shed).abs() < 0.01);
    for name in &names {
        let cut = of(&team(name));
        assert!((cut - shed).abs() < 0.05, "{name}: {cut} of {shed}");
    }
}
