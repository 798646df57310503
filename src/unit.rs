//! Sizes, rates and weights, with the units that operators write.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

use crate::{
    clock::Span,
    error::{
        Code,
        Error, //
    },
};

/// Requests a second, kept in thousandths.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Rate(u64);

impl Rate {
    /// A rate of `count` requests a second.
    pub const fn per_second(count: u64) -> Self {
        Self(count * 1000)
    }

    /// This rate times `thousandths` / 1,000.
    pub const fn scaled(self, thousandths: u64) -> Self {
        Self(self.0.saturating_mul(thousandths) / 1000)
    }

    /// Requests a second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Thousandths of a request that come due within `span`.
    pub const fn millis_within(self, span: Span) -> u64 {
        self.0.saturating_mul(span.as_ms()) / 1000
    }

    /// A share of the rate, in percent, rounded down.
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// An equal part of the rate among `count`, rounded down.
    pub const fn split(self, count: u64) -> Self {
        Self(self.0 / if count == 0 { 1 } else { count })
    }

    /// Thousandths of a request a second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 1000 {
            0 => write!(f, "{}/s", self.0 / 1000),
            _ => write!(f, "{}/s", self.as_f64()),
        }
    }
}

impl FromStr for Rate {
    type Err = Error;

    /// Reads a count over a unit of time: `50/s`, `0.5/s` or `30/min`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                Code::Unit,
                format!("`{text}` is no rate: write 50/s, 0.5/s or 30/min"),
            )
        };
        let (count, unit) = text.split_once('/').ok_or_else(bad)?;
        let count: f64 = count.parse().map_err(|_| bad())?;
        let seconds = match unit {
            "s" => 1.0,
            "min" => 60.0,
            _ => return Err(bad()),
        };
        let valid = count.is_finite() && (0.0..=1e9).contains(&count);
        valid
            .then(|| Self((count * 1000.0 / seconds).round() as u64))
            .ok_or_else(bad)
    }
}

/// A number of bytes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct Size(u64);

impl Size {
    /// A size of `count` bytes.
    pub const fn bytes(count: u64) -> Self {
        Self(count)
    }

    /// A size of `count` times 1,024 bytes.
    pub const fn kib(count: u64) -> Self {
        Self(count * 1024)
    }

    /// The size in bytes.
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            b if b > 0 && b % (1 << 20) == 0 => write!(f, "{}MiB", b >> 20),
            b if b > 0 && b % (1 << 10) == 0 => write!(f, "{}KiB", b >> 10),
            b => write!(f, "{b}B"),
        }
    }
}

impl FromStr for Size {
    type Err = Error;

    /// Reads a whole number with a unit: `512B`, `64KiB` or `8MiB`.
    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || {
            Error::new(
                Code::Unit,
                format!("`{text}` is no size: write 512B, 64KiB or 8MiB"),
            )
        };
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let count: u64 = digits.parse().map_err(|_| bad())?;
        let factor = match &text[digits.len()..] {
            "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => return Err(bad()),
        };
        count.checked_mul(factor).map(Self).ok_or_else(bad)
    }
}

/// A share relative to others, at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(pub u32);

impl Default for Weight {
    fn default() -> Self {
        Self(1)
    }
}
