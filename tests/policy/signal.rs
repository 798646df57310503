//! What an inbound proxy makes known of the limit that its upstream names.

use bluebellswitch::{
    backpressure::{
        Limit,
        Signal, //
    },
    clock::Span,
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
    let begun = bench.now;
    bench.now += Span::from_ms(10);
    let actions = bench.on(Event::Signal { signal, begun });
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
}
