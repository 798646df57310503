//! Short soaks of real processes, on fixed seeds.

use std::process::Command;

#[macro_use]
mod support;

/// Runs nodes as processes under all faults or one kind, and fails if a promise is seen
/// broken.
fn soak(seed: u64, only: Option<&str>) {
    let only = only.map(|fault| ["--only", fault]);
    let output = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"))
        .args(["soak", "--nodes", "6", "--seconds", "25", "--seed"])
        .arg(seed.to_string())
        .args(only.iter().flatten())
        .output()
        .expect("the program starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (printed, errors) = (text(&output.stdout), text(&output.stderr));
    assert!(output.status.success(), "{printed}{errors}");
}

cases! { soak:
    seed_1 => (1, None),
    seed_2 => (2, None),
    seed_60 => (60, None),
    // A node cut requests, or answered what never ran as if it had, at a planned stop.
    planned_stop => (1, Some("planned-stop")),
    // A server's endless answer filled the memory of nodes.
    endless_answer => (1, Some("endless-answer")),
    // A restarted node took a late heartbeat of a departed server for a present one.
    leave_and_restart => (1, Some("leave-and-restart")),
    // A part of an answer without a length passed for the whole after a reset.
    abandon => (1, Some("abandon")),
    // Heads that are not HTTP were passed on.
    odd_head => (1, Some("odd-head")),
}
