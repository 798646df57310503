//! Schedules a watcher's calls to the store.
//!
//! A watch call waits in the store for a change. If it ends without one, that
//! confirms the known version: nothing newer had been accepted by then. The
//! wait therefore sets both the number of calls and the age of confirmations.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::KEY;
use crate::{
    clock::{
        Span,
        Time, //
    },
    document::Document,
    id::Revision,
    member,
    store::{
        Answer,
        Call, //
    },
};

/// How long one watch waits in the store.
const WATCH_WAIT: Span = Span::from_secs(4);
/// A call that has no answer after this time counts as failed.
const CALL_TIMEOUT: Span = Span::from_secs(15);
/// The base and the upper limit of the delay after a failed call.
const BACKOFF_BASE: Span = Span::from_ms(250);
const BACKOFF_LIMIT: Span = Span::from_secs(8);

/// The result of a watch call.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The call failed, or its answer came too late to count.
    Nothing,
    /// The known version was still the latest at this time.
    Confirmed(Time),
    /// A new document, the latest at this time.
    NewDocument(Box<Document>, Time),
    /// The stored value is not a valid document; holds the parser's error.
    InvalidDocument(String),
}

/// The state of one node's watch on the store.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    revision: Revision,
    /// When the pending call was made, if there is one.
    sent_at: Option<Time>,
    next_at: Time,
    failures: u32,
}

impl Watch {
    /// Returns the call that is due, if any. To be polled only while this node is a
    /// watcher.
    pub fn tick(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Option<Call> {
        if self
            .sent_at
            .is_some_and(|sent_at| now.since(sent_at) >= CALL_TIMEOUT)
        {
            self.back_off(now, rng);
        }
        if self.sent_at.is_some() || now < self.next_at {
            return None;
        }
        self.sent_at = Some(now);
        Some(Call::Watch {
            key: KEY.to_owned(),
            after: self.revision,
            wait: WATCH_WAIT,
        })
    }

    /// Processes the answer to the pending call.
    pub fn answer(&mut self, now: Time, answer: Answer, rng: &mut ChaCha8Rng) -> Outcome {
        let Some(sent_at) = self.sent_at.take() else {
            return Outcome::Nothing;
        };
        match answer {
            Answer::Quiet => {
                self.failures = 0;
                // Not simply `now`, because this node may have been paused before
                // it read the answer. The store waited for the whole of
                // `WATCH_WAIT`, so the answer holds at least until then.
                let at = now.min(sent_at + WATCH_WAIT);
                self.next_at = now + Span::from_ms(rng.random_range(0..50));
                Outcome::Confirmed(at)
            }
            Answer::Value(Some(entry)) => {
                self.failures = 0;
                self.next_at = now;
                self.revision = entry.revision;
                match serde_json::from_str(&entry.value) {
                    Ok(document) => Outcome::NewDocument(Box::new(document), sent_at),
                    Err(error) => Outcome::InvalidDocument(error.to_string()),
                }
            }
            _ => {
                self.back_off(now, rng);
                Outcome::Nothing
            }
        }
    }

    fn back_off(&mut self, now: Time, rng: &mut ChaCha8Rng) {
        self.sent_at = None;
        self.next_at =
            now + member::backoff_with_jitter(self.failures, BACKOFF_BASE, BACKOFF_LIMIT, rng);
        self.failures += 1;
    }
}
