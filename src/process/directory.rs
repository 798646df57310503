//! The nodes of the fleet, as the store lists them.
//!
//! Every node keeps a record of itself in the store, under a lease that it
//! renews, and follows the records of the others. Nothing else makes nodes find
//! each other, and nobody gossips: a node that dies is noticed by its links at
//! once and by its lease later.
//!
//! Guards against taking an outage of the store for the death of the fleet:
//! leases may lapse while the store is away, so that all records vanish at
//! once. A member whose record is gone stays for [`GRACE`], in which a living
//! one enters itself again.

mod listing;
mod registration;

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Incarnation,
        Instance,
        Lease,
        Revision, //
    },
    member::Peer,
    quota::bank,
    store::{
        Answer,
        Call,
        Store, //
    },
};

/// How the names of all records begin.
pub const RECORD_PREFIX: &str = "bluebellswitch/nodes/";

/// How long a record outlives its last renewal. Longer than
/// [`CONFIRMED`], so that whoever still counts itself a member is one for all.
pub const TTL: Span = Span::from_secs(6);
/// The time between two renewals. Two may be lost before anything lapses.
const RENEWAL: Span = Span::from_ms(2000);
/// How long after a renewal was sent its node still counts itself a member.
pub const CONFIRMED: Span = Span::from_secs(4);
/// How long a member stays whose record is gone: after an outage of the store
/// a living one is back within two seconds.
const GRACE: Span = Span::from_secs(4);
/// How long a question waits for changes. It bounds how long a silent
/// connection can hide them.
const WAIT: Span = Span::from_ms(900);
/// The time after changes before the next question. Nodes come and go together:
/// what changes meanwhile comes with one answer, where every node would else ask
/// again for each single change.
const SETTLE: Span = Span::from_ms(200);
/// The time between two calls while the store does not answer.
const FIRST_PAUSE: Span = Span::from_ms(50);
const LONGEST_PAUSE: Span = Span::from_ms(800);

/// How long a node that begins waits for the record of its former life. A store
/// that is slow answers within a quarter of a second.
const FORMER: Span = Span::from_ms(300);

/// What changed among the members.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member is there, or has changed.
    Updated(Peer),
    /// A member is gone.
    Removed(Instance),
}

/// What a call to the store was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To learn of the others.
    Watch,
    /// To keep the own record.
    Register,
}

/// A task that calls the store, one call at a time.
#[derive(Clone, Copy, Debug)]
struct Task {
    open: bool,
    sent: Time,
    next: Time,
    pause: Span,
}

impl Task {
    const fn new() -> Self {
        Self {
            open: false,
            sent: Time::ZERO,
            next: Time::ZERO,
            pause: FIRST_PAUSE,
        }
    }

    fn due(&self) -> Time {
        match self.open {
            true => Time::NEVER,
            false => self.next,
        }
    }

    /// Whether the last call failed.
    fn is_failing(&self) -> bool {
        self.pause > FIRST_PAUSE
    }

    fn begin(&mut self, now: Time) {
        self.open = true;
        self.sent = now;
    }

    fn succeed(&mut self, next: Time) {
        self.open = false;
        self.next = next;
        self.pause = FIRST_PAUSE;
    }

    fn fail(&mut self, now: Time) {
        self.open = false;
        self.next = now + self.pause;
        self.pause = Span::from_ms(self.pause.as_ms() * 2).min(LONGEST_PAUSE);
    }
}

/// Since when all others have counted this node as a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counted {
    /// Since before this life began: its first write replaced the record of the
    /// life before, which had not lapsed.
    Always,
    /// Since the record was written.
    Since(Time),
}

/// What keeps the own record.
#[derive(Clone, Debug)]
struct Registration {
    task: Task,
    lease: Option<Lease>,
    /// The revision of the record that the first write of this life replaces;
    /// zero for none. Nothing once that write has taken effect.
    former: Option<Revision>,
    /// The record as the store has it, as far as this node knows.
    written: Option<Peer>,
    writing: Option<Peer>,
    confirmed: Option<Time>,
    counted: Option<Counted>,
}

/// What follows the others' records.
#[derive(Clone, Debug)]
struct Listing {
    task: Task,
    after: Option<Revision>,
    members: BTreeMap<Instance, Peer>,
    lapsed: BTreeMap<Instance, Time>,
    /// When the question was sent whose answer last showed that a newcomer had no
    /// record yet.
    joined: BTreeMap<Instance, Time>,
    /// When the newest question was sent that was answered.
    viewed: Option<Time>,
    /// Members whose record was overwritten by one of an earlier life.
    overwritten: Vec<Instance>,
}

