//! A node's own two leases: the short one that its seats live by, and the long
//! one that keeps others than its successor away.

use super::{
    Action,
    NONE,
    Node,
    Purpose,
    SeatManager,
    alive_key,
    node_key,
    write, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Instance,
        Lease,
        Revision, //
    },
    store::{
        Answer,
        Call,
        Entry, //
    },
};

/// A call that is not answered for so long no longer holds up the next.
const SLOW: Span = Span::from_ms(250);
/// Silence of the store that a node which wakes assumes.
const WOKEN: Span = Span::from_ms(600);
const BACKOFF_FIRST: Span = Span::from_ms(250);
const BACKOFF_LAST: Span = Span::from_secs(4);

/// One call for the node's own leases.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Make the short lease.
    Short,
    /// Write the sign of life under it.
    Alive(Lease),
    /// Make the long lease.
    Long,
    /// Write the node's record under it, naming this successor.
    Node(Lease, Option<Instance>),
    /// Read back a record whose write was not answered.
    NodeRead,
    /// Renew the short lease.
    RenewShort(Lease),
    /// Renew the long lease.
    RenewLong(Lease),
}

#[derive(Clone, Copy, Debug)]
struct Term {
    lease: Lease,
    asked: Time,
    end: Time,
}

/// The node's own two leases.
#[derive(Clone, Debug, Default)]
pub(super) struct Base {
    short: Option<Term>,
    alive: bool,
    long: Option<Term>,
    node: Option<(Revision, Node)>,
    node_unsure: bool,
    busy_until: Time,
    next_at: Time,
    failures: u32,
    heard: Time,
}

impl Base {
    /// Until when a seat holds that was written under this short lease.
    pub(super) fn short_end(&self, lease: Lease) -> Option<Time> {
        let term = self.short.filter(|term| term.lease == lease)?;
        self.alive.then_some(term.end)
    }

    /// The short lease, once the sign of life is written and while it lasts.
    pub(super) fn live(&self, now: Time) -> Option<Lease> {
        let term = self.short.filter(|term| now < term.end)?;
        self.alive.then_some(term.lease)
    }

    /// Until when others than the successor keep away.
    pub(super) fn long_end(&self) -> Time {
        match (&self.node, self.long) {
            (Some((_, node)), Some(term)) if node.lease == term.lease => term.end,
            _ => Time::ZERO,
        }
    }

    /// The successor that the store is known to name.
    pub(super) fn successor(&self) -> Option<&Instance> {
        let (_, node) = self.node.as_ref()?;
        let sure = !self.node_unsure && self.long.is_some_and(|term| term.lease == node.lease);
        node.successor.as_ref().filter(|_| sure)
    }

    /// Notes that the node was paused until now.
    pub(super) fn woke(&mut self, now: Time) {
        let recent = Time::from_ms(now.as_ms().saturating_sub(WOKEN.as_ms()));
        self.heard = self.heard.max(recent);
    }

    /// Notes that the store answered a call of this time.
    pub(super) fn heard(&mut self, asked: Time) {
        self.heard = self.heard.max(asked);
    }

    /// Time since the last call that the store answered.
    pub(super) fn silence(&self, now: Time) -> Span {
        now.since(self.heard)
    }

    /// Time that the short lease has left.
    pub(super) fn short_left(&self, now: Time) -> Span {
        self.short.map_or(Span::ZERO, |term| now.until(term.end))
    }
}

impl SeatManager {
    pub(super) fn base_tick(
        &mut self,
        now: Time,
        successor: Option<&Instance>,
        out: &mut Vec<Action>,
    ) {
        if now < self.base.busy_until || now < self.base.next_at {
            return;
        }
        let Some(step) = self.base_step(now, successor) else {
            return;
        };
        let call = match &step {
            Step::Short => Call::Grant {
                ttl: self.setting.short_ttl,
            },
            Step::Long => Call::Grant {
                ttl: self.setting.long_ttl,
            },
            Step::RenewShort(lease) | Step::RenewLong(lease) => Call::Renew { lease: *lease },
            Step::Alive(lease) => Call::Swap {
                key: alive_key(&self.me),
                expect: NONE,
                value: Some(lease.to_string()),
                lease: Some(*lease),
            },
            Step::Node(lease, successor) => Call::Swap {
                key: node_key(&self.me),
                expect: self.base.node.as_ref().map_or(NONE, |(at, _)| *at),
                value: write(&Node {
                    successor: successor.clone(),
                    lease: *lease,
                }),
                lease: Some(*lease),
            },
            Step::NodeRead => Call::Get {
                key: node_key(&self.me),
            },
        };
        self.base.busy_until = now + SLOW;
        self.ask(now, Purpose::Base(step), call, out);
    }

