//! Signals before a node serves.

use std::{
    fs,
    process::Command, //
};

use rustix::process::Signal;

use crate::process::{
    Node,
    Site,
    message, //
};

/// Guards against a SIGHUP during the start that ends the process, and against a
/// change of the settings meanwhile that never takes effect.
#[test]
fn hangup_while_the_settings_are_read_is_kept() {
    let site = Site::new("hangup-early", "127.63.0.1");
    let made = Command::new("mkfifo").arg(&site.path).status();
    assert!(made.expect("mkfifo runs").success());
    let mut node = Node::start(&site.path);
    // Opens as soon as the node reads its settings.
    let mut pipe = fs::OpenOptions::new()
        .write(true)
        .open(&site.path)
        .expect("a reader");
    for _ in 0..20 {
        node.signal(Signal::HUP);
    }
    let mut changed = site.settings.clone();
    changed["instance"] = "renamed".into();
    let other = site.path.with_extension("new");
    fs::write(&other, changed.to_string()).expect("written");
    fs::rename(&other, &site.path).expect("renamed");
    std::io::Write::write_all(&mut pipe, site.text().as_bytes()).expect("written");
    drop(pipe);
    assert_eq!(node.logs("the node listens")["instance"], "alone");
    let told = node.logs("the settings have changed");
    assert_eq!(told["from_next_start"], "instance");
    node.signal(Signal::TERM);
    assert!(node.ended().status.success());
}

/// Guards against a process that is ended by a signal, or does not stop, while it
/// waits for its settings.
fn stops_without_settings(host: &str, signal: Signal) {
    let site = Site::new(&format!("stop-{host}"), host);
    let mut node = Node::start(&site.path);
    node.logs("the node cannot start yet");
    node.signal(Signal::HUP);
    node.signal(signal);
    let ended = node.ended();
    assert_eq!(ended.status.code(), Some(0), "{}", ended.stderr);
    let last = message(ended.log.last().expect("a line"));
    assert_eq!(last, "told to stop before the node served");
}

cases! { stops_without_settings:
    sigterm_stops_a_node_without_settings => ("127.63.0.2", Signal::TERM),
    sigint_stops_a_node_without_settings => ("127.63.0.3", Signal::INT),
}

/// Guards against a process that does not stop while it waits for an address.
#[test]
fn sigterm_stops_a_node_without_its_address() {
    let mut site = Site::new("stop-address", "127.63.0.4");
    let _held = site.hold("operators");
    let mut node = Node::start(&site.write().path);
    node.logs("the node cannot start yet");
    node.signal(Signal::TERM);
    assert_eq!(node.ended().status.code(), Some(0));
}

/// Guards against a signal that ends the process at any time between its first line
/// and its exit.
#[test]
fn storm_of_signals_ends_in_an_orderly_stop() {
    let site = Site::new("storm", "127.63.0.5");
    let mut node = Node::start(&site.path);
    node.logs("the node starts");
    for _ in 0..200 {
        node.signal(Signal::HUP);
    }
    site.write();
    node.signal(Signal::HUP);
    node.logs("the node listens");
    while !node.has_ended() {
        for signal in [Signal::HUP, Signal::TERM, Signal::INT] {
            node.signal(signal);
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    let ended = node.ended();
    assert_eq!(ended.status.code(), Some(0), "{}", ended.stderr);
}
