//! The order of requests by the priority of their team and the importance of
//! their route.

use bluebellswitch::{
    context::Importance,
    document::Snapshot,
    id,
    standing::Order,
    tables::{
        Route,
        Tables, //
    },
    team::{
        Team,
        Teams, //
    },
    unit::{
        Rate,
        Weight, //
    },
};

fn snapshot(teams: &[(&str, u32)], routes: &[Importance]) -> Snapshot {
    let row = r#"{"name":"read","path":"/read","pool":"mill","deadline":"5s"}"#;
    let model: Route = serde_json::from_str(row).expect("a row");
    let route = |importance: &Importance| Route {
        importance: *importance,
        ..model.clone()
    };
    let team = |(name, priority): &(&str, u32)| Team {
        name: name.parse().expect("a name"),
        rate: Rate::per_second(1),
        burst: 1,
        weight: Weight::default(),
        priority: *priority,
    };
    Snapshot {
        version: id::Version(1),
        tables: Tables {
            routes: routes.iter().map(route).collect(),
            pools: Vec::new(),
        },
        teams: Teams {
            teams: teams.iter().map(team).collect(),
            ..Teams::default()
        },
        ..Snapshot::default()
    }
}

fn importance(order: &Order, team: &str, route: Importance) -> Importance {
    order.importance(&team.parse().expect("a name"), route)
}

/// All teams have the same priority, whatever its number: routes alone decide.
#[test]
fn alike_teams_go_by_their_routes() {
    let mut order = Order::default();
    let routes = [Importance::Critical, Importance::Normal];
    order.read(&snapshot(&[("mills", 1), ("yards", 1)], &routes));
    for route in routes {
        assert_eq!(importance(&order, "yards", route), route);
    }
}

/// The operators put one team before the other. Its look-ups were shed before the
/// other team's orders all the same, as only routes were compared.
#[test]
fn a_team_goes_before_all_routes_of_the_next() {
    let mut order = Order::default();
    let routes = [Importance::Critical, Importance::Normal];
    order.read(&snapshot(&[("mills", 0), ("yards", 3)], &routes));
    let of = |team, route| importance(&order, team, route);
    let mut steps = [
        of("mills", Importance::Critical),
        of("mills", Importance::Normal),
        of("yards", Importance::Critical),
        of("yards", Importance::Normal),
    ];
    steps.reverse();
    assert_eq!(steps, Importance::ALL);
}

/// There are more steps than importances: the last ones share the least.
#[test]
fn what_does_not_fit_is_of_the_least_importance() {
    let mut order = Order::default();
    let routes = [Importance::Critical, Importance::High, Importance::Low];
    let teams = [("mills", 0), ("yards", 1), ("docks", 2)];
    order.read(&snapshot(&teams, &routes));
    let of = |team, route| importance(&order, team, route);
    assert_eq!(of("yards", Importance::Critical), Importance::Low);
    assert_eq!(of("docks", Importance::Critical), Importance::Low);
}

/// A later version changes the priorities.
#[test]
fn a_new_version_is_read() {
    let mut order = Order::default();
    let routes = [Importance::Critical, Importance::Normal];
    order.read(&snapshot(&[("mills", 0), ("yards", 1)], &routes));
    let newer = Snapshot {
        version: id::Version(2),
        ..snapshot(&[("mills", 1), ("yards", 0)], &routes)
    };
    order.read(&newer);
    let yards = importance(&order, "yards", Importance::Critical);
    assert_eq!(yards, Importance::Critical);
}
