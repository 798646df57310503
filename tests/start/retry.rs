//! When an attempt to start follows a failed one.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    start::Retry,
};

/// Guards against an attempt that is missing at the end of the limit, or follows it.
#[test]
fn last_attempt_is_at_the_limit() {
    let limit = Span::from_secs(3);
    let begin = Time::from_ms(500);
    let mut retry = Retry::new(begin, limit);
    let mut now = begin;
    let mut delays = Vec::new();
    while let Some(delay) = retry.failed(now) {
        assert!(delay > Span::ZERO);
        delays.push(delay);
        now += delay;
    }
    assert_eq!(now, begin + limit);
    let (last, backoff) = delays.split_last().expect("retries");
    assert!(backoff.is_sorted(), "{backoff:?}");
    assert!(*last <= Span::from_ms(250));
    assert_eq!(retry.failed(now), None);
}

/// Guards against a wait where none is wanted.
#[test]
fn no_limit_allows_no_second_attempt() {
    let now = Time::from_ms(7);
    assert_eq!(Retry::new(now, Span::ZERO).failed(now), None);
}

/// Guards against an overflow of the deadline.
#[test]
fn longest_limit_never_ends() {
    let mut retry = Retry::new(Time::from_ms(7), Span::MAX);
    assert!(retry.failed(Time::from_ms(u64::MAX - 1)).is_some());
}