    fn base_step(&self, now: Time, successor: Option<&Instance>) -> Option<Step> {
        let base = &self.base;
        let Some(short) = base.short.filter(|term| now < term.end) else {
            return Some(Step::Short);
        };
        if !base.alive {
            return Some(Step::Alive(short.lease));
        }
        if now >= short.asked + self.setting.renew_interval {
            return Some(Step::RenewShort(short.lease));
        }
        if !self.setting.name_successor {
            return None;
        }
        let Some(long) = base.long.filter(|term| now < term.end) else {
            return Some(Step::Long);
        };
        if base.node_unsure {
            return Some(Step::NodeRead);
        }
        let node = base.node.as_ref().map(|(_, node)| node);
        let named = node.and_then(|node| node.successor.as_ref());
        let current = node.is_some_and(|node| node.lease == long.lease);
        // While the successor may believe that it alone decides, no other is
        // named: it would not know, and two would. That also goes for an owner
        // that was told that its successor has taken over: another that finds
        // its name in the store would take the same seats from there.
        let taken = now < self.claims.barred;
        let fixed = self.is_frozen() || self.draining || taken;
        let wrong = named != successor && !fixed;
        if !current || wrong {
            let named = if fixed { named } else { successor };
            return Some(Step::Node(long.lease, named.cloned()));
        }
        let due = long.asked + self.setting.long_ttl.scale(0.02).min(Span::from_secs(120));
        (now >= due).then_some(Step::RenewLong(long.lease))
    }

    pub(super) fn base_answer(&mut self, now: Time, asked: Time, step: Step, answer: Answer) {
        if answer == Answer::Lost {
            self.base_lost(now, step);
            return;
        }
        self.base.busy_until = Time::ZERO;
        self.base.failures = 0;
        self.base.next_at = Time::ZERO;
        let margin = self.setting.clock_margin;
        match (step, answer) {
            (Step::Short, Answer::Leased { lease, ttl }) => {
                self.base.short = Some(Term {
                    lease,
                    asked,
                    end: asked + (ttl - margin),
                });
                self.base.alive = false;
            }
            (Step::Long, Answer::Leased { lease, ttl }) => {
                self.base.long = Some(Term {
                    lease,
                    asked,
                    end: asked + (ttl - margin),
                });
            }
            (Step::RenewShort(_), Answer::Leased { lease, ttl }) => {
                extend(&mut self.base.short, lease, asked, ttl - margin);
            }
            (Step::RenewLong(_), Answer::Leased { lease, ttl }) => {
                extend(&mut self.base.long, lease, asked, ttl - margin);
            }
            (Step::RenewShort(lease), Answer::Expired) => {
                self.base.short.take_if(|term| term.lease == lease);
                self.base.alive = self.base.alive && self.base.short.is_some();
            }
            (Step::RenewLong(lease), Answer::Expired) => {
                self.base.long.take_if(|term| term.lease == lease);
            }
            (Step::Alive(lease), answer) => self.alive_answer(now, lease, answer),
            (Step::Node(lease, successor), answer) => {
                self.node_answer(Node { successor, lease }, answer);
            }
            (Step::NodeRead, Answer::Value(entry)) => self.node_read(entry),
            _ => self.base.next_at = now + BACKOFF_LAST,
        }
    }

    /// Waits longer after each lost call, by chance, so that the fleet does not
    /// come back to the store all at once. A renewal is worth two quick tries.
    fn base_lost(&mut self, now: Time, step: Step) {
        let longest = BACKOFF_LAST
            .as_ms()
            .min(BACKOFF_FIRST.as_ms() << self.base.failures.min(8));
        let renewal = matches!(step, Step::RenewShort(_)) && self.base.failures < 2;
        let longest = if renewal { 50 } else { longest };
        self.base.failures += 1;
        self.base.next_at = now + self.jitter(Span::from_ms(longest / 2), Span::from_ms(longest));
        if matches!(step, Step::Node(..)) {
            self.base.node_unsure = true;
        }
    }

    fn alive_answer(&mut self, now: Time, lease: Lease, answer: Answer) {
        let current = self.base.short.is_some_and(|term| term.lease == lease);
        match answer {
            Answer::Swapped(_) if current => self.base.alive = true,
            // The answer to an earlier try was lost: the sign is there.
            Answer::Conflict(Some(entry)) if entry.value == lease.to_string() && current => {
                self.base.alive = true;
            }
            // A sign under an earlier lease of this life, which is about to end.
            Answer::Conflict(Some(_)) => {
                self.base.next_at = now + self.jitter(SLOW.scale(0.5), SLOW);
            }
            Answer::Expired if current => self.base.short = None,
            _ => {}
        }
    }

    fn node_answer(&mut self, node: Node, answer: Answer) {
        match answer {
            Answer::Swapped(revision) => self.base.node = Some((revision, node)),
            Answer::Conflict(entry) => self.node_read(entry),
            Answer::Expired => {
                self.base.long.take_if(|term| term.lease == node.lease);
            }
            _ => {}
        }
    }

    fn node_read(&mut self, entry: Option<Entry>) {
        self.base.node_unsure = false;
        let read = |entry: Entry| Some((entry.revision, super::read::<Node>(&entry)?));
        self.base.node = entry.and_then(read);
    }
}

/// Credits a renewal from when it was asked for: the store counts from when it
/// took the call, which was not earlier.
fn extend(term: &mut Option<Term>, lease: Lease, asked: Time, length: Span) {
    if let Some(term) = term.as_mut().filter(|term| term.lease == lease) {
        term.asked = term.asked.max(asked);
        term.end = term.end.max(asked + length);
    }
}
