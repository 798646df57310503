//! What went wrong outside of a request: in settings, tables, commands, the
//! platform's store or a peer's frames.
//!
//! Refusals of requests are not errors of the program: see [`crate::code`].

use std::fmt;

/// Shorthand for results of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure, with its number, reason and place.
#[derive(Debug, thiserror::Error)]
pub struct Error(Box<Detail>);

#[derive(Debug)]
struct Detail {
    code: Code,
    reason: String,
    file: Option<String>,
    line: usize,
    column: usize,
}

/// The kind of a failure, for exit codes and for callers that branch on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The text could not be read at all.
    Syntax,
    /// The text could be read but says something wrong.
    Data,
    /// Another operator was faster, or the subject is not there.
    Conflict,
    /// The platform's service did not answer, or not usefully.
    Store,
    /// Another node broke the protocol, or could not be reached.
    Peer,
    /// The operating system refused something.
    Io,
    /// A fault of this program.
    Fault,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $category:ident;)*) => {
        /// The number of a failure. docs/CODES.md lists them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            const fn category(self) -> Category {
                match self {
                    $(Self::$name => Category::$category,)*
                }
            }
        }

        /// The number, name and kind of every failure, for the page that lists
        /// them.
        pub const ERRORS: &[(u16, &str, Category)] =
            &[$((Code::$name as u16, stringify!($name), Category::$category),)*];
    };
}

codes! {
    /// The text is not JSON with comments.
    Syntax = 4001, Syntax;
    /// A field that does not exist.
    Field = 4002, Data;
    /// A value with a wrong unit or out of range.
    Unit = 4003, Data;
    /// A name with characters that names may not have.
    Name = 4004, Data;
    /// Rows that contradict each other.
    Cross = 4005, Data;
    /// A command line that makes no sense.
    Usage = 4006, Data;
    /// A script of the scenario language is wrong.
    Script = 4007, Syntax;
    /// Another operator changed the same rows first.
    Conflict = 4101, Conflict;
    /// The named row, team, key or node does not exist.
    Absent = 4102, Conflict;
    /// Some nodes have not confirmed a change in time.
    Unconfirmed = 4103, Conflict;
    /// A promise was seen broken, by the demonstration or a measurement.
    Broken = 4104, Conflict;
    /// The store did not answer; whether a write took effect is unknown.
    StoreLost = 5001, Store;
    /// The store refused the call.
    StoreRefused = 5002, Store;
    /// The store answered with something that is no document.
    StoreData = 5003, Store;
    /// A frame that cannot be decoded or is too large.
    Frame = 6001, Peer;
    /// A peer that does not know the fleet secret.
    Secret = 6002, Peer;
    /// A peer that cannot be reached.
    Unreachable = 6003, Peer;
    /// The operating system refused something.
    Io = 7001, Io;
    /// An address to listen on cannot be bound.
    Bind = 7002, Io;
    /// Tasks or decisions of a node panicked again and again.
    Fault = 8001, Fault;
}

impl Error {
    pub(crate) fn new(code: Code, reason: impl Into<String>) -> Self {
        Self(Box::new(Detail {
            code,
            reason: reason.into(),
            file: None,
            line: 0,
            column: 0,
        }))
    }

    /// A promise that was seen broken.
    pub(crate) fn broken(reason: impl Into<String>) -> Self {
        Self::new(Code::Broken, reason)
    }

    /// Adds the place, counted from one.
    pub fn at(mut self, line: usize, column: usize) -> Self {
        self.0.line = line;
        self.0.column = column;
        self
    }

    /// Adds the file's name.
    pub fn within(mut self, file: impl Into<String>) -> Self {
        self.0.file = Some(file.into());
        self
    }

    /// The number that docs/CODES.md explains.
    pub fn number(&self) -> u16 {
        self.0.code as u16
    }

    /// The kind of failure.
    pub fn category(&self) -> Category {
        self.0.code.category()
    }

    /// The reason alone, without number and place.
    pub fn reason(&self) -> &str {
        &self.0.reason
    }

    /// The file, where the failure lies in one.
    pub fn file(&self) -> Option<&str> {
        self.0.file.as_deref()
    }

    /// The line, counted from one, or zero when there is none.
    pub fn line(&self) -> usize {
        self.0.line
    }

    /// The column, counted from one, or zero when there is none.
    pub fn column(&self) -> usize {
        self.0.column
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = self.file() {
            write!(f, "{file}:")?;
        }
        if self.line() > 0 {
            write!(f, "{}:{}:", self.line(), self.column())?;
        }
        if self.file().is_some() || self.line() > 0 {
            f.write_str(" ")?;
        }
        write!(f, "{} (code {})", self.reason(), self.number())
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::new(Code::Io, error.to_string())
    }
}
