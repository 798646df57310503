//! Short soaks of real processes, on fixed seeds.

use std::process::Command;

#[macro_use]
mod support;

/// Runs nodes as processes under faults, and fails if a promise is seen broken.
fn soak(seed: u64) {
    let output = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"))
        .args(["soak", "--nodes", "6", "--seconds", "25", "--seed"])
        .arg(seed.to_string())
        .output()
        .expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (printed, errors) = (text(&output.stdout), text(&output.stderr));
    assert!(output.status.success(), "{printed}{errors}");
}

cases! { soak:
    seed_1 => (1),
    seed_2 => (2),
    seed_60 => (60),
}
