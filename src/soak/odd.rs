//! What another writer of the store may write.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    World,
    machine::Machine,
    pause, //
};
use crate::clock::Span;

/// Depths of nested arrays.
const DEPTHS: [usize; 3] = [100, 130, 5000];
/// JSON that a field may hold.
const FIELDS: [&str; 18] = [
    "0",
    "-1",
    "1.5",
    "70000",
    "18446744073709551615",
    "18446744073709551616",
    "1e400",
    "-1e400",
    "null",
    "true",
    "{}",
    r#""""#,
    r#""\u0000\u001b\r\n""#,
    r#""\ud800""#,
    r#""AAAA=""#,
    r#""127.0.0.1:0""#,
    r#""127.0.0.1:70000""#,
    r#"{"a":1,"a":{}}"#,
];
/// The highest incarnation of a node.
const LAST_INCARNATION: &str = "18446744073709551615";
/// How long an entry stays that goes away again, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 100..6000;

/// An odd entry.
#[derive(Clone, Debug)]
pub(crate) enum Entry {
    /// An item of a listing, with this JSON in one of its fields.
    Item { field: u64, json: String },
    /// A record of a node that does not exist, with this JSON in one of its fields.
    Record { field: u64, json: String },
    /// The record of a living node, with this JSON in one of its fields.
    Own { field: u64, json: String },
    /// The record of a living node, with this incarnation.
    Incarnation(&'static str),
}

impl Entry {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let kind = rng.random_range(0..6);
        let field = rng.random();
        let json = match rng.random_range(0..4) {
            0 => {
                let depth = DEPTHS[rng.random_range(0..DEPTHS.len())];
                "[".repeat(depth) + &"]".repeat(depth)
            }
            _ => FIELDS[rng.random_range(0..FIELDS.len())].to_owned(),
        };
        match kind {
            0..=2 => Self::Item { field, json },
            3 => Self::Record { field, json },
            4 => Self::Own { field, json },
            _ => Self::Incarnation(LAST_INCARNATION),
        }
    }
}

/// Writes an odd entry, which stays or goes away again.
pub(super) async fn write(world: &World, machine: &Machine, rng: &mut ChaCha8Rng) {
    let entry = Entry::draw(rng);
    let is_own = matches!(entry, Entry::Own { .. } | Entry::Incarnation(_));
    let number: u64 = rng.random();
    if is_own {
        machine.disruptions.begin(Span::ZERO);
    }
    let key = world
        .store
        .write_odd(&machine.identity, &machine.addresses, &entry, number);
    if !is_own && rng.random() {
        pause(Span::from_ms(rng.random_range(STAY_MS))).await;
        world.store.remove(&key);
    }
}
