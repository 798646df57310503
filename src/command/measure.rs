//! `measure`: figures about this program, from real code under real load.

use bpaf::Parser;

use super::{
    Subcommand,
    fleet,
    latency,
    one_of,
    policy,
    quota,
    rates, //
};

/// Every measurement; each has a file of its own.
fn measures() -> Vec<Subcommand> {
    vec![
        fleet::parser(),
        latency::parser(),
        policy::parser(),
        quota::parser(),
        rates::parser(),
    ]
}

/// Reads `measure NAME`.
pub(super) fn parser() -> Subcommand {
    one_of(measures())
        .to_options()
        .descr("Measure this program and print the figures")
        .fallback_to_usage()
        .command("measure")
        .boxed()
}
