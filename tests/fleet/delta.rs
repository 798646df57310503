//! Differences between documents are small, exact, and refuse a wrong base.

use bluebellswitch::adoption::{
    Delta,
    apply_splices,
    diff_text, //
};
use proptest::prelude::*;

use crate::site::document;

fn keys(numbers: impl Iterator<Item = u32>) -> Vec<String> {
    numbers.map(|n| format!("k{n}")).collect()
}

/// A key granted or withdrawn among two hundred costs about its own row, not
/// what stands after it.
fn a_row_costs_a_row(before: Vec<u32>, after: Vec<u32>) {
    let texts = |numbers: &[u32]| keys(numbers.iter().copied());
    let (before, after) = (texts(&before), texts(&after));
    let names = |texts: &[String]| {
        texts
            .iter()
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join(" ")
    };
    let (old, new) = (names(&before), names(&after));
    let old = document(4, &old.split(' ').collect::<Vec<_>>());
    let new = document(5, &new.split(' ').collect::<Vec<_>>());
    let delta = Delta::between(&old, &new).expect("a difference");
    assert!(delta.len() < 400, "{} bytes", delta.len());
    assert_eq!(delta.apply(&old).as_ref(), Some(&new));
}

cases! { a_row_costs_a_row:
    grant_at_the_end => ((0..200).collect(), (0..201).collect()),
    grant_at_the_front => ((1..200).collect(), (0..200).collect()),
    withdraw_in_the_middle => ((0..200).collect(), (0..200).filter(|n| *n != 70).collect()),
    withdraw_and_grant => ((0..200).collect(), (1..201).collect()),
}

/// Two operators' documents share a version number after the store was put
/// back to an older state. The difference of one must not be laid over the
/// other.
#[test]
fn another_text_is_refused() {
    let delta = Delta::between(&document(4, &["k1"]), &document(5, &["k1", "k2"]));
    let delta = delta.expect("a difference");
    assert_eq!(delta.apply(&document(4, &["k3"])), None);
    assert_eq!(delta.apply(&document(3, &["k1"])), None);
}

proptest! {
    #[test]
    fn any_two_texts(old in "[ab\u{e9}]{0,200}", new in "[ab\u{e9}]{0,200}") {
        prop_assert_eq!(apply_splices(&old, &diff_text(&old, &new)), Some(new));
    }

    #[test]
    fn an_edited_text(head in ".{0,80}", cut in ".{0,80}", put in ".{0,80}", tail in ".{0,80}") {
        let (old, new) = (format!("{head}{cut}{tail}"), format!("{head}{put}{tail}"));
        prop_assert_eq!(apply_splices(&old, &diff_text(&old, &new)), Some(new));
    }

    #[test]
    fn splices_of_another_text_never_panic(a in ".{0,60}", b in ".{0,60}", c in ".{0,60}") {
        let _ = apply_splices(&c, &diff_text(&a, &b));
    }
}
