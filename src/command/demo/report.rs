//! What the demonstration prints: a table for each phase, and progress on a
//! terminal.

use std::io::Write;

use super::ledger::{
    Counts,
    Ledger, //
};
use crate::clock::Span;

/// The widest list of refusals.
const MAX_REASONS: usize = 3;

/// Prints for a terminal or for a pipe.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    live: bool,
}

impl Report {
    /// Progress is shown only on a live terminal.
    pub(super) fn new(live: bool) -> Self {
        Self { live }
    }

    /// A phase begins.
    pub(super) fn begin(self, name: &str, length: Span) {
        println!("\n{name} ({length})");
    }

    /// So much of the phase is left.
    pub(super) fn progress(self, left: Span) {
        if self.live {
            print!("\r  {:>4.1} s left ", left.as_secs_f64());
            let _ = std::io::stdout().flush();
        }
    }

    /// A line of its own.
    pub(super) fn line(self, text: &str) {
        println!("{text}");
    }

    /// The phase's table.
    pub(super) fn table(self, ledger: &Ledger, retries: u64) {
        if self.live {
            print!("\r                \r");
        }
        println!(
            "  {:<6} {:<9} {:>6} {:>6} {:>6}  refused by reason",
            "team", "import.", "sent", "whole", "below"
        );
        for (line, counts) in ledger.phase.iter().rev() {
            println!(
                "  {:<6} {:<9} {:>6} {:>6} {:>6}  {}",
                line.team,
                line.importance,
                counts.sent,
                counts.whole,
                counts.below,
                reasons(counts)
            );
        }
        println!("  retries {retries}, run twice {}", ledger.twice());
    }
}

/// The commonest reasons first.
fn reasons(counts: &Counts) -> String {
    let mut reasons: Vec<_> = counts.refused.iter().map(|(name, n)| (*n, *name)).collect();
    reasons.extend((counts.gone > 0).then_some((counts.gone, "NoConnection")));
    reasons.sort_by(|a, b| b.cmp(a));
    let rest: u64 = reasons.iter().skip(MAX_REASONS).map(|(n, _)| n).sum();
    let mut words: Vec<_> = reasons
        .iter()
        .take(MAX_REASONS)
        .map(|(n, name)| format!("{name} {n}"))
        .collect();
    words.extend((rest > 0).then(|| format!("others {rest}")));
    words.join(", ")
}

/// The sum of all samples of one metric, in the text that operators read.
pub(super) fn sum(text: &str, metric: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(metric));
    let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
