//! Rates of teams over the whole fleet: few wrongful refusals, never too much.

use bluebellswitch::{
    clock::Span,
    standin::rates::{
        Fleet,
        Size, //
    },
};

/// What teams ask for in ordinary times, as a part of their rates.
const CALM_LOAD: f64 = 0.625;
/// Wrongful refusals that are allowed in ordinary times.
const CALM_REFUSED: f64 = 0.001;

fn settled(size: Size, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run(Span::from_secs(3), CALM_LOAD);
    fleet.count_anew();
    fleet
}

/// Guards against small teams that are refused within their rates, because their
/// few tokens lie at nodes that their clients do not ask.
fn calm(size: Size) {
    let mut fleet = settled(size, 7);
    fleet.run(Span::from_secs(12), CALM_LOAD);
    // The last calls are answered.
    fleet.run(Span::from_ms(200), 0.0);
    let refused = fleet.refused();
    assert!(refused <= CALM_REFUSED, "{refused:.4} refused");
    assert_eq!(fleet.excess(), 0.0);
}

cases! { calm:
    twelve_nodes_refuse_nothing_within_the_rates => (Size::of(12, 8, 8)),
    seventy_nodes_refuse_nothing_within_the_rates => (Size::of(70, 78, 8)),
    two_hundred_nodes_refuse_nothing_within_the_rates => (Size::of(195, 140, 8)),
    one_client_a_team_is_refused_nothing => (Size::of(195, 140, 1)),
    clients_at_most_nodes_are_refused_nothing => (Size::of(70, 78, 60)),
}

/// Guards against a team that gets less than its rate because many ask for it at
/// once, and against one that gets more.
fn flood(size: Size) {
    let mut fleet = settled(size, 8);
    fleet.run(Span::from_secs(10), 3.0);
    for (team, served) in fleet.served().iter().enumerate() {
        let share = f64::from(served.taken) / f64::from(served.ideal);
        assert!(share >= 0.95, "team {team}: {share:.3}");
    }
    assert_eq!(fleet.excess(), 0.0);
}

cases! { flood:
    a_flood_gets_the_rate_at_twelve_nodes => (Size::of(12, 8, 8)),
    a_flood_gets_the_rate_at_seventy_nodes => (Size::of(70, 78, 8)),
}

/// Guards against tokens that go to whoever asks first: a payment was refused as
/// often as a look at a list.
#[test]
fn a_flood_leaves_the_rate_to_critical_calls() {
    let mut fleet = settled(Size::of(12, 8, 8), 11);
    fleet.critical = 0.2;
    fleet.run(Span::from_secs(10), 3.0);
    for (team, served) in fleet.served().iter().enumerate() {
        let (asked, taken) = served.critical;
        let share = f64::from(taken) / f64::from(asked);
        assert!(share >= 0.95, "team {team}: {share:.3} of {asked} critical");
        let share = f64::from(served.taken) / f64::from(served.ideal);
        assert!(share >= 0.85, "team {team}: {share:.3} of the rate");
    }
    assert_eq!(fleet.excess(), 0.0);
}

/// Guards against a team that loses more than a second of its rate, and then more
/// than a half until the record lapses, when its first server dies.
#[test]
fn a_dead_server_costs_its_teams_a_second() {
    let mut fleet = settled(Size::of(70, 8, 8), 9);
    let server = fleet.server(0);
    fleet.kill(server);
    fleet.run(Span::from_ms(1200), CALM_LOAD);
    fleet.count_anew();
    fleet.run(Span::from_secs(6), 0.4);
    let refused = fleet.served()[0].refused();
    assert!(refused <= 0.02, "{refused:.4} refused after a second");
    assert_eq!(fleet.excess(), 0.0);
}

/// Guards against a server that is passed over for one lost message, while no other
/// mints tokens of the team.
#[test]
fn lost_messages_cost_little() {
    let size = Size {
        loss: 0.02,
        ..Size::of(70, 78, 8)
    };
    let mut fleet = settled(size, 10);
    fleet.run(Span::from_secs(12), CALM_LOAD);
    let refused = fleet.refused();
    assert!(refused <= 0.01, "{refused:.4} refused");
    assert_eq!(fleet.excess(), 0.0);
}

