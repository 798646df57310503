//! How an attempt ends: done, certainly not run, or unknown.
//!
//! The type is closed on purpose. Only [`Outcome::NotRun`] may be tried again
//! when the request is not idempotent, and only code that never sent the
//! request, or the inbound proxy that never started it, may construct one.

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

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered, with this HTTP status.
    Done(u16),
    /// No upstream has begun it, and none will.
    NotRun(Code),
    /// It may have run.
    Unknown(Code),
}

impl From<Code> for Outcome {
    /// The outcome that a code promises.
    fn from(code: Code) -> Self {
        match code.verdict() {
            Verdict::NotRun => Self::NotRun(code),
            Verdict::Unknown => Self::Unknown(code),
        }
    }
}

/// What an inbound proxy tells with every answer and refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The admission level now in force, see [`crate::admission`].
    pub level: u16,
    /// Requests in flight and queued at the upstream.
    pub load: u32,
    /// Slots the upstream has by the present limit.
    pub slots: u32,
    /// The usual time of service of the attempt's route here, in milliseconds; zero
    /// while unknown.
    #[serde(default)]
    pub service: u32,
    /// Retries that the attempt and all below it have spent.
    pub spent: u8,
    /// A deeper hop has judged that nobody above should try again.
    #[serde(rename = "final_word")]
    pub no_retry: bool,
    /// The inbound proxy's clock, in milliseconds.
    pub clock: u64,
    /// The upstream is leaving.
    pub leaving: bool,
    /// The life of the node that reports.
    pub life: Incarnation,
    /// What the upstream told in its answers, where that binds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<Hint>,
}
