//! Time in milliseconds.
//!
//! Decisions never read a clock: they are handed a [`Time`]. Only the input
//! and output layer owns a [`Clock`]. It counts through suspension, so a node
//! that was paused sees that its leases have lapsed as soon as it wakes.

use std::{
    fmt,
    ops::{
        Add,
        AddAssign,
        Sub, //
    },
    str::FromStr,
};

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

use crate::error::{
    Code,
    Error, //
};

/// A point in time, in milliseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

/// A length of time, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Span(u64);

impl Time {
    /// The origin of a clock.
    pub const ZERO: Self = Self(0);
    /// A point that no clock reaches.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero when that lies ahead.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`, or zero when that has passed.
    pub const fn until(self, later: Self) -> Span {
        later.since(self)
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Self = Self(0);
    /// Longer than any clock counts.
    pub const MAX: Self = Self(u64::MAX);

    /// A length of `ms` milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// A length of `secs` seconds, or [`Span::MAX`] if it cannot be counted in
    /// milliseconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// The length in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// The length in seconds.
    pub const fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// The length multiplied by `factor`, rounded down.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }

    /// The standard library's form, for timers.
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0ms"),
            ms if ms % 60_000 == 0 => write!(f, "{}min", ms / 60_000),
            ms if ms % 1000 == 0 => write!(f, "{}s", ms / 1000),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    /// Reads a whole number with a unit: `250ms`, `5s` or `2min`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                Code::Unit,
                format!("`{text}` is no time: write 250ms, 5s or 2min"),
            )
        };
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let count: u64 = digits.parse().map_err(|_| bad())?;
        let factor = match &text[digits.len()..] {
            "ms" => 1,
            "s" => 1000,
            "min" => 60_000,
            _ => return Err(bad()),
        };
        count.checked_mul(factor).map(Span).ok_or_else(bad)
    }
}

/// The machine's clock, counting through suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Reads the time since boot.
    pub fn now(self) -> Time {
        let spec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let ms = spec.tv_sec as u64 * 1000 + spec.tv_nsec as u64 / 1_000_000;
        Time(ms)
    }

    /// Reads the wall clock, in milliseconds since 1970, for logs and history.
    pub fn wall(self) -> u64 {
        let spec = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
        spec.tv_sec as u64 * 1000 + spec.tv_nsec as u64 / 1_000_000
    }
}