/// Guards against two that both mint a team's whole rate: one is paused, cut off,
/// without the store, or dead and back, while others take its place.
#[test]
fn faults_never_give_a_team_more_than_its_rate() {
    for seed in 0..12 {
        let size = Size {
            loss: 0.05,
            lag: Span::from_ms(2900),
            ..Size::of(24, 12, 6)
        };
        let mut fleet = settled(size, seed);
        for round in 0..6 {
            let node = fleet.server((round + seed as usize) % 12);
            match round % 4 {
                0 => fleet.pause(node, Span::from_ms(700 + 1500 * seed)),
                1 => fleet.cut(node, true),
                2 => fleet.unlist(node, true),
                _ => fleet.kill(node),
            }
            fleet.run(Span::from_ms(1500 + 500 * seed), 2.0);
            fleet.cut(node, false);
            fleet.unlist(node, false);
            if round % 4 == 3 {
                fleet.restart(node);
            }
            fleet.run(Span::from_ms(300 + 300 * seed), 0.5);
        }
        fleet.run(Span::from_secs(8), 1.5);
        assert_eq!(fleet.excess(), 0.0, "seed {seed}");
    }
}

/// The teams of a site of twelve nodes: rate and burst.
fn twelve() -> Size {
    let rates = [48, 28, 20, 16, 14, 12, 11, 10];
    Size {
        teams: rates.map(|rate| (u64::from(rate), rate)).to_vec(),
        ..Size::of(12, 8, 12)
    }
}

/// Guards against teams that stay a little inside their rates and are refused more
/// than by one bucket without any delay.
fn near_the_rate(load: f64, most: f64) {
    let mut fleet = Fleet::new(twelve(), 7);
    fleet.run(Span::from_secs(20), load);
    fleet.run(Span::from_ms(200), 0.0);
    for (team, served) in fleet.served().iter().enumerate() {
        let lost = f64::from(served.ideal) - f64::from(served.taken);
        let lost = lost / f64::from(served.asked);
        assert!(lost <= most, "team {team}: {lost:.4} of {}", served.asked);
    }
    assert_eq!(fleet.excess(), 0.0);
}

cases! { near_the_rate:
    at_half_the_rates => (0.5, 0.001),
    at_four_fifths_of_the_rates => (0.8, 0.02),
    close_to_the_rates => (0.95, 0.05),
}

/// Guards against calls that are refused for long when one node dies, at three
/// fifths of the rates and over all teams.
fn a_dead_node_costs_the_fleet_little(node: usize) {
    let mut fleet = Fleet::new(twelve(), 9);
    fleet.run(Span::from_secs(5), 0.7);
    fleet.kill(node);
    fleet.run(Span::from_ms(500), 0.7);
    fleet.count_anew();
    fleet.run(Span::from_secs(5), 0.6);
    let taken: u32 = fleet.served().iter().map(|served| served.taken).sum();
    let asked: u32 = fleet.served().iter().map(|served| served.asked).sum();
    let served = f64::from(taken) / f64::from(asked);
    assert!(served >= 0.95, "{served:.4} of {asked}");
    assert_eq!(fleet.excess(), 0.0);
}

cases! { a_dead_node_costs_the_fleet_little:
    node_0_dies => (0),
    node_1_dies => (1),
    node_2_dies => (2),
    node_3_dies => (3),
    node_4_dies => (4),
    node_5_dies => (5),
    node_6_dies => (6),
    node_7_dies => (7),
    node_8_dies => (8),
    node_9_dies => (9),
    node_10_dies => (10),
    node_11_dies => (11),
}

/// Guards against a node that is cut off from all others and from the store, and
/// goes on minting beside those that take its place.
#[test]
fn a_cut_node_mints_no_more_than_its_part() {
    for node in 0..12 {
        let mut fleet = Fleet::new(twelve(), 10);
        fleet.run(Span::from_secs(3), 1.5);
        fleet.cut(node, true);
        fleet.run(Span::from_secs(8), 3.0);
        assert_eq!(fleet.excess(), 0.0, "node {node}");
    }
}
