//! Signals before a node serves.

use std::{
    fs,
    process::Command, //
};

use rustix::process::Signal;

use crate::process::{
    Node,
    Site, //
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
