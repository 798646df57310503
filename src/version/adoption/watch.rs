//! A watcher's calls to the store.
//!
//! A watch that waits is one call, and its quiet end is a confirmation: at
//! that time nothing newer had been accepted. So its length is both the cost
//! in calls and the age of confirmations.

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
const WAIT: Span = Span::from_secs(4);
/// A call without any answer after this counts as lost.
const HUNG: Span = Span::from_secs(15);
/// The first and the longest wait after a lost call.
const BACKOFF: Span = Span::from_ms(250);
const BACKOFF_LIMIT: Span = Span::from_secs(8);

/// What an answer says.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Nothing of use.
    Nothing,
    /// What is known was still the latest at this time.
    Confirmed(Time),
    /// A document, the latest at this time.
    NewDocument(Box<Document>, Time),
    /// The value is no document.
    InvalidDocument(String),
}

/// The watch of one node.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    revision: Revision,
    /// When the call under way was made, and its number among them.
    asked: Option<Time>,
    next: Time,
    lost: u32,
}

impl Watch {
    /// The call that is due, while this node is a watcher.
    pub fn tick(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Option<Call> {
        if self.asked.is_some_and(|asked| now.since(asked) >= HUNG) {
            self.back_off(now, rng);
        }
        if self.asked.is_some() || now < self.next {
            return None;
        }
        self.asked = Some(now);
        Some(Call::Watch {
            key: KEY.to_owned(),
            after: self.revision,
            wait: WAIT,
        })
    }

    /// Takes the answer in.
    pub fn answer(&mut self, now: Time, answer: Answer, rng: &mut ChaCha8Rng) -> Outcome {
        let Some(asked) = self.asked.take() else {
            return Outcome::Nothing;
        };
        match answer {
            Answer::Quiet => {
                self.lost = 0;
                // Not the time at which the answer is read: this node may have
                // been paused between. The store waited its time out, so the
                // answer is at least that much younger than the question.
                let at = now.min(asked + WAIT);
                self.next = now + Span::from_ms(rng.random_range(0..50));
                Outcome::Confirmed(at)
            }
            Answer::Value(Some(entry)) => {
                self.lost = 0;
                self.next = now;
                self.revision = entry.revision;
                match serde_json::from_str(&entry.value) {
                    Ok(document) => Outcome::NewDocument(Box::new(document), asked),
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
        self.asked = None;
        self.next = now + member::backoff_with_jitter(self.lost, BACKOFF, BACKOFF_LIMIT, rng);
        self.lost += 1;
    }
}
