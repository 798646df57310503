//! Statuses of an upstream that promise that a request has not run, without its word for it.

use bluebellswitch::standin::upstream::{
    Act,
    Seen, //
};

use crate::site::{
    Site,
    run,
    signed,
    whole, //
};

/// Answers orders with a status, after it has run them.
fn answers_orders_with(status: u16, is_signed: bool) -> impl Fn(&Seen) -> Act + Clone {
    move |seen| match seen.method.as_str() {
        "POST" => {
            let mut headers = signed(seen);
            if !is_signed {
                headers.truncate(1);
            }
            Act::Answer(status, headers, "too busy".into())
        }
        _ => whole(seen, "stock"),
    }
}

/// An upstream that has run an order may answer with any status.
fn promises_nothing(status: u16, is_signed: bool) {
    run(async {
        let site = Site::start(answers_orders_with(status, is_signed)).await;
        let answer = site.call("POST", "/issue/x", "body").await;
        let orders = site.machines[1].server.seen();
        let orders = orders.iter().filter(|seen| seen.method == "POST").count();
        assert_eq!(orders, 1);
        assert_eq!(answer.status, 502);
        assert_eq!(answer.header("bluebellswitch-response-seal"), None);
    });
}

// Guards against orders that ran and whose callers are told that they did not.
cases! { promises_nothing:
    signed_408_of_an_order_that_ran => (408, true),
    signed_429_of_an_order_that_ran => (429, true),
    signed_503_of_an_order_that_ran => (503, true),
    unsigned_429_of_an_order_that_ran => (429, false),
    unsigned_503_of_an_order_that_ran => (503, false),
}

/// An upstream's own failure reaches the caller unchanged.
#[test]
fn other_failures_of_an_upstream_are_passed_on() {
    run(async {
        let site = Site::start(answers_orders_with(500, true)).await;
        let answer = site.call("POST", "/issue/x", "body").await;
        assert_eq!(answer.status, 500);
        assert_eq!(answer.body, "too busy");
    });
}
