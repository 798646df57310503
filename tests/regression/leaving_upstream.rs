//! Guards against requests for an upstream whose answers have said that it leaves.

use bluebellswitch::{
    backpressure::{
        Limit,
        Signal, //
    },
    clock::Span,
    standin::{
        driver::Driver,
        site::Site, //
    },
    unit::Rate, //
};

/// Time after an answer that says so in which requests may still arrive.
const DRAIN: Span = Span::from_secs(2);
const WATCHED: Span = Span::from_secs(10);

fn leaves(limit: Limit, restarts: bool) {
    let site = Site::kandy();
    let mut driver = Driver::new(site.setup(1));
    for flow in site.flows(60, 1) {
        driver.flow(flow);
    }
    driver.run_for(Span::from_secs(8));
    let node = driver.pool("course-catalog")[0];
    driver.upstream(node).tell(Signal {
        limit,
        leaving: true,
    });
    driver.run_for(DRAIN);
    let from = driver.now();
    if restarts {
        driver.kill(node);
        driver.run_for(Span::from_secs(1));
        driver.restart(node);
    }
    driver.run_for(WATCHED);
    let until = driver.now();
    let arrived = driver.upstream(node).most_arrivals(from, until, WATCHED);
    assert_eq!(arrived, 0);
}

cases! { leaves:
    says_so_in_answers_alone => (Limit::Absent, false),
    says_so_while_it_names_a_limit => (Limit::Named(Rate::per_second(5)), false),
    node_beside_it_restarts => (Limit::Absent, true),
}
