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
