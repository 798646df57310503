//! The lines on single requests: which there are, and how many.

#[path = "path/bench.rs"]
#[expect(dead_code, reason = "the path tests use the rest")]
mod bench;

use std::sync::{
    Mutex,
    PoisonError, //
};

use bluebellswitch::{
    clock::Time,
    event::{
        LogBudget,
        MESSAGES, //
    },
    standin::upstream::Act, //
};
use serde_json::Value;

use crate::bench::{
    AUTH,
    Site,
    run, //
};

static LINES: Mutex<Vec<u8>> = Mutex::new(Vec::new());

struct Memory;

impl log::Log for Memory {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
        bluebellswitch::log::write(&mut *lines, record).expect("memory");
    }

    fn flush(&self) {}
}

/// All lines with this message.
fn lines(message: &str) -> Vec<Value> {
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    let text = String::from_utf8_lossy(&lines);
    let all = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    all.filter(|line: &Value| line["message"] == message)
        .collect()
}

/// A request fails, and the engineer on call has only the logs. One id leads from
/// the refusal to the attempt and to what the server did with it.
#[test]
fn a_failed_request_is_found_by_its_name() {
    log::set_logger(&Memory).expect("the first logger");
    log::set_max_level(log::LevelFilter::Info);
    run(async {
        let site = Site::start(|seen| match seen.target.as_str() {
            "/cut" => Act::Raw("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nshort".into()),
            _ => Act::whole("whole"),
        })
        .await;
        let caller = site.caller();
        let _ = caller.send("POST", "/cut", &[AUTH], "charge").await;
        let ended = lines("ended");
        let cut = ended
            .iter()
            .find(|line| line["end"] == "Cut")
            .expect("the cut answer");
        let same = |line: &&Value| line["id"] == cut["id"];
        let started = lines("started");
        let sent = lines("sent");
        let sent = sent.iter().find(same).expect("the attempt");
        assert_eq!(started.iter().filter(same).count(), 1);
        // The level of shedding is a number beside the severity of the line.
        let started = started.iter().find(same).expect("a start");
        assert!(started["shed_level"].is_f64(), "{started}");
        assert_eq!(started["level"], "INFO");
        assert_eq!(sent["request"], cut["request"]);
        assert!(sent["left_ms"].is_u64() && sent["version"].is_u64());
        let wrong = ("x-bluebellswitch-key", "mill-1.open-season");
        let _ = caller.send("GET", "/a", &[wrong], "").await;
        let refused = lines("refused");
        let refused = refused.iter().find(|line| line["code"] == 1003);
        let refused = refused.expect("a line");
        assert_eq!(refused["reason"], "KeyUnknown");
        assert_eq!(refused["come_back_ms"], -1, "coming back is of no use");
    });
}

/// A thousand requests a second are refused for ten seconds. Each wrote a line,
/// and the log became the load. A burst shows whole, the rest by samples, and
/// what else happens is still told.
#[test]
fn a_crowd_is_told_by_samples() {
    let mut budget = LogBudget::FAILURES;
    let crowd = (0..10_000u64).filter(|ms| budget.take(Time::from_ms(5000 + ms)));
    let lines = crowd.count();
    assert!((1200..1400).contains(&lines), "{lines} lines");
    let mut quiet = LogBudget::ORDINARY;
    let mut each = (0..100u64).map(|n| quiet.take(Time::from_ms(n * 100)));
    assert!(each.all(|written| written), "ten a second are all written");
}

/// What the operators' page lists is what the code writes.
#[test]
fn the_page_lists_every_event() {
    let page = include_str!("../docs/OPERATIONS.md");
    for message in MESSAGES {
        assert!(page.contains(&format!("| `{message}` |")), "{message}");
    }
}
