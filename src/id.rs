//! Names and numbers that tell things apart.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    de::Error as _, //
};
use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

use crate::error::{
    Code,
    Error, //
};

/// Random bits in an incarnation, below those of the clock.
pub const INCARNATION_RANDOM_BITS: u32 = 22;
/// No clock of a node shows a later time: the start of the year 2100, in Unix milliseconds.
const MAX_CLOCK_MS: u64 = 4_102_444_800_000;

/// The longest name, in bytes.
const NAME_LIMIT: usize = 64;

fn name(kind: &str, text: &str) -> Result<Arc<str>, Error> {
    let fits = !text.is_empty() && text.len() <= NAME_LIMIT;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if fits && text.chars().all(plain) {
        return Ok(text.into());
    }
    let reason =
        format!("`{text}` is no {kind}: use 1 to {NAME_LIMIT} letters, digits, `-`, `_`, `.`");
    Err(Error::new(Code::Name, reason))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                name($kind, text).map(Self)
            }
        }
    )*};
}

names! {
    /// A machine, with its node and its upstream.
    Instance, "instance name";
    /// A failure domain.
    Domain, "failure domain name";
    /// A customer whose requests share a rate.
    Team, "team name";
    /// A row of the table of routes.
    Route, "route name";
    /// A row of the table of pools.
    Pool, "pool name";
    /// The public part of a key, by which it is looked up and withdrawn.
    Key, "key name";
}

impl Team {
    /// Stands for the services themselves, whose calls carry no key.
    pub fn services() -> Self {
        Self("services".into())
    }
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($(#[$field:meta])* $inner:ty), $format:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($(#[$field])* pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                <$inner>::from_str_radix(text, if $format == "{}" { 10 } else { 16 })
                    .map(Self)
                    .map_err(|_| Error::new(Code::Unit, format!("`{text}` is no {}", stringify!($name))))
            }
        }
    )*};
}

numbers! {
    /// One life of a node. A restart gets a higher one.
    Incarnation(#[serde(deserialize_with = "incarnation")] u64), "{:016x}";
    /// One life of an upstream, as the node beside it tells them apart.
    Upstream(u64), "{:016x}";
    /// The place of a request in its node's life.
    Sequence(u64), "{}";
    /// A request as the first caller sees it, with all that it causes.
    Root(u64), "{:016x}";
    /// What a service shows to make nested calls. Unguessable.
    Token(u128), "{:032x}";
    /// A version of the configuration.
    Version(u64), "{}";
    /// One operator's change.
    Change(u64), "{:016x}";
    /// A call as its ingress node counts it, until it is answered.
    Call(u64), "{}";
    /// A connection of a caller, as its node counts it.
    Connection(u64), "{}";
    /// A lease of the platform's service.
    Lease(u64), "{}";
    /// A revision of a value in the platform's service; zero means absent.
    Revision(u64), "{}";
    /// Digest of a request's method, target and body.
    Digest(u64), "{:016x}";
    /// One grant of rate tokens, in its holder's life.
    Grant(u64), "{}";
}

impl Incarnation {
    /// The highest incarnation that is accepted from others.
    pub const MAX: Self = Self(MAX_CLOCK_MS << INCARNATION_RANDOM_BITS);

    /// The next incarnation; `None` after [`Incarnation::MAX`].
    pub fn next(self) -> Option<Self> {
        (self < Self::MAX).then(|| Self(self.0.saturating_add(1)))
    }
}

/// Deserializes an incarnation that a clock can reach.
fn incarnation<'de, D: Deserializer<'de>>(deserializer: D) -> std::result::Result<u64, D::Error> {
    let number = u64::deserialize(deserializer)?;
    match number <= Incarnation::MAX.0 {
        true => Ok(number),
        false => Err(D::Error::custom(format!(
            "incarnation {number:016x} is above {}",
            Incarnation::MAX
        ))),
    }
}

/// One attempt to run a request, never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Request {
    /// The life of the node that sent the attempt.
    pub incarnation: Incarnation,
    /// Its place in that life.
    pub sequence: Sequence,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}
