//! The command line, one file a subcommand.
//!
//! Each file offers `parser()`, which reads the subcommand's arguments into a
//! `Job`, and is named in `commands` or, for a measurement, in
//! `measure`. A job does the work and returns what went wrong; this module
//! alone prints that and chooses the exit code.

mod access;
mod apply;
mod check;
mod demo;
mod diff;
mod domain;
mod drain;
mod explain;
mod fleet;
mod get;
mod history;
mod key;
mod latency;
mod measure;
pub(crate) mod node;
mod operator;
mod place;
mod platform;
mod policy;
mod rollout;
mod row;
mod status;
mod team;

pub mod quota;
mod rates;

use std::{
    io::{
        self,
        Write, //
    },
    process::ExitCode,
};

use bpaf::{
    Args,
    OptionParser,
    ParseFailure,
    Parser,
    choice, //
};

use crate::error::{
    Category,
    Code,
    Error, //
};

/// What a subcommand does once its arguments are read.
pub(crate) type Job = Box<dyn FnOnce() -> Result<(), Failure>>;

/// Reads one subcommand.
pub(crate) type Subcommand = Box<dyn Parser<Job>>;

/// Why a job failed: at least one error, each printed on its own line.
#[derive(Debug)]
pub(crate) struct Failure(pub(crate) Vec<Error>);

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self(vec![error])
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Error::from(error).into()
    }
}

/// The exit code of a command line that makes no sense.
const EXIT_USAGE: u8 = 2;
/// The width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// Subcommands that run until they are told to stop by a signal.
const SERVING: [&str; 2] = [node::COMMAND, crate::platform::sidecar::COMMAND];

/// Every subcommand, in the order of the help text.
fn commands(runtime: &node::Early) -> Vec<Subcommand> {
    vec![
        node::parser(runtime.clone()),
        check::parser(),
        apply::parser(),
        get::parser(),
        diff::parser(),
        history::parser(),
        row::route(),
        row::pool(),
        team::parser(),
        key::parser(),
        domain::parser(),
        status::parser(),
        drain::parser(),
        explain::parser(),
        demo::parser(),
        measure::parser(),
        platform::parser(),
        crate::platform::sidecar::parser(runtime.clone()),
        crate::platform::soak::parser(),
    ]
}

/// Reads one of several subcommands.
fn one_of(commands: Vec<Subcommand>) -> Subcommand {
    choice(commands).boxed()
}

fn options(runtime: &node::Early) -> OptionParser<Job> {
    one_of(commands(runtime))
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("An overload control layer for service call graphs")
        .footer(
            "Exit codes: 0 done, 1 a promise broke, 2 usage, 3 bad input, 4 conflict, \
             5 the platform's service, 6 a node, 7 the operating system, 8 a fault of its own",
        )
        .fallback_to_usage()
        .max_width(HELP_WIDTH)
}

/// Reads the command line and runs it.
pub fn run() -> ExitCode {
    let command = std::env::args_os().nth(1);
    // Reading the command line takes long enough for a signal to arrive meanwhile.
    let runtime = match command.is_some_and(|name| SERVING.iter().any(|own| name == *own)) {
        true => node::Early::start(),
        false => node::Early::default(),
    };
    match options(&runtime).run_inner(Args::current_args()) {
        Ok(job) => match job() {
            Ok(()) => ExitCode::SUCCESS,
            Err(failure) => ExitCode::from(report(&failure)),
        },
        Err(ParseFailure::Stderr(text)) => {
            let reason = text.monochrome(true);
            print_error(&Error::new(Code::Usage, reason.trim_end()));
            ExitCode::from(EXIT_USAGE)
        }
        Err(other) => {
            other.print_message(HELP_WIDTH);
            ExitCode::SUCCESS
        }
    }
}

/// Prints every error and returns the exit code of the first.
fn report(failure: &Failure) -> u8 {
    for error in &failure.0 {
        print_error(error);
    }
    failure.0.first().map_or(1, exit_code)
}

/// Prints an error. The exit code matters more than a message that nobody reads.
fn print_error(error: &Error) {
    let _ = writeln!(io::stderr(), "{error}");
}

fn exit_code(error: &Error) -> u8 {
    if error.number() == Code::Broken as u16 {
        return 1;
    }
    if error.number() == Code::Usage as u16 {
        return EXIT_USAGE;
    }
    match error.category() {
        Category::Syntax | Category::Data => 3,
        Category::Conflict => 4,
        Category::Store => 5,
        Category::Peer => 6,
        Category::Io => 7,
        Category::Fault => 8,
    }
}
