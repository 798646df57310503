//! Commits one change to the store, tolerating lost answers.
//!
//! A write whose answer was lost may have taken effect or may still do so,
//! because the call can still be in flight. The same write is therefore retried
//! with the same expected revision. At most one of the two can take effect,
//! because revisions are never reused. The answer to the retry tells what
//! happened: it succeeds, or it conflicts with a document whose history contains
//! this change's id (the first write took effect, even if later changes have
//! followed), or with one whose history does not (the first write did not take
//! effect and never will).

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    change::{
        self,
        Author,
        Faults,
        Proposal, //
    },
    document::{
        Document,
        KEY,
        Row, //
    },
};
use crate::{
    clock::Span,
    error::{
        Code,
        Error, //
    },
    id::{
        Change,
        Revision,
        Version, //
    },
    store::{
        Answer,
        Call,
        Entry, //
    },
};

/// Consecutive lost answers after which the store is considered unavailable.
const LOST_ANSWER_LIMIT: u32 = 10;
/// Conflicts with other writers after which the commit is abandoned.
const CONFLICT_LIMIT: u32 = 100;
/// The initial retry delay after a lost answer; it doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Span = Span::from_ms(100);
/// The maximum retry delay after a lost answer.
const MAX_RETRY_DELAY: Span = Span::from_secs(2);

/// What to do next.
#[derive(Debug)]
pub enum Step {
    /// Wait for the given time, make the call, and pass its answer to
    /// [`Commit::on`].
    Call(Span, Call),
    /// The change was committed, is a finished dry run, or changes nothing.
    Done(Box<Done>),
    /// The change was not committed, or the only error says that the outcome is
    /// unknown.
    Failed(Faults),
}

/// The result of a finished commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The document with the change, or the current one if nothing changed.
    pub document: Document,
    /// The version that the change created, if it changed anything.
    pub version: Option<Version>,
    /// The rows that the change modified.
    pub rows: Vec<Row>,
    /// Conflicts with other writers before the change was accepted.
    pub races: u32,
}

#[derive(Debug)]
enum State {
    Reading,
    Writing(Box<PendingWrite>),
}

/// A write that awaits its answer.
#[derive(Debug)]
struct PendingWrite {
    base: Version,
    next: Document,
    call: Call,
    /// Whether an answer to this write was lost.
    answer_lost: bool,
}

/// State machine that commits one change to the store.
pub struct Commit {
    proposal: Proposal,
    author: Author,
    since: Option<Version>,
    dry: bool,
    state: State,
    lost_answers: u32,
    races: u32,
    rng: ChaCha8Rng,
}

impl Commit {
    /// Creates a commit; the change's id is generated from `seed`. A dry run
    /// stops before the write.
    pub fn new(proposal: Proposal, author: Author, dry: bool, seed: u64) -> Self {
        let since = match &proposal {
            Proposal::Tables { since, .. } => Some(*since),
            Proposal::Edit(_) => None,
        };
        Self {
            proposal,
            author,
            since,
            dry,
            state: State::Reading,
            lost_answers: 0,
            races: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the first step.
    pub fn begin(&self) -> Step {
        Step::Call(Span::ZERO, get_document())
    }

    /// Handles the answer to the last call and returns the next step.
    pub fn on(&mut self, answer: Answer) -> Step {
        if answer == Answer::Lost {
            return self.retry();
        }
        self.lost_answers = 0;
        match (std::mem::replace(&mut self.state, State::Reading), answer) {
            (State::Reading, Answer::Value(entry)) => self.write(entry),
            (State::Writing(write), Answer::Swapped(_)) => self.done(write.next),
            (State::Writing(write), Answer::Conflict(entry)) => self.on_conflict(&write, entry),
            (_, other) => failed(
                Code::StoreRefused,
                format!("the store gave no fitting answer: {other:?}"),
            ),
        }
    }

    fn retry(&mut self) -> Step {
        self.lost_answers += 1;
        let delay = INITIAL_RETRY_DELAY.scale(f64::from(1 << self.lost_answers.min(8)) / 2.0);
        let delay = delay.min(MAX_RETRY_DELAY);
        match &mut self.state {
            State::Reading if self.lost_answers < LOST_ANSWER_LIMIT => {
                Step::Call(delay, get_document())
            }
            State::Reading => failed(
                Code::StoreLost,
                "the store does not answer; nothing was changed",
            ),
            State::Writing(write) if self.lost_answers < LOST_ANSWER_LIMIT => {
                write.answer_lost = true;
                Step::Call(delay, write.call.clone())
            }
            State::Writing(write) => outcome_unknown(&write.next),
        }
    }

    /// Applies the change to the document that was read, and writes the result.
    fn write(&mut self, entry: Option<Entry>) -> Step {
        let revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        let present = match entry.map(|entry| Document::decode(&entry.value)) {
            None => Document::default(),
            Some(Ok(document)) => document,
            Some(Err(error)) => return Step::Failed(vec![error]),
        };
        let since = *self.since.get_or_insert(present.version);
        let change = Change(self.rng.random());
        let next = change::prepare(&present, since, &self.proposal, &self.author, change);
        let next = match next {
            Ok(Some(next)) => next,
            Ok(None) => {
                return Step::Done(Box::new(Done {
                    document: present,
                    version: None,
                    rows: Vec::new(),
                    races: self.races,
                }));
            }
            Err(faults) => return Step::Failed(faults),
        };
        if self.dry {
            return self.done(next);
        }
        let value = match next.encode() {
            Ok(value) => value,
            Err(error) => return Step::Failed(vec![error]),
        };
        let call = Call::Swap {
            key: KEY.to_owned(),
            expect: revision,
            value: Some(value),
            lease: None,
            unless: None,
        };
        self.state = State::Writing(Box::new(PendingWrite {
            base: present.version,
            next,
            call: call.clone(),
            answer_lost: false,
        }));
        Step::Call(Span::ZERO, call)
    }

    /// Handles a conflict: another writer was first, or this change had already
    /// been written and its answer was lost.
    fn on_conflict(&mut self, write: &PendingWrite, entry: Option<Entry>) -> Step {
        let Some(entry) = entry else {
            return failed(Code::StoreData, "the configuration is gone from the store");
        };
        let present = match Document::decode(&entry.value) {
            Ok(present) => present,
            Err(error) => return Step::Failed(vec![error]),
        };
        if present.holds(write.next.change) {
            return self.done(write.next.clone());
        }
        let later = present.version.0.saturating_sub(write.base.0);
        if write.answer_lost && later > present.history.len() as u64 {
            return outcome_unknown(&write.next);
        }
        self.races += 1;
        if self.races > CONFLICT_LIMIT {
            return failed(
                Code::Conflict,
                "other operators were faster each time; nothing was changed",
            );
        }
        self.write(Some(entry))
    }

    fn done(&self, document: Document) -> Step {
        let touched = document.history.first().map_or(&[][..], |e| &e.rows);
        let rows = touched.iter().map(|touched| touched.row.clone()).collect();
        Step::Done(Box::new(Done {
            version: Some(document.version),
            document,
            rows,
            races: self.races,
        }))
    }
}

fn get_document() -> Call {
    Call::Get {
        key: KEY.to_owned(),
    }
}

fn failed(code: Code, reason: impl Into<String>) -> Step {
    Step::Failed(vec![Error::new(code, reason)])
}

fn outcome_unknown(next: &Document) -> Step {
    let reason = format!(
        "whether the change {} took effect as version {} is unknown; `history` tells when the \
         store answers again",
        next.change, next.version
    );
    failed(Code::StoreLost, reason)
}
