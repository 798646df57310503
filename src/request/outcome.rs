//! Outcome of an attempt: done, certainly not run, or unknown.
//!
//! There are deliberately no other outcomes. A request that isn't idempotent may
//! be retried only after [`Outcome::NotRun`]. Only code that never sent the
//! request, or the inbound proxy that never started it, may construct this variant.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    backpressure::Hint,
    code::{
        Code,
        Verdict, //
    },
    id::Incarnation,
};

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered, with this HTTP status.
    Done(u16),
    /// No upstream has started the request, and none will.
    NotRun(Code),
    /// The request may have run.
    Unknown(Code),
}

impl From<Code> for Outcome {
    /// Returns the outcome that the code's verdict stands for.
    fn from(code: Code) -> Self {
        match code.verdict() {
            Verdict::NotRun => Self::NotRun(code),
            Verdict::Unknown => Self::Unknown(code),
        }
    }
}

/// Status of an inbound proxy, sent with every response and refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Current admission level, see [`crate::admission`].
    pub level: u16,
    /// Number of requests in flight and queued at the upstream.
    pub load: u32,
    /// Number of slots of the upstream under the current concurrency limit.
    pub slots: u32,
    /// Average service time of the attempt's route at this instance, in milliseconds.
    /// Zero if unknown.
    #[serde(default)]
    pub service: u32,
    /// Number of retries spent by the attempt and all calls below it.
    pub spent: u8,
    /// Set by a deeper hop if no hop above should retry.
    #[serde(rename = "final_word")]
    pub no_retry: bool,
    /// Clock of the inbound proxy, in milliseconds.
    pub clock: u64,
    /// The upstream is leaving.
    pub leaving: bool,
    /// Incarnation of the reporting node.
    pub life: Incarnation,
    /// Rate limit or leaving state that the upstream announced in its responses,
    /// while it applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<Hint>,
}
