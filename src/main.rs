//! The one binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bluebellswitch::command::run()
}