/// This node's part in the listing.
#[derive(Clone, Debug)]
pub struct Directory {
    me: Peer,
    registration: Registration,
    listing: Listing,
    leaving: bool,
}

impl Directory {
    /// A directory that knows only this node.
    pub fn new(me: Peer) -> Self {
        Self {
            me,
            registration: Registration {
                task: Task::new(),
                lease: None,
                former: Some(Revision::default()),
                written: None,
                writing: None,
                confirmed: None,
                counted: None,
            },
            listing: Listing {
                task: Task::new(),
                after: None,
                members: BTreeMap::new(),
                lapsed: BTreeMap::new(),
                joined: BTreeMap::new(),
                viewed: None,
                overwritten: Vec::new(),
            },
            leaving: false,
        }
    }

    /// Changes what this node says of itself.
    pub fn announce(&mut self, now: Time, me: Peer) {
        if self.me != me {
            self.me = me;
            self.hurry(now);
        }
    }

    /// Takes this node out of the listing for good.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.hurry(now);
    }

    /// Whether nothing of this node is in the store any more, as far as it can
    /// tell.
    pub fn has_left(&self) -> bool {
        self.leaving && self.registration.lease.is_none()
    }

    fn hurry(&mut self, now: Time) {
        let next = &mut self.registration.task.next;
        *next = (*next).min(now);
    }

    /// How long all others have counted this node as a member, without a break;
    /// nothing while one of them may not.
    ///
    /// A node that is killed and comes back within the time of its lease finds
    /// the record of its former life and replaces it. The others saw no gap in
    /// between, so they count it from its first moment on.
    pub fn membership_age(&self, now: Time) -> Option<Span> {
        let confirmed = self.registration.confirmed?;
        let counted = self.registration.counted?;
        (now.since(confirmed) <= CONFIRMED && !self.leaving).then(|| match counted {
            Counted::Always => Span::MAX,
            Counted::Since(at) => now.since(at),
        })
    }

    /// Whether the others have been listed at least once.
    pub fn has_listing(&self) -> bool {
        self.listing.after.is_some() || !self.listing.members.is_empty()
    }

    /// Until when this node may mint tokens of rates: while its record and its view
    /// of all others are certain. In the past when it may not.
    pub fn minting_until(&self, now: Time) -> Time {
        let joined = self
            .membership_age(now)
            .is_some_and(|span| span >= bank::JOIN_DELAY);
        match (self.registration.confirmed, self.listing.viewed) {
            (Some(confirmed), Some(viewed)) if joined => {
                // Until a newcomer that is not counted yet may begin to mint.
                let newcomers = self.newcomers(now).map(|at| at + bank::JOIN_DELAY);
                let until = (confirmed + CONFIRMED).min(viewed + bank::MAX_VIEW_AGE);
                newcomers.fold(until, Time::min)
            }
            _ => Time::ZERO,
        }
    }

    /// When those began that are not counted yet.
    fn newcomers(&self, now: Time) -> impl Iterator<Item = Time> {
        let joined = self.listing.joined.values().copied();
        joined.filter(move |at| now < *at + bank::MAX_VIEW_AGE)
    }

    /// The nodes among which token servers are chosen, by name: those whose record
    /// is in the store, and has been for so long that they may mint.
    ///
    /// A newcomer does not mint before [`bank::JOIN_DELAY`]; taking it for a server
    /// earlier would leave its part of each rate to nobody. A node whose record has
    /// lapsed mints nothing, although it stays a member for [`GRACE`].
    pub fn token_server_candidates(&self, now: Time) -> Vec<&Peer> {
        let listing = &self.listing;
        let me = &self.me.instance;
        let joined = self
            .membership_age(now)
            .is_some_and(|span| span >= bank::JOIN_DELAY);
        let is_counted = |name: &Instance| match name == me {
            true => joined,
            false => {
                let joined = listing.joined.get(name);
                let is_new = joined.is_some_and(|at| now < *at + bank::MAX_VIEW_AGE);
                !is_new && !listing.lapsed.contains_key(name)
            }
        };
        let members = listing.members.iter();
        let counted = members.filter(|(name, _)| is_counted(name));
        counted.map(|(_, peer)| peer).collect()
    }

    /// When it has something to do.
    pub fn due(&self) -> Time {
        let grace = self.listing.lapsed.values().min();
        let grace = grace.map_or(Time::NEVER, |at| *at + GRACE);
        let calls = self.registration.task.due().min(self.listing.task.due());
        calls.min(grace)
    }

    /// Adds the calls that are due, and the members whose time is over.
    pub fn tick(&mut self, now: Time, calls: &mut Vec<(Purpose, Call)>) -> Vec<Change> {
        if self.registration.task.due() <= now {
            match self.register(now) {
                Some(call) => {
                    self.registration.task.begin(now);
                    calls.push((Purpose::Register, call));
                }
                None => self.registration.task.next = now + RENEWAL,
            }
        }
        if self.listing.task.due() <= now && !self.leaving {
            self.listing.task.begin(now);
            calls.push((Purpose::Watch, watch_call(self.listing.after)));
        }
        self.listing.bury(now)
    }

    fn register(&mut self, now: Time) -> Option<Call> {
        let registration = &mut self.registration;
        let lapsed = registration.confirmed.is_some_and(|at| now.since(at) > TTL);
        if lapsed {
            registration.counted = None;
        }
        if self.leaving {
            return registration.lease.map(|lease| Call::Revoke { lease });
        }
        let Some(lease) = registration.lease else {
            return Some(Call::Grant { ttl: TTL });
        };
        // While the store turns calls away, the cheapest one finds out when it stops.
        let written = registration.written.as_ref() == Some(&self.me);
        let entered = registration.former.is_none();
        if written || (entered && registration.task.is_failing()) {
            return Some(Call::Renew { lease });
        }
        let value = serde_json::to_string(&self.me).ok()?;
        registration.writing = Some(self.me.clone());
        let key = record_key(&self.me.instance);
        let lease = Some(lease);
        Some(match registration.former {
            Some(expect) => Call::Swap {
                key,
                expect,
                value: Some(value),
                lease,
            },
            None => Call::Put { key, value, lease },
        })
    }

    /// Takes an answer, and tells what changed.
    pub fn handle_answer(&mut self, now: Time, purpose: Purpose, answer: Answer) -> Vec<Change> {
        match purpose {
            Purpose::Register => {
                self.registration.handle_answer(now, answer, self.leaving);
                let written = self.registration.written.as_ref();
                if !self.registration.task.is_failing() && written.is_some_and(|w| *w != self.me) {
                    self.hurry(now);
                }
                Vec::new()
            }
            Purpose::Watch => {
                let changes = self.listing.handle_answer(now, answer);
                self.check_own(now);
                changes
            }
        }
    }

    /// Takes what another node says that the store would have answered, and when
    /// that was certainly so.
    pub fn handle_relayed(&mut self, now: Time, confirmed: Time, answer: Answer) -> Vec<Change> {
        self.listing.task.sent = confirmed;
        self.handle_answer(now, Purpose::Watch, answer)
    }

    /// The own record is there for the others. A lost write of an earlier life
    /// may take effect late, over this life's record, or the lease may have
    /// lapsed: then it is written anew.
    fn check_own(&mut self, now: Time) {
        let me = &self.me.instance;
        let overwritten = std::mem::take(&mut self.listing.overwritten);
        let overwritten = overwritten.contains(me);
        let lapsed = self.listing.lapsed.contains_key(me);
        if (overwritten || lapsed) && self.registration.written.is_some() {
            self.registration.written = None;
            self.hurry(now);
        }
    }
}

