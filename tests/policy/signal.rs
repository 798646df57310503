//! What an inbound proxy makes known of the limit that its upstream names.

use bluebellswitch::{
    backpressure::{
        Hint,
        Limit,
        Signal, //
    },
    clock::Span,
    code::Code,
    id,
    inbound::{
        Action,
        Event, //
    },
    unit::Rate, //
};

use crate::inbound::Bench;

fn told(bench: &mut Bench, limit: Limit) -> Vec<Action> {
    let signal = Signal {
        limit,
        leaving: false,
    };
    let started = bench.now;
    bench.now += Span::from_ms(10);
    let actions = bench.on(Event::Signal { signal, started });
    let is_note = |action: &Action| matches!(action, Action::Limit(_));
    actions.into_iter().filter(is_note).collect()
}

/// Guards against a limit that no log line tells of, and against a line an answer.
#[test]
fn a_limit_is_noted_when_it_is_news() {
    let mut bench = Bench::new(r#"{"name":"p","slots":8}"#);
    let named = |count| Limit::Named(Rate::per_second(count));
    assert_eq!(told(&mut bench, Limit::Absent), []);
    assert_eq!(
        told(&mut bench, named(15)),
        [Action::Limit(named(15))],
        "the first one"
    );
    assert_eq!(told(&mut bench, named(15)), [], "the same one");
    assert_eq!(told(&mut bench, named(14)), [], "another one at once");
    bench.now += Span::from_secs(1);
    assert_eq!(told(&mut bench, named(14)), [Action::Limit(named(14))]);
    for _ in 0..20 {
        assert_eq!(told(&mut bench, Limit::Unreadable), []);
        assert_eq!(told(&mut bench, named(14)), []);
    }
}

/// Guards against a node that starts again, hears a heartbeat that was delayed, and
/// sends requests to an upstream whose leaving was acknowledged before.
#[test]
fn a_leaving_that_was_acknowledged_outlives_its_node() {
    let pool = r#"{"name":"p","slots":8}"#;
    let (upstream, other) = (id::Upstream(3), id::Upstream(4));
    let mut former = Bench::new(pool);
    former.on(Event::Upstream(upstream));
    former.on(Event::Leaving(true));
    former.on(Event::Ready(false));
    let (_, actions) = former.attempt(|_| {});
    let Some(Action::Refuse(_, _, Code::Leaving, report)) = actions.first() else {
        panic!("{actions:?}");
    };
    let hint = report.hint.expect("a hint");
    assert!(hint.leaving);

    let mut later = Bench::new(pool);
    later.on(Event::Upstream(upstream));
    later.on(Event::Ready(true));
    later.on(Event::Hint(hint));
    let (_, actions) = later.attempt(|_| {});
    assert!(matches!(
        actions[..],
        [Action::Refuse(_, _, Code::Leaving, _)]
    ));
    assert!(!later.proxy.is_offered());
    later.on(Event::Upstream(other));
    let (_, actions) = later.attempt(|_| {});
    assert!(matches!(actions[..], [Action::Start { .. }]), "{actions:?}");
}

/// Guards against a hint of another life of the upstream, and of one without a name.
fn ignored(upstream: id::Upstream) {
    let mut bench = Bench::new(r#"{"name":"p","slots":8}"#);
    bench.on(Event::Upstream(id::Upstream(3)));
    bench.on(Event::Hint(Hint {
        upstream,
        limit: Some(Rate::per_second(0)),
        leaving: true,
    }));
    let (_, actions) = bench.attempt(|_| {});
    assert!(matches!(actions[..], [Action::Start { .. }]), "{actions:?}");
}

cases! { ignored:
    of_another_life => (id::Upstream(4)),
    of_one_without_a_name => (id::Upstream(0)),
}
