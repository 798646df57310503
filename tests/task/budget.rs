//! How often something may happen before a node is no longer trusted.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    task::Budget,
};

/// Takes at each of these times, in milliseconds, and returns which were allowed.
fn take(max: usize, window_ms: u64, times: &[u64]) -> Vec<bool> {
    let mut budget = Budget::new(max, Span::from_ms(window_ms));
    let at = |ms: &u64| Time::ZERO + Span::from_ms(*ms);
    times.iter().map(|ms| budget.take(at(ms))).collect()
}

fn allows(max: usize, times: &[u64], expected: &[bool]) {
    assert_eq!(take(max, 100, times), expected);
}

cases! { allows:
    none_of_zero => (0, &[5], &[false]),
    as_many_as_its_maximum => (2, &[0, 0, 0], &[true, true, false]),
    more_once_the_window_is_over => (1, &[0, 99, 100], &[true, false, true]),
    a_sliding_window => (2, &[0, 60, 110, 150, 160], &[true, true, true, false, true]),
    times_that_stand_still => (1, &[7, 7, 7], &[true, false, false]),
}

/// Guards against refusals that extend the time for which a budget is used up.
#[test]
fn what_is_not_allowed_takes_nothing() {
    let times: Vec<_> = (0..=10).map(|step| step * 10).collect();
    let allowed = take(1, 100, &times);
    assert_eq!(allowed.iter().filter(|allowed| **allowed).count(), 2);
    assert!(allowed[0] && allowed[10]);
}
