//! The time for which a change in the store can be unknown to a node.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    contact::{
        self,
        Contact,
        Limits, //
    },
    feed::Topic,
    id::Revision,
    store::{
        Answer,
        Change, //
    },
};
use proptest::prelude::*;

const START: Time = Time::from_ms(50_000);

fn limits() -> Limits {
    Limits::within(Span::from_secs(2))
}

/// A contact that has heard of both topics at [`START`].
fn contact() -> Contact {
    let mut contact = Contact::new(limits());
    contact.heard(Topic::Members, START);
    contact.heard(Topic::Configuration, START);
    contact
}

fn changes(count: usize) -> Answer {
    let change = Change {
        key: "key".to_owned(),
        entry: None,
    };
    Answer::Changes {
        changes: vec![change; count],
        at: Revision(5),
    }
}

proptest! {
    /// Guards against timeouts that each are sensible and together exceed the bound.
    #[test]
    fn timeouts_fit_into_the_bound(bound in 200_u64..20_000) {
        let bound = Span::from_ms(bound);
        let limits = Limits::within(bound);
        prop_assert!(limits.wait < limits.overdue);
        prop_assert!(limits.overdue < limits.watcher);
        prop_assert!(limits.watcher < limits.check, "{limits:?}");
        prop_assert!(limits.check + bound.scale(0.25) <= bound, "{limits:?}");
    }

    /// Guards against a silence that adds up over two waits after an early answer.
    #[test]
    fn an_early_answer_shortens_the_next_wait(early in 0_u64..900) {
        let mut contact = contact();
        let now = START + Span::from_ms(early);
        contact.heard(Topic::Members, contact::heard_at(START, limits().wait, now, &changes(1)).unwrap());
        let end = now + contact.next_wait(Topic::Members, now);
        prop_assert!(end.since(START) <= limits().wait + Span::from_ms(50));
    }
}

/// Guards against a late or early answer that seems to confirm more than it does.
#[test]
fn only_a_full_wait_in_vain_confirms_its_end() {
    let wait = Span::from_ms(900);
    let heard = |after_ms, answer: &Answer| {
        contact::heard_at(START, wait, START + Span::from_ms(after_ms), answer)
    };
    assert_eq!(heard(900, &changes(0)), Some(START + wait));
    assert_eq!(heard(5000, &changes(0)), Some(START + wait));
    assert_eq!(heard(899, &changes(0)), Some(START));
    assert_eq!(heard(900, &changes(1)), Some(START));
    assert_eq!(heard(900, &Answer::Compacted), None);
    assert_eq!(heard(900, &Answer::Lost), None);
}

/// Guards against a node that waits for its watchers until the bound is over.
#[test]
fn a_silent_node_checks_the_configuration_first() {
    let mut contact = contact();
    let due = START + limits().check;
    assert_eq!(contact.due(false), due);
    assert_eq!(contact.tick(START + Span::from_ms(1499), false), None);
    assert_eq!(contact.tick(due, false), Some(Topic::Configuration));
    assert_eq!(contact.tick(due, false), None, "one at a time");
    contact.check_ended(due, Topic::Configuration, true);
    contact.heard(Topic::Configuration, due);
    assert_eq!(contact.tick(due, false), Some(Topic::Members));
}

/// Guards against a watcher that notices a dead connection only by its call's timeout.
#[test]
fn a_watcher_checks_earlier() {
    assert_eq!(contact().due(true), START + limits().overdue);
}

/// Guards against checks by all nodes for as long as the store is away.
#[test]
fn a_failed_check_is_not_repeated_before_the_store_answers() {
    let mut contact = contact();
    let due = START + limits().check;
    assert!(contact.tick(due, false).is_some());
    contact.check_ended(due, Topic::Configuration, false);
    assert!(contact.is_lost());
    assert_eq!(contact.due(false), Time::NEVER);
    let returned = due + Span::from_secs(60);
    contact.store_answered(returned);
    assert_eq!(contact.due(false), returned + Span::from_ms(500));
}

/// Guards against a long delay after a single call that failed.
#[test]
fn a_short_loss_delays_the_next_check_shortly() {
    let mut contact = contact();
    let due = START + limits().check;
    contact.store_lost(due);
    contact.store_answered(due + Span::from_ms(60));
    assert_eq!(contact.due(false), due + Span::from_ms(120));
}