/// The life of an instance that its record in the store speaks of; none when
/// there is no record, or no word of the store within [`FORMER`].
///
/// Guards against a time of day that goes back between two lives of a node. Its
/// new life would then be the lower one: the others would take its record for an
/// old one, address every request to the life that is gone, and the instance
/// would get no work until its clock had passed the old place.
pub async fn previous_incarnation(store: &dyn Store, instance: &Instance) -> Option<Incarnation> {
    let key = record_key(instance);
    let asked = store.call(Call::Get { key });
    let answer = tokio::time::timeout(FORMER.to_std(), asked).await;
    let Ok(Answer::Value(Some(entry))) = answer else {
        return None;
    };
    peer(&entry.key, &entry.value).map(|peer| peer.incarnation)
}

/// The question to the store for what has changed since a revision.
pub fn watch_call(after: Option<Revision>) -> Call {
    Call::changes(RECORD_PREFIX, after, WAIT)
}

fn record_key(instance: &Instance) -> String {
    format!("{RECORD_PREFIX}{instance}")
}

/// A record, if it can be read and stands under its own name.
fn peer(key: &str, value: &str) -> Option<Peer> {
    let peer: Peer = serde_json::from_str(value).ok()?;
    let name = key.strip_prefix(RECORD_PREFIX)?;
    (peer.instance.as_str() == name).then_some(peer)
}
