//! The `node` command as a process: its settings, its log, its stop.

use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    path::PathBuf,
    process::{
        Command,
        Output,
        Stdio, //
    },
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};

const GOOD: &str = r#"{
    // All ports are free ones.
    "instance": "alone", "domain": "a", "pool": "none",
    "listen": { "callers": "127.0.0.1:0", "service": "127.0.0.1:0",
                "links": "127.0.0.1:0", "operators": "127.0.0.1:0" },
    "upstream": "127.0.0.1:1",
    "secrets": ["a secret of the fleet"],
    "operators_token": "a token of operators",
}"#;

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("written");
    path
}

fn node(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"));
    command.arg("node").arg("--settings").arg(settings);
    command.env_remove("RUST_LOG");
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A node that is told to stop by a signal ends by itself, with 0, and each
/// line that it logged is JSON.
fn stops(name: &str, signal: Signal) {
    let mut child = node(&file(name, GOOD)).spawn().expect("started");
    let pid = Pid::from_child(&child);
    let stdout = child.stdout.take().expect("piped");
    let mut lines = BufReader::new(stdout).lines();
    let mut logged = Vec::new();
    for line in &mut lines {
        let line = line.expect("text");
        let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        let listens = value["message"] == "the node listens";
        logged.push(value);
        if listens {
            break;
        }
    }
    assert_eq!(logged.last().expect("a line")["instance"], "alone");
    kill_process(pid, signal).expect("signalled");
    for line in lines {
        let line = line.expect("text");
        serde_json::from_str::<serde_json::Value>(&line).expect("JSON");
    }
    let status = child.wait().expect("ended");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn stops_on_sigterm() {
    stops("sigterm.jsonc", Signal::TERM);
}

#[test]
fn stops_on_sigint() {
    stops("sigint.jsonc", Signal::INT);
}

/// What a node that does not wait says of settings that are wrong, and its exit code.
fn refused(settings: &PathBuf) -> (Option<i32>, String) {
    let mut node = node(settings);
    let output = node.args(["--start-timeout", "0s"]).output();
    let Output { status, stderr, .. } = output.expect("ended");
    (status.code(), String::from_utf8_lossy(&stderr).into_owned())
}

#[test]
fn wrong_settings_name_file_line_and_column() {
    let text = GOOD.replace("\"upstream\"", "\"upstreams\"");
    let (code, said) = refused(&file("wrong.jsonc", &text));
    assert_eq!(code, Some(3), "{said}");
    assert!(
        said.contains("wrong.jsonc:6:15: unknown field `upstreams`"),
        "{said}"
    );
    assert!(said.contains("(code 4002)"), "{said}");
}

#[test]
fn missing_settings_are_a_fault_of_the_system() {
    let (code, said) = refused(&PathBuf::from("no-such-file.jsonc"));
    assert_eq!(code, Some(7), "{said}");
    assert!(said.contains("no-such-file.jsonc"), "{said}");
}

#[test]
fn taken_address_is_a_fault_of_the_system() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let text = GOOD.replacen("127.0.0.1:0", &address, 1);
    let (code, said) = refused(&file("taken.jsonc", &text));
    assert_eq!(code, Some(7), "{said}");
    let named = format!("cannot bind `callers` to TCP address {address}");
    assert!(said.contains(&named), "{said}");
    assert!(said.contains("(code 7002)"), "{said}");
}

/// An operator changes the limits in the file of settings, and a node of another
/// name is written into it by mistake. Nothing took effect before the next start,
/// and nobody said which part would. What can change does, at once and without
/// the signal too; the rest is named.
#[test]
fn settings_are_taken_while_it_runs() {
    let path = file("reloaded.jsonc", GOOD);
    let mut child = node(&path).spawn().expect("started");
    let pid = Pid::from_child(&child);
    let stdout = child.stdout.take().expect("piped");
    let mut lines = BufReader::new(stdout).lines();
    let mut next = |message: &str| loop {
        let line = lines.next().expect("a line").expect("text");
        let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        if value["message"]
            .as_str()
            .is_some_and(|m| m.contains(message))
        {
            return value;
        }
    };
    next("the node listens");
    let limits = GOOD.replace("\"upstream\"", "\"grace\": \"3s\", \"upstream\"");
    fs::write(&path, &limits).expect("written");
    assert_eq!(next("the settings have changed")["from_next_start"], "");
    let renamed = limits.replace("\"alone\"", "\"other\"");
    fs::write(&path, renamed).expect("written");
    kill_process(pid, Signal::HUP).expect("signalled");
    let told = next("the settings have changed");
    assert_eq!(told["from_next_start"], "instance");
    fs::write(&path, "{").expect("written");
    kill_process(pid, Signal::HUP).expect("signalled");
    next("the settings are wrong");
    kill_process(pid, Signal::TERM).expect("signalled");
    assert!(child.wait().expect("ended").success());
}
