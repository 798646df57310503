//! Rows of other writers, malformed in ways that a JSON parser refuses, among good ones.

use bluebellswitch::{
    clock::Span,
    id::{
        Incarnation,
        Revision, //
    },
    platform::{
        standin::Store,
        store::Client, //
    },
    standin::caller::Caller,
    store::{
        Answer,
        Call,
        Entry,
        Store as _, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use serde_json::Value;

use crate::site::{
    HOST,
    ID,
    KEY,
    Site,
    configuration,
    run,
    until,
    whole, //
};

/// The key whose row is malformed, between good ones.
const ODD: &str = "n/2";
/// More good keys than fit on two pages of the stand-in.
const GOOD: [&str; 7] = ["n/0", "n/1", "n/3", "n/4", "n/5", "n/6", "n/7"];

/// A row whose `created` is this text.
fn created(text: &str) -> Vec<u8> {
    row(r#""eA==""#, "3", text)
}

fn row(value: &str, revision: &str, created: &str) -> Vec<u8> {
    format!(r#"{{"key":"{ODD}","value":{value},"revision":{revision},"created":{created}}}"#)
        .into_bytes()
}

fn nested() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

fn keys(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.key.as_str()).collect()
}

async fn read(client: &Client) -> Answer {
    let prefix = "n/".to_owned();
    client.call(Call::Read { prefix }).await
}

async fn follow(client: &Client, after: Revision) -> Answer {
    let follow = Call::Follow {
        prefix: "n/".to_owned(),
        after,
        wait: Span::from_ms(1000),
    };
    client.call(follow).await
}

/// Guards against a row that makes the listing and the watch of its neighbours fail.
fn costs_itself(odd: Vec<u8>) {
    run(async {
        let store = Store::start();
        let client = Client::new(store.address());
        GOOD.iter().for_each(|key| store.put(key, "x"));
        store.put_raw(ODD, odd);
        let Answer::Listing { entries, .. } = read(&client).await else {
            panic!("no listing");
        };
        let all = ["n/0", "n/1", "n/2", "n/3", "n/4", "n/5", "n/6", "n/7"];
        assert_eq!(keys(&entries), all);
        let Answer::Changes { changes, .. } = follow(&client, Revision(1)).await else {
            panic!("no changes");
        };
        let told: Vec<_> = changes.iter().map(|change| change.key.as_str()).collect();
        assert_eq!(told, ["n/1", "n/3", "n/4", "n/5", "n/6", "n/7", "n/2"]);
        assert!(changes.iter().all(|change| change.entry.is_some()));
    });
}

cases! { costs_itself:
    a_number_out_of_range => (created("1e400")),
    a_number_below_the_range => (created("-1e400")),
    a_number_of_many_digits => (created(&"9".repeat(10_000))),
    nested_arrays => (created(&nested())),
    nested_value => (row(&nested(), "3", "1")),
    value_out_of_range => (row("1e400", "3", "1")),
    value_of_another_type => (row("{}", "3", "1")),
    value_that_is_not_base64 => (row(r#""%%%""#, "3", "1")),
    value_that_is_not_text => (row(r#""/w==""#, "3", "1")),
    value_with_a_lone_surrogate => (row(r#""\ud800""#, "3", "1")),
    value_with_an_unknown_escape => (row(r#""\x""#, "3", "1")),
    value_with_a_control_character => (row("\"\u{1}\"", "3", "1")),
    value_with_brackets => (row(r#""]}],\"""#, "3", "1")),
    value_that_is_not_utf_8 => ([
        br#"{"key":"n/2","value":""#.as_slice(),
        b"\xff\xfe\xc0",
        br#"","revision":3}"#,
    ].concat()),
    revision_out_of_range => (row(r#""eA==""#, "1e400", "1")),
    revision_above_64_bits => (row(r#""eA==""#, "18446744073709551616", "1")),
    revision_below_zero => (row(r#""eA==""#, "-1", "1")),
    revision_far_ahead => (row(r#""eA==""#, "18446744073709551615", "1")),
    revision_twice => (row(r#""eA==""#, "3", r#"1,"revision":4"#)),
    value_twice => (row(r#""eA==""#, "3", r#"1,"value":"eQ==""#)),
    tombstone_of_another_type => (row(r#""eA==""#, "3", r#"1,"tombstone":[]"#)),
    words_that_are_not_json => (row("nan", "inf", "undefined")),
    nothing_but_a_key => (format!(r#"{{"key":"{ODD}"}}"#).into_bytes()),
}

/// Guards against a row without a readable key that hides its neighbours, or that makes them
/// seem to be all there is.
fn hides_nothing_else(odd: &[u8]) {
    run(async {
        let store = Store::start();
        let client = Client::new(store.address());
        GOOD.iter().for_each(|key| store.put(key, "x"));
        store.put_raw(ODD, odd);
        let Answer::Partial { entries, .. } = read(&client).await else {
            panic!("not a partial listing");
        };
        assert_eq!(keys(&entries), GOOD);
        let Answer::Changes { changes, .. } = follow(&client, Revision(1)).await else {
            panic!("no changes");
        };
        assert_eq!(changes.len(), GOOD.len() - 1);
    });
}

cases! { hides_nothing_else:
    null => (b"null"),
    nothing => (b""),
    word => (b"odd"),
    text => (br#""n/2""#),
    array => (b"[[],{}]"),
    object_without_fields => (b"{}"),
    key_of_another_type => (br#"{"key":[],"value":"eA==","revision":3}"#),
    key_of_another_prefix => (br#"{"key":"z/9","value":"eA==","revision":3}"#),
    key_twice => (br#"{"key":"n/2","key":"n/9","value":"eA==","revision":3}"#),
    key_with_a_lone_surrogate => (br#"{"key":"n/\ud800","value":"eA==","revision":3}"#),
    key_that_is_not_utf_8 => (b"{\"key\":\"n/\xff\",\"value\":\"eA==\",\"revision\":3}"),
    bytes_after_the_row => (br#"{"key":"n/2","value":"eA==","revision":3} :7 []"#),
    nested_name => (br#"{[[[]]]:1}"#),
}

/// Guards against a response that is read in part although its rows cannot be told apart.
fn loses_the_response(odd: &str) {
    run(async {
        let store = Store::start();
        let client = Client::new(store.address());
        GOOD.iter().for_each(|key| store.put(key, "x"));
        store.put_raw(ODD, odd);
        assert_eq!(read(&client).await, Answer::Lost);
        assert_eq!(follow(&client, Revision(1)).await, Answer::Lost);
    });
}

cases! { loses_the_response:
    unbalanced_array => ("["),
    unbalanced_arrays => (&"[".repeat(100_000)),
    unbalanced_object => (r#"{"key":"n/2""#),
    unbalanced_bracket => ("]"),
    unbalanced_brace => ("{}}"),
    unbalanced_text => ("\""),
}

/// Guards against a page without a readable key that ends the listing as if it were whole.
#[test]
fn page_without_a_readable_key_is_not_the_end() {
    run(async {
        let store = Store::start();
        let client = Client::new(store.address());
        store.put("n/0", "x");
        for key in ["n/1", "n/2", "n/3", "n/4", "n/5", "n/6"] {
            store.put_raw(key, "null");
        }
        store.put("n/7", "x");
        let Answer::Partial { entries, .. } = read(&client).await else {
            panic!("not a partial listing");
        };
        assert_eq!(keys(&entries), ["n/0"]);
    });
}

/// Guards against a malformed item that a writer takes for an absent one, and that it can
/// never replace.
#[test]
fn malformed_item_can_be_read_and_replaced() {
    run(async {
        let store = Store::start();
        let client = Client::new(store.address());
        store.put("n/0", "x");
        let odd = row(&nested(), "2", "1e400");
        assert_eq!(store.put_raw(ODD, odd), Revision(2));
        let key = ODD.to_owned();
        let Answer::Value(Some(present)) = client.call(Call::Get { key: key.clone() }).await else {
            panic!("no value");
        };
        assert_eq!(
            (present.value.as_str(), present.revision),
            ("", Revision(2))
        );
        let swap = |expect| Call::Swap {
            key: key.clone(),
            expect,
            value: Some("x".to_owned()),
            lease: None,
            unless: None,
        };
        let conflict = client.call(swap(Revision(0))).await;
        assert_eq!(conflict, Answer::Conflict(Some(present)));
        let swapped = client.call(swap(Revision(2))).await;
        assert_eq!(swapped, Answer::Swapped(Revision(3)));
    });
}

/// A JSON value that may be out of range, nested or malformed, with balanced brackets.
fn odd_value() -> impl Strategy<Value = Vec<u8>> {
    let text = proptest::collection::vec(
        any::<u8>().prop_filter("ends the text", |byte| !b"\"\\".contains(byte)),
        0..12,
    );
    let leaf = prop_oneof![
        text.prop_map(|bytes| [b"\"", bytes.as_slice(), b"\""].concat()),
        "-?[0-9]{1,30}(e[0-9]{1,4})?".prop_map(String::into_bytes),
        proptest::sample::select(vec!["null", "true", "nan", "\"\\ud800\"", "\"\\x\"", ""])
            .prop_map(|word| word.as_bytes().to_vec()),
        (1_usize..400).prop_map(|depth| ["[".repeat(depth), "]".repeat(depth)].concat().into()),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        let name = proptest::sample::select(vec!["key", "value", "revision", "tombstone", "x"]);
        let field = (name, inner.clone())
            .prop_map(|(name, value)| [format!("\"{name}\":").into_bytes(), value].concat());
        prop_oneof![
            proptest::collection::vec(inner, 0..4).prop_map(|items| [
                b"[".to_vec(),
                items.join(&b','),
                b"]".to_vec()
            ]
            .concat()),
            proptest::collection::vec(field, 0..5).prop_map(|fields| [
                b"{".to_vec(),
                fields.join(&b','),
                b"}".to_vec()
            ]
            .concat()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(63),
        ..ProptestConfig::default()
    })]

    /// Guards against any malformed row that hides a good one.
    #[test]
    fn good_rows_are_seen_among_any_others(
        odd in proptest::collection::vec(odd_value(), 1..6),
    ) {
        run(async {
            let store = Store::start();
            let client = Client::new(store.address());
            GOOD.iter().for_each(|key| store.put(key, "x"));
            for (number, row) in odd.into_iter().enumerate() {
                // Each page of three rows has a good one.
                store.put_raw(&format!("n/{number}a"), row);
            }
            let entries = match read(&client).await {
                Answer::Listing { entries, .. } | Answer::Partial { entries, .. } => entries,
                other => panic!("no listing: {other:?}"),
            };
            let seen = keys(&entries);
            assert!(GOOD.iter().all(|key| seen.contains(key)), "{seen:?}");
            assert!(matches!(follow(&client, Revision(1)).await, Answer::Changes { .. }));
        });
    }
}

/// Guards against a fleet that stops following its lists because of one row in each, and
/// that a node cannot join any more.
fn fleet_goes_on(odd: &str) {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        for prefix in [
            "bluebellswitch/nodes/",
            "bluebellswitch/introducers/",
            "op/",
        ] {
            site.store.put_raw(&format!("{prefix}raw-1"), odd);
        }
        site.store.put_raw("bluebellswitch/introducers/b", odd);
        site.store.put_raw("bluebellswitch/nodes/b-2", odd);
        // The nodes list again.
        site.store.forget();
        site.add("b-2", "b", "registry", |seen| whole(seen, "stock"))
            .await;
        site.store.put("op/config", &configuration(2).to_string());
        for machine in &site.machines {
            until("the configuration is in force", || async {
                machine.node.version().0 == 2
            })
            .await;
            until("a node is ready", || async { machine.ready().await == 200 }).await;
        }
        let newcomer = &site.machines[2].node;
        let caller = Caller::new(newcomer.addresses().callers);
        until("the newcomer answers", || async {
            let answer = caller.get("/view/x", &[HOST, KEY, ID]).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        let operator = Caller::new(site.machines[0].node.addresses().operators);
        until("the newcomer is a member", || async {
            let answer = operator.get("/status", &[HOST]).await.expect("a status");
            let status: Value = serde_json::from_slice(&answer.body).expect("JSON");
            let members = status["members"].as_array().expect("members").iter();
            let mut newcomers = members.filter(|member| member["instance"] == "b-2");
            newcomers.any(|member| member["ready"] == true)
        })
        .await;
    });
}

cases! { fleet_goes_on:
    fleet_after_a_number_out_of_range => (
        r#"{"key":"op/raw-1","value":"e30=","revision":7,"created":1e400,"lease":0}"#
    ),
    fleet_after_a_nested_row => (&{
        let nested = nested();
        format!(r#"{{"key":"op/raw-1","value":"e30=","revision":7,"lease":{nested}}}"#)
    }),
    fleet_after_a_row_without_a_key => ("null"),
}

/// Guards against a node that gets no requests any more because of one record with an
/// incarnation that no clock reaches, or one far ahead.
fn node_is_served_after(incarnation: u64) {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let machine = &site.machines[1];
        let mut record = machine.node.peer();
        let good = record.incarnation;
        record.incarnation.0 = incarnation;
        let text = serde_json::to_string(&record).expect("text");
        site.store.put("bluebellswitch/nodes/b-1", &text);
        let client = Client::new(site.store.address());
        until("the record is replaced", || async {
            let key = "bluebellswitch/nodes/b-1".to_owned();
            let Answer::Value(Some(entry)) = client.call(Call::Get { key }).await else {
                panic!("no record");
            };
            entry.value.contains(&good.0.to_string())
        })
        .await;
        let before = machine.server.seen().len();
        until("the node is served", || async {
            site.call("GET", "/view/x", "").await.status == 200
        })
        .await;
        assert!(machine.server.seen().len() > before);
    });
}

cases! { node_is_served_after:
    incarnation_out_of_range => (u64::MAX),
    incarnation_far_ahead => (Incarnation::MAX.0),
}
