//! Settings that are not valid when a node starts.

use rustix::process::Signal;
use serde_json::json;

use crate::process::{
    Node,
    Site,
    last_error,
    message, //
};

/// The text of a settings file at the start of a node.
#[derive(Clone, Copy)]
enum Found {
    Nothing,
    Empty,
    Half,
    NotText,
    UnknownField,
    Contradiction,
}

impl Found {
    fn put(self, site: &Site) {
        let whole = site.text();
        match self {
            Self::Nothing => {}
            Self::Empty => {
                site.write_text("");
            }
            Self::Half => {
                site.write_text(&whole[..whole.len() / 2]);
            }
            Self::NotText => std::fs::write(&site.path, [0xff, 0xfe, 0]).expect("written"),
            Self::UnknownField => {
                site.write_text(&whole.replace("\"upstream\"", "\"upstreams\""));
            }
            Self::Contradiction => {
                let mut settings = site.settings.clone();
                settings["secrets"] = json!([]);
                site.write_text(&settings.to_string());
            }
        }
    }
}

/// Guards against a node that exits because its settings file is not whole yet.
fn waits(host: &str, found: Found) {
    let site = Site::new(&format!("wait-{host}"), host);
    found.put(&site);
    let mut node = Node::start(&site.path);
    let line = node.logs("the node cannot start yet");
    let name = site.path.display().to_string();
    assert!(message(&line).contains(&name), "{line}");
    site.write();
    node.logs("the settings are valid now");
    node.logs("the node listens");
    node.signal(Signal::TERM);
    assert_eq!(node.ended().status.code(), Some(0));
}

cases! { waits:
    missing_settings_are_waited_for => ("127.63.1.1", Found::Nothing),
    empty_settings_are_waited_for => ("127.63.1.2", Found::Empty),
    half_written_settings_are_waited_for => ("127.63.1.3", Found::Half),
    settings_that_are_not_text_are_waited_for => ("127.63.1.4", Found::NotText),
    settings_with_an_unknown_field_are_waited_for => ("127.63.1.5", Found::UnknownField),
    contradicting_settings_are_waited_for => ("127.63.1.6", Found::Contradiction),
}

/// Guards against an exit without a clear error, on standard error and in the log.
fn gives_up(host: &str, found: Found, exit: i32, number: u16) {
    let site = Site::new(&format!("give-up-{host}"), host);
    found.put(&site);
    let node = Node::start_with(&site.path, &["--start-timeout", "300ms"]);
    let ended = node.ended();
    assert_eq!(ended.status.code(), Some(exit), "{}", ended.stderr);
    let name = site.path.display().to_string();
    assert!(ended.stderr.contains(&name), "{}", ended.stderr);
    assert!(ended.stderr.contains(&format!("(code {number})")));
    let last = last_error(&ended.log);
    assert_eq!(last["code"], number);
    assert!(message(last).contains(&name), "{last}");
    let waits = ended.log.iter().filter(|line| line["level"] == "WARN");
    assert_eq!(waits.count(), 1, "{:?}", ended.log);
}

cases! { gives_up:
    missing_settings_are_an_error_in_the_end => ("127.63.2.1", Found::Nothing, 7, 7001),
    empty_settings_are_an_error_in_the_end => ("127.63.2.2", Found::Empty, 3, 4002),
    half_written_settings_are_an_error_in_the_end => ("127.63.2.3", Found::Half, 3, 4001),
    contradicting_settings_are_an_error_in_the_end => ("127.63.2.4", Found::Contradiction, 3, 4005),
}
