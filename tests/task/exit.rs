//! The exit code of the process.

use std::{
    io,
    process::Command, //
};

/// Exit code of a command line that makes no sense.
const USAGE: i32 = 2;

/// Guards against a panic in place of an exit code, where nobody reads standard error.
#[test]
fn a_failure_keeps_its_exit_code_without_a_reader() {
    let (reader, writer) = io::pipe().expect("a pipe");
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"));
    let status = command.arg("nonsense").stderr(writer).status();
    assert_eq!(status.expect("an end").code(), Some(USAGE));
}
