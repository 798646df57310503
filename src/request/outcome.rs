//! Whether a request has run, as far as this is known.
//!
//! A caller who is told that its request has not run sends it again, so this must never be
//! claimed without proof. A call is [exposed](Exposure) from the moment that an attempt is
//! sent, until a [`NotRun`] proves that no upstream has run this attempt and none will.
//! Only three things prove that: nothing was handed over, the inbound proxy has removed
//! the attempt from its queue or never put it there, and the upstream has said so. All
//! else leaves the call exposed, also what nobody has thought of. A [`Refusal`] says "not
//! run" only if the call is not exposed.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    backpressure::Hint,
    clock::Span,
    code::{
        Code,
        Verdict, //
    },
    id::{
        Incarnation,
        Request, //
    },
};

/// What shows that a request has not run, and never will.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// No attempt was sent.
    #[default]
    Unsent,
    /// The link for the attempt was never opened.
    LinkAbsent,
    /// The inbound proxy has not started the attempt, or its upstream has accepted no
    /// connection.
    NotStarted,
    /// The upstream has answered that it has not run the request.
    Rejected,
    /// The inbound proxy was asked, and has revoked the attempt before its start.
    Revoked,
}

impl Evidence {
    /// The name, as log lines carry it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::LinkAbsent => "link-absent",
            Self::NotStarted => "not-started",
            Self::Rejected => "rejected",
            Self::Revoked => "revoked",
        }
    }
}

/// Proof that one attempt has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    code: Code,
    evidence: Evidence,
}

impl NotRun {
    /// The link for the attempt was never opened.
    pub const fn unsent() -> Self {
        Self {
            code: Code::LinkAbsent,
            evidence: Evidence::LinkAbsent,
        }
    }

    /// The inbound proxy has revoked the attempt before its start.
    pub const fn revoked() -> Self {
        Self {
            code: Code::Revoked,
            evidence: Evidence::Revoked,
        }
    }

    /// The inbound proxy refuses the attempt with this code. Returns `None` unless it is
    /// one with which an inbound proxy refuses what it has not started.
    pub const fn refused(code: Code) -> Option<Self> {
        let evidence = match code {
            Code::UpstreamRejected => Evidence::Rejected,
            Code::KeyWithdrawn
            | Code::KeyReused
            | Code::Shed
            | Code::QueueFull
            | Code::QueueTimeout
            | Code::DeadlineUnfit
            | Code::Leaving
            | Code::UpstreamAbsent
            | Code::Revoked
            | Code::UpstreamRefused
            | Code::RecordUnavailable
            | Code::UpstreamCold
            | Code::Evacuated
            | Code::UpstreamLimited => Evidence::NotStarted,
            _ => return None,
        };
        Some(Self { code, evidence })
    }

    /// The code of the refusal.
    pub const fn code(self) -> Code {
        self.code
    }
}

/// Whether one of a call's attempts may have run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    /// The attempt sent last, until its outcome is known.
    open: Option<Request>,
    /// Why an attempt may have run; the first reason.
    reason: Option<Code>,
    /// What shows that the attempt sent last has not run.
    evidence: Evidence,
}

impl Exposure {
    /// Records that an attempt is sent.
    pub fn begin(&mut self, attempt: Request) {
        if self.open.replace(attempt).is_some() {
            self.reason.get_or_insert(Code::LinkLost);
        }
    }

    /// Records that an attempt has not run.
    pub fn disprove(&mut self, attempt: Request, proof: NotRun) {
        if self.open == Some(attempt) {
            self.open = None;
            self.evidence = proof.evidence;
        }
    }

    /// Records why the attempt sent last may have run.
    pub fn confirm(&mut self, reason: Code) {
        self.open = None;
        self.reason.get_or_insert(reason);
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.is_open() || self.reason.is_some()
    }

    /// Whether the outcome of the attempt sent last is not known yet.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Refuses the call. A code that claims that it has not run is replaced if an attempt
    /// may have.
    pub fn refuse(&self, code: Code) -> Refusal {
        if !self.may_have_run() {
            return Refusal::new(code, self.evidence);
        }
        Refusal::uncertain(match code.verdict() {
            Verdict::Unknown => code,
            Verdict::NotRun => self.reason.unwrap_or(Code::LinkLost),
        })
    }
}

/// The time that a draining node lacks for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The time that the node has left.
    pub left: Span,
    /// The time that the call may take.
    pub needed: Span,
}

/// The refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    code: Code,
    evidence: Option<Evidence>,
    retry_after: Option<Span>,
    shortage: Option<Shortage>,
}

impl Refusal {
    fn new(code: Code, evidence: Evidence) -> Self {
        Self {
            code,
            evidence: (code.verdict() == Verdict::NotRun).then_some(evidence),
            retry_after: None,
            shortage: None,
        }
    }

    /// Refuses a call of which no attempt was sent.
    pub fn unsent(code: Code) -> Self {
        Self::new(code, Evidence::Unsent).retry_after(code.retry_after())
    }

    /// Refuses a call that may have run. A code that claims otherwise is replaced.
    pub fn uncertain(code: Code) -> Self {
        let code = match code.verdict() {
            Verdict::Unknown => code,
            Verdict::NotRun => Code::LinkLost,
        };
        Self {
            code,
            evidence: None,
            retry_after: None,
            shortage: None,
        }
    }

    /// Sets the time that a draining node lacks for the call.
    pub fn shortage(self, shortage: Option<Shortage>) -> Self {
        Self { shortage, ..self }
    }

    /// Sets after how long the caller may return.
    pub fn retry_after(self, wait: Option<Span>) -> Self {
        Self {
            retry_after: wait,
            ..self
        }
    }

    /// The code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// What shows that the request has not run; `None` if it may have.
    pub fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// The time that a draining node lacks for the call, if it is refused for this.
    pub fn drain(&self) -> Option<Shortage> {
        self.shortage
    }

    /// After how long the caller may return.
    pub fn wait(&self) -> Option<Span> {
        self.retry_after
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
