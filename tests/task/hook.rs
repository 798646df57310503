//! The log line of a panic.

use std::{
    panic,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
};

use serde_json::Value;

/// Guards against panics whose text is no line of JSON.
#[test]
fn a_panic_is_one_line_of_json() {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let written = lines.clone();
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        if thread::current().name() == Some("broken") {
            let mut lines = written.lock().unwrap_or_else(PoisonError::into_inner);
            bluebellswitch::log::write_panic(&mut *lines, panic).expect("memory");
        } else {
            previous(panic);
        }
    }));
    let text = format!("two\nlines and \"{}\"", "x".repeat(10_000));
    let thread = thread::Builder::new().name("broken".to_owned());
    let thread = thread.spawn(move || panic!("{text}")).expect("a thread");
    assert!(thread.join().is_err());
    let lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    let text = std::str::from_utf8(&lines).expect("text");
    assert_eq!(text.lines().count(), 1);
    let line: Value = serde_json::from_str(text).expect("JSON");
    assert_eq!(line["message"], "a panic");
    assert_eq!(line["level"], "ERROR");
    assert_eq!(line["thread"], "broken");
    assert_eq!(line["task"], "");
    let place = line["place"].as_str().expect("a place");
    assert!(place.contains("hook.rs:"), "{place}");
    let panic = line["panic"].as_str().expect("a message");
    assert!(panic.starts_with("two\nlines and \"x"), "{panic}");
    assert!(panic.len() < 2000, "{}", panic.len());
}
