//! What a status promises on the platform, and that nobody else knows its names.

use std::{
    fs,
    path::Path, //
};

use bluebellswitch::{
    code::{
        Code,
        Verdict, //
    },
    platform::names, //
};

/// 408, 421, 429 and 503 promise that a request has not run. A code whose
/// outcome is unknown must never be carried by one of them.
#[test]
fn only_what_did_not_run_is_said_not_to_have_run() {
    for code in Code::ALL {
        let promises = matches!(names::status(*code), 408 | 421 | 429 | 503);
        if code.verdict() == Verdict::Unknown {
            assert!(!promises, "{code:?}");
        }
    }
    assert_eq!(names::status(Code::DeadlineUnfit), 503);
    assert_eq!(names::status(Code::DeadlinePassed), 504);
    assert_eq!(names::status(Code::BodyCut), 502);
    assert_eq!(names::status(Code::RateExceeded), 429);
}

/// Words that only the adapter may know.
const WORDS: [&str; 16] = [
    "Instances.Heartbeat",
    "Instances.Deregister",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "kv-keep",
    "Bluebellswitch-",
    "capacity_slots",
    "warmup_left",
    "op/config",
    "traffic_split",
    "Server-Limit",
    "server-limit",
    "Server-Leaving",
    "server-leaving",
];

#[test]
fn the_product_knows_no_name_of_the_platform() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut folders = vec![root];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(&path).expect("text");
            for word in WORDS {
                assert!(!text.contains(word), "{}: {word}", path.display());
            }
        }
    }
}
