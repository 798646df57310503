//! Names of stored and sent fields and variants that differ from the names in the
//! code. Guards against a rename that a node of an earlier version cannot read: a
//! successor would not hear its owner, or a holder would not understand a refusal.

use std::fmt::Debug;

use bluebellswitch::{
    lease,
    outcome,
    quota,
    store, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Reads a text, and writes the same one again.
fn keeps<T: Serialize + DeserializeOwned + Debug>(text: &str) {
    let expected: serde_json::Value = serde_json::from_str(text).expect("JSON");
    let value: T = serde_json::from_str(text).expect(text);
    assert_eq!(serde_json::to_value(&value).expect("written"), expected);
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).expect("written");
    let read: ciborium::Value = ciborium::from_reader(&bytes[..]).expect("CBOR");
    let same: T = read.deserialized().expect("read");
    assert_eq!(format!("{same:?}"), format!("{value:?}"));
}

fn extend(state: &str) {
    keeps::<lease::Message>(
        &r#"{"Extend": {"owner": {"instance": "a-1", "life": 7}, "sequence": 3,
            "state": "STATE", "short": "4s", "long": "10min", "heard": 12,
            "seats": [["quota/3", 4]]}}"#
            .replace("STATE", state),
    );
}

fn accord(standing: &str) {
    keeps::<lease::Message>(
        &r#"{"Accord": {"from": "a-1", "life": 7, "sequence": 3, "state": "Frozen",
            "standing": "STANDING", "clock": 12}}"#
            .replace("STANDING", standing),
    );
}

fn reply(text: &str) {
    keeps::<quota::Message>(
        &r#"{"Reply": {"from": "a-1", "team": "mills", "number": 3, "reply": REPLY}}"#
            .replace("REPLY", text),
    );
}

cases! { extend:
    extend_of_a_calm_owner => ("Calm"),
    extend_of_a_bound_owner => ("Bound"),
    extend_of_a_frozen_owner => ("Frozen"),
    extend_of_a_thawing_owner => ("Thawing"),
    extend_of_an_owner_that_is_over => ("Over"),
}

cases! { accord:
    accord_with_a_promise => ("Promise"),
    accord_without_a_promise => ("Bare"),
    accord_after_a_takeover => ("Taken"),
}

cases! { reply:
    reply_over_rate => (r#"{"Over": "40ms"}"#),
    reply_of_another_node => (r#"{"Elsewhere": "b-2"}"#),
}

cases! { keeps<quota::Message>:
    buckets_of_a_leaving_owner => (r#"{"Accounts": [{"team": "mills", "epoch": 2, "millis": 5}]}"#),
}

cases! { keeps<store::Answer>:
    answer_of_a_compacted_watch => (r#""Forgotten""#),
}

cases! { keeps<outcome::Report>:
    report_of_a_proxy => (r#"{"level": 1, "load": 2, "slots": 3, "service": 4, "spent": 5,
        "final_word": true, "clock": 6, "leaving": false, "life": 7}"#),
}
