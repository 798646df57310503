//! Guards against upstreams that get more than the limit that they name in their answers.

use bluebellswitch::{
    clock::Span,
    standin::{
        driver::Driver,
        site::Site, //
    },
    unit::Rate, //
};

/// Time from the first answer that names a limit until the bound holds.
const CONTACT: Span = Span::from_secs(3);
const WINDOW: Span = Span::from_secs(4);

/// The most requests that may arrive in one window: one and a half times what the
/// limit allows, and five.
pub fn allowed(limit: Rate) -> usize {
    (limit.as_f64() * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Upstreams of course-catalog name a limit while callers go on calling.
fn named(limit: &str, upstreams: usize) {
    let site = Site::kandy();
    let limit: Rate = limit.parse().expect("a rate");
    let mut driver = Driver::new(site.setup(1));
    for flow in site.flows(60, 1) {
        driver.flow(flow);
    }
    driver.run_for(Span::from_secs(8));
    let need = driver.pool("course-catalog")[..upstreams].to_vec();
    for node in &need {
        driver.upstream(*node).name_limit(Some(limit));
    }
    driver.run_for(CONTACT);
    let from = driver.now();
    driver.run_for(Span::from_secs(12));
    let until = driver.now();
    for node in need {
        let most = driver.upstream(node).most_arrivals(from, until, WINDOW);
        assert!(
            most <= allowed(limit),
            "node {node}: {most} requests in 4 s, allowed {}",
            allowed(limit)
        );
    }
}

cases! { named:
    one_upstream_of_a_pool => ("14.8/s", 1),
    two_upstreams_of_a_pool => ("14.8/s", 2),
    all_upstreams_of_a_pool => ("14.8/s", 4),
    less_than_one_a_second => ("0.4/s", 2),
    nothing_at_all => ("0/s", 2),
}

/// What happens while two upstreams of a pool name a limit.
#[derive(Clone, Copy)]
enum Trouble {
    /// The nodes beside them are killed and start again.
    Restart,
    /// The nodes beside them stand still.
    Freeze,
    /// All nodes are cut off from those beside them.
    Cut,
    /// They name a fifth of it.
    Lowered,
    /// They name none for a while, and then the same again.
    Again,
    /// They are slow as well.
    Slow,
    /// All others of the pool accept no connection.
    Alone,
}

fn troubled(trouble: Trouble) {
    let site = Site::kandy();
    let mut limit = Rate::per_second(15);
    let mut driver = Driver::new(site.setup(2));
    for flow in site.flows(60, 1) {
        driver.flow(flow);
    }
    let pool = driver.pool("course-catalog");
    let (need, others) = pool.split_at(2);
    let name = |driver: &mut Driver, limit| {
        for node in need {
            driver.upstream(*node).name_limit(limit);
        }
    };
    driver.run_for(Span::from_secs(2));
    name(&mut driver, Some(limit));
    driver.run_for(CONTACT);
    let from = driver.now();
    driver.run_for(Span::from_secs(4));
    let mut judged = vec![];
    match trouble {
        Trouble::Restart => {
            need.iter().for_each(|node| driver.kill(*node));
            driver.run_for(Span::from_secs(1));
            need.iter().for_each(|node| driver.restart(*node));
        }
        Trouble::Freeze => need
            .iter()
            .for_each(|node| driver.pause(*node, Span::from_secs(3))),
        Trouble::Cut => {
            driver.part(need, true);
            driver.run_for(Span::from_secs(3));
            driver.part(need, false);
        }
        Trouble::Lowered => {
            judged.push((from, driver.now(), limit));
            limit = Rate::per_second(3);
            name(&mut driver, Some(limit));
        }
        Trouble::Again => {
            judged.push((from, driver.now(), limit));
            name(&mut driver, None);
            driver.run_for(Span::from_secs(6));
            name(&mut driver, Some(limit));
        }
        Trouble::Slow => need
            .iter()
            .for_each(|node| driver.upstream(*node).slow = 20.0),
        Trouble::Alone => others
            .iter()
            .for_each(|node| driver.upstream(*node).refusing = true),
    }
    let since = match judged.is_empty() {
        true => from,
        // Machines that had told before are bound half a second after an answer.
        false => driver.now() + Span::from_ms(500),
    };
    driver.run_for(Span::from_secs(10));
    judged.push((since, driver.now(), limit));
    for node in need {
        for (from, until, limit) in &judged {
            let most = driver.upstream(*node).most_arrivals(*from, *until, WINDOW);
            let allowed = allowed(*limit);
            assert!(most <= allowed, "node {node}: {most} in 4 s of {allowed}");
        }
    }
}

cases! { troubled:
    node_beside_it_restarts => (Trouble::Restart),
    node_beside_it_stands_still => (Trouble::Freeze),
    node_beside_it_is_cut_off => (Trouble::Cut),
    a_lower_limit => (Trouble::Lowered),
    a_limit_named_again => (Trouble::Again),
    a_slow_upstream => (Trouble::Slow),
    others_are_away => (Trouble::Alone),
}

/// Guards against a limit that outlives the answers that named it.
#[test]
fn an_upstream_that_names_no_limit_any_more_gets_its_share() {
    let site = Site::kandy();
    let mut driver = Driver::new(site.setup(3));
    for flow in site.flows(60, 1) {
        driver.flow(flow);
    }
    let pool = driver.pool("course-catalog");
    driver.run_for(Span::from_secs(4));
    for node in &pool[..2] {
        let limit = Some(Rate::per_second(0));
        driver.upstream(*node).name_limit(limit);
    }
    driver.run_for(Span::from_secs(10));
    pool[..2]
        .iter()
        .for_each(|node| driver.upstream(*node).name_limit(None));
    driver.run_for(Span::from_secs(10));
    let from = driver.now();
    driver.run_for(WINDOW);
    let until = driver.now();
    for node in &pool {
        let most = driver.upstream(*node).most_arrivals(from, until, WINDOW);
        assert!(most > 100, "node {node}: {most} in 4 s");
    }
}

/// Guards against requests that fail although other upstreams would take them, and
/// against refusals that name no time to come back.
#[test]
fn others_take_what_two_limited_upstreams_refuse() {
    let site = Site::kandy();
    let mut driver = Driver::new(site.setup(4));
    for flow in site.flows(60, 0) {
        driver.flow(flow);
    }
    driver.run_for(Span::from_secs(2));
    for node in driver.pool("course-catalog")[..2].to_vec() {
        let limit = Some(Rate::per_second(5));
        driver.upstream(node).name_limit(limit);
    }
    let from = driver.now();
    driver.run_for(Span::from_secs(10));
    let until = driver.now();
    driver.run_for(Span::from_secs(5));
    let items = driver.ledger.items.iter();
    let within: Vec<_> = items
        .filter(|item| item.begun >= from && item.begun < until)
        .collect();
    let whole = within.iter().filter(|item| item.whole.is_some()).count();
    let share = whole as f64 / within.len() as f64;
    assert!(share >= 0.99, "{share}");
}

/// Guards against requests of other routes, and important ones, that fail with a pool
/// whose upstreams all name a limit.
#[test]
fn a_limited_pool_serves_the_most_important_first() {
    let site = Site::kandy();
    let mut driver = Driver::new(site.setup(5));
    for flow in site.flows(60, 1) {
        driver.flow(flow);
    }
    driver.run_for(Span::from_secs(2));
    for node in driver.pool("course-catalog") {
        let limit = Some(Rate::per_second(30));
        driver.upstream(node).name_limit(limit);
    }
    driver.run_for(CONTACT);
    let from = driver.now();
    driver.run_for(Span::from_secs(10));
    let until = driver.now();
    driver.run_for(Span::from_secs(5));
    let share = |path: &str| {
        let items = driver.ledger.items.iter();
        let within = items.filter(|item| item.begun >= from && item.begun < until);
        let of: Vec<_> = within
            .filter(|item| driver.flows()[item.flow].path == path)
            .collect();
        let whole = of.iter().filter(|item| item.whole.is_some()).count();
        whole as f64 / of.len() as f64
    };
    assert!(share("/bookings") >= 0.95);
    assert!(share("/prints") >= 0.99);
    assert!(share("/species/1") >= 0.99);
}
