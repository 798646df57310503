//! Membership through records in the store.
//!
//! Every node keeps a record of itself in the store, under a lease that it
//! renews, and watches the records of all other nodes. Nodes that use this
//! directory have no other discovery mechanism and do not gossip. When a node
//! dies, its peers notice the broken links at once and the expired lease later.
//!
//! A store outage must not look like the death of the whole fleet: leases may
//! expire while the store is unavailable, so that all records vanish at once. A
//! member whose record is gone is therefore kept for [`LAPSE_GRACE`], which gives a
//! live node time to register again. [`Change::Removed`] then says no more than that the
//! record is missing: it does not show that the member has stopped.
//!
//! Every client of the store can write below the same keys. A record that cannot be read
//! is not the absence of its member, and changes nothing. Records of a member are ordered
//! by incarnation, because a lost write may take effect after its node was replaced. A
//! living node replaces whatever another writer leaves under its name; where that claims a
//! higher incarnation, its own record refutes it, so that the lower one is accepted again.

mod departure;
mod listing;
mod registration;
mod repair;

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

pub use self::departure::{
    DEPARTURE_PREFIX,
    Inquiry, //
};
use self::{
    departure::Departures,
    repair::Repair, //
};
use crate::{
    announce::Departure,
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
    member::{
        Peer,
        Status, //
    },
    quota::bank,
    reported::Reported,
    store::{
        Answer,
        Call,
        Entry,
        Store, //
    },
};

/// Key prefix of all member records.
pub const RECORD_PREFIX: &str = "bluebellswitch/nodes/";

/// Lease duration of a record. It is longer than [`MEMBERSHIP_VALIDITY`], so that a
/// node that still considers itself a member is one in the view of all others.
pub const RECORD_TTL: Span = Span::from_secs(6);
/// Interval between lease renewals. Two consecutive renewals may be lost before
/// the lease expires.
const RENEWAL_INTERVAL: Span = Span::from_ms(2000);
/// How long a node considers itself a member after it sent its last successful
/// renewal.
pub const MEMBERSHIP_VALIDITY: Span = Span::from_secs(4);
/// How long a member is kept after its record has vanished. After a store
/// outage a live node has registered again within two seconds.
const LAPSE_GRACE: Span = Span::from_secs(4);
/// How long a watch call waits for changes. This bounds how long a dead
/// connection can hide changes.
const WATCH_TIMEOUT: Span = Span::from_ms(900);
/// Delay between an answer with changes and the next watch call. Nodes tend to
/// join and leave in groups: the delay collects such changes in one answer.
/// Without it every node would call the store again for each single change.
const WATCH_SETTLE_DELAY: Span = Span::from_ms(200);
/// First and longest delay between calls while the store does not answer.
const MIN_BACKOFF: Span = Span::from_ms(50);
const MAX_BACKOFF: Span = Span::from_ms(800);

/// How long a starting node waits for the record of its previous incarnation. A
/// slow store answers within 250 ms.
const PREVIOUS_RECORD_TIMEOUT: Span = Span::from_ms(300);

/// A change of the set of members.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member was added, or its record changed.
    Updated(Peer),
    /// A member was removed.
    Removed(Instance),
}

/// The purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Watches the records of the other members.
    Watch,
    /// Maintains this node's own record.
    Register,
    /// Maintains the departures of this node's upstream.
    Departure,
}

/// Schedules a series of store calls of which one at most is in flight.
#[derive(Clone, Copy, Debug)]
struct CallSchedule {
    in_flight: bool,
    sent_at: Time,
    next_at: Time,
    backoff: Span,
}

impl CallSchedule {
    const fn new() -> Self {
        Self {
            in_flight: false,
            sent_at: Time::ZERO,
            next_at: Time::ZERO,
            backoff: MIN_BACKOFF,
        }
    }

    fn due(&self) -> Time {
        match self.in_flight {
            true => Time::NEVER,
            false => self.next_at,
        }
    }

    /// Whether the last call failed.
    fn is_failing(&self) -> bool {
        self.backoff > MIN_BACKOFF
    }

    fn begin(&mut self, now: Time) {
        self.in_flight = true;
        self.sent_at = now;
    }

    fn succeed(&mut self, next: Time) {
        self.in_flight = false;
        self.next_at = next;
        self.backoff = MIN_BACKOFF;
    }

    fn fail(&mut self, now: Time) {
        self.in_flight = false;
        self.next_at = now + self.backoff;
        self.backoff = Span::from_ms(self.backoff.as_ms() * 2).min(MAX_BACKOFF);
    }
}

/// Since when all other nodes have considered this node a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberSince {
    /// Since before this process started: its first write replaced the record of
    /// its previous incarnation, which had not expired.
    BeforeStart,
    /// Since the record was written at this time.
    At(Time),
}

/// Maintains this node's own record.
#[derive(Clone, Debug)]
struct Registration {
    task: CallSchedule,
    lease: Option<Lease>,
    /// The revision that the first write of this process expects to replace; zero
    /// if there is no record. `None` once that write has taken effect.
    expected_revision: Option<Revision>,
    /// The record in the store, as far as this node knows.
    stored: Option<Peer>,
    /// The revision of that record.
    stored_revision: Revision,
    pending_write: Option<Peer>,
    confirmed_at: Option<Time>,
    member_since: Option<MemberSince>,
}

/// A node's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    #[serde(flatten)]
    peer: Peer,
    /// Incarnations of the instance above the record's own and up to this one do not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    refutes: Option<Incarnation>,
}

impl Record {
    /// Whether the record refutes what is known of its instance.
    fn refutes(&self, known: &Peer) -> bool {
        self.refutes
            .is_some_and(|refuted| known.incarnation <= refuted)
    }
}

/// An entry under a member's key that is no record of that member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRecord {
    /// The key.
    pub key: String,
    /// The revision of the entry.
    pub revision: Revision,
    /// Whether it was not returned before. An entry without a value is not new, as the
    /// node that read it has reported it.
    pub is_new: bool,
}

/// Watches the records of all members.
#[derive(Clone, Debug)]
struct Listing {
    me: Instance,
    task: CallSchedule,
    revision: Option<Revision>,
    members: BTreeMap<Instance, Peer>,
    /// The revisions of the members' records.
    revisions: BTreeMap<Instance, Revision>,
    lapsed_at: BTreeMap<Instance, Time>,
    /// For each recent member, the send time of the last watch call whose answer
    /// did not contain its record yet.
    joined_at: BTreeMap<Instance, Time>,
    /// Send time of the newest watch call that was answered.
    viewed_at: Option<Time>,
    /// Members whose record was overwritten by one of an earlier incarnation.
    overwritten: Vec<Instance>,
    /// The last entry under this node's own key, and the record in it if there is one.
    own: Option<(Revision, Option<Record>)>,
    invalid: Vec<InvalidRecord>,
    reported: Reported,
}

/// This node's registration and its view of the other members.
#[derive(Clone, Debug)]
pub struct Directory {
    me: Peer,
    registration: Registration,
    listing: Listing,
    departures: Departures,
    repair: Repair,
    /// The highest incarnation under this node's name that does not exist.
    refutes: Option<Incarnation>,
    leaving: bool,
}

impl Directory {
    /// Creates a directory that has no lease and no view of the members yet.
    pub fn new(me: Peer) -> Self {
        Self {
            registration: Registration {
                task: CallSchedule::new(),
                lease: None,
                expected_revision: Some(Revision::default()),
                stored: None,
                stored_revision: Revision::default(),
                pending_write: None,
                confirmed_at: None,
                member_since: None,
            },
            listing: Listing {
                me: me.instance.clone(),
                task: CallSchedule::new(),
                revision: None,
                members: BTreeMap::new(),
                revisions: BTreeMap::new(),
                lapsed_at: BTreeMap::new(),
                joined_at: BTreeMap::new(),
                viewed_at: None,
                overwritten: Vec::new(),
                own: None,
                invalid: Vec::new(),
                reported: Reported::default(),
            },
            departures: Departures::new(&me.instance),
            repair: Repair::new(),
            refutes: None,
            leaving: false,
            me,
        }
    }

    /// Replaces this node's own record.
    pub fn announce(&mut self, now: Time, me: Peer) {
        if self.me != me {
            self.me = me;
            self.schedule_registration(now);
        }
    }

    /// Removes this node's record permanently.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.schedule_registration(now);
    }

    /// Records a departure of the upstream that is about to be acknowledged.
    pub fn record_departure(&mut self, now: Time, departure: Departure) {
        self.departures.record(now, departure);
    }

    /// Handles an upstream that accepts requests, after a departure or without one.
    pub fn retract_departure(&mut self) {
        self.departures.retract();
    }

    /// Whether the store holds every departure that was recorded, as far as this node
    /// knows.
    pub fn has_stored_departure(&self) -> bool {
        self.departures.is_stored()
    }

    /// Whether every departure that was recorded outlives this process, as far as it knows:
    /// in the store, or at nodes that were told.
    pub fn holds_departure_elsewhere(&self) -> bool {
        self.departures.is_held()
    }

    /// Handles a report of a departure that other nodes were sent.
    pub fn record_departure_report(&mut self) {
        self.departures.handle_reported();
    }

    /// Returns the departure of which the other nodes are to be told now, because the
    /// store does not hold it yet.
    pub fn take_departure_report(&mut self, now: Time) -> Option<Departure> {
        self.departures.take_report(now)
    }

    /// Takes what the store says about departures that earlier processes of this node
    /// acknowledged, once it is known.
    pub fn take_inquiry(&mut self) -> Option<Inquiry> {
        self.departures.take_inquiry()
    }

    /// Whether this node has left and holds no lease in the store any more, as far
    /// as it knows.
    pub fn has_left(&self) -> bool {
        self.leaving && self.registration.lease.is_none()
    }

    fn schedule_registration(&mut self, now: Time) {
        let next = &mut self.registration.task.next_at;
        *next = (*next).min(now);
    }

    /// How long all other nodes have considered this node a member without
    /// interruption; `None` while one of them may not.
    ///
    /// A node that is killed and restarts before its lease expires finds the record
    /// of its previous incarnation and replaces it. The other nodes saw no gap, so
    /// they consider it a member from the start.
    pub fn membership_age(&self, now: Time) -> Option<Span> {
        let confirmed = self.registration.confirmed_at?;
        let member_since = self.registration.member_since?;
        (now.since(confirmed) <= MEMBERSHIP_VALIDITY && !self.leaving).then(|| match member_since {
            MemberSince::BeforeStart => Span::MAX,
            MemberSince::At(at) => now.since(at),
        })
    }

    /// Whether the members have been listed at least once.
    pub fn has_listing(&self) -> bool {
        self.listing.revision.is_some() || !self.listing.members.is_empty()
    }

    /// Whether a record of this member has been seen.
    pub fn has_member(&self, instance: &Instance) -> bool {
        self.listing.members.contains_key(instance)
    }

    /// Whether some members have no record at the moment.
    pub fn has_lapsed(&self) -> bool {
        !self.listing.lapsed_at.is_empty()
    }

    /// Whether a member has no record at the moment, and its grace period is not over.
    pub fn is_lapsed(&self, instance: &Instance) -> bool {
        self.listing.lapsed_at.contains_key(instance)
    }

    /// The members without a record whose grace period is not over.
    pub fn lapsed(&self) -> impl Iterator<Item = &Instance> {
        self.listing.lapsed_at.keys()
    }

    /// Until when this node may mint rate tokens: as long as its own record and its
    /// view of all other members are certain. A time in the past if it may not.
    pub fn minting_until(&self, now: Time) -> Time {
        let is_established = self
            .membership_age(now)
            .is_some_and(|span| span >= bank::JOIN_DELAY);
        match (self.registration.confirmed_at, self.listing.viewed_at) {
            (Some(confirmed), Some(viewed)) if is_established => {
                // A newcomer that is not a token server yet may start minting then.
                let newcomers = self
                    .newcomer_join_times(now)
                    .map(|at| at + bank::JOIN_DELAY);
                let until = (confirmed + MEMBERSHIP_VALIDITY).min(viewed + bank::MAX_VIEW_AGE);
                newcomers.fold(until, Time::min)
            }
            _ => Time::ZERO,
        }
    }

    /// The join times of members that are too recent to be token servers.
    fn newcomer_join_times(&self, now: Time) -> impl Iterator<Item = Time> {
        let joined = self.listing.joined_at.values().copied();
        joined.filter(move |at| now < *at + bank::MAX_VIEW_AGE)
    }

    /// The members among which token servers are chosen, by name: those whose
    /// record is in the store and has been there long enough for them to mint.
    ///
    /// A newcomer does not mint before [`bank::JOIN_DELAY`]; choosing it as a server
    /// earlier would leave its share of each rate unused. A node whose record has
    /// lapsed mints nothing, although it stays a member for [`LAPSE_GRACE`].
    pub fn token_server_candidates(&self, now: Time) -> Vec<&Peer> {
        let listing = &self.listing;
        let me = &self.me.instance;
        let is_established = self
            .membership_age(now)
            .is_some_and(|span| span >= bank::JOIN_DELAY);
        let is_candidate = |name: &Instance| match name == me {
            true => is_established,
            false => {
                let joined = listing.joined_at.get(name);
                let is_new = joined.is_some_and(|at| now < *at + bank::MAX_VIEW_AGE);
                !is_new && !listing.lapsed_at.contains_key(name)
            }
        };
        let members = listing.members.iter();
        let candidates = members.filter(|(name, _)| is_candidate(name));
        candidates.map(|(_, peer)| peer).collect()
    }

    /// The time at which [`Directory::tick`] is to be called next.
    pub fn due(&self) -> Time {
        let lapsed_at = self.listing.lapsed_at.values().min();
        let grace_end = lapsed_at.map_or(Time::NEVER, |at| *at + LAPSE_GRACE);
        let calls = self.registration.task.due().min(self.listing.task.due());
        let calls = calls.min(self.departures.due());
        // A write in flight may be older than the entry that is to be replaced.
        let repair = match self.registration.task.in_flight {
            true => Time::NEVER,
            false => self.repair.due(),
        };
        calls.min(grace_end).min(repair)
    }

    /// Takes the entries seen since the last call that are no records of members.
    pub fn take_invalid(&mut self) -> Vec<InvalidRecord> {
        std::mem::take(&mut self.listing.invalid)
    }

    /// Adds the store calls that are due to `calls`, and returns the members whose
    /// grace period is over.
    pub fn tick(&mut self, now: Time, calls: &mut Vec<(Purpose, Call)>) -> Vec<Change> {
        let may_repair = !self.registration.task.in_flight && !self.is_leaving();
        if may_repair && self.repair.take_due(now) {
            self.registration.stored = None;
            self.schedule_registration(now);
        }
        if self.registration.task.due() <= now {
            match self.next_registration_call(now) {
                Some(call) => {
                    self.registration.task.begin(now);
                    calls.push((Purpose::Register, call));
                }
                None => self.registration.task.next_at = now + RENEWAL_INTERVAL,
            }
        }
        if let Some(call) = self.departures.next_call(now) {
            calls.push((Purpose::Departure, call));
        }
        if self.listing.task.due() <= now && !self.leaving {
            self.listing.task.begin(now);
            calls.push((
                Purpose::Watch,
                watch_call(self.listing.revision, WATCH_TIMEOUT),
            ));
        }
        self.listing.remove_expired(now)
    }

    fn next_registration_call(&mut self, now: Time) -> Option<Call> {
        // A successor may exist once this node leaves, so it refutes nothing.
        let refutes = self.refutes.filter(|_| !self.is_leaving());
        let registration = &mut self.registration;
        let lapsed = registration
            .confirmed_at
            .is_some_and(|at| now.since(at) > RECORD_TTL);
        if lapsed {
            registration.member_since = None;
        }
        if self.leaving {
            return registration.lease.map(|lease| Call::Revoke { lease });
        }
        let Some(lease) = registration.lease else {
            return Some(Call::Grant { ttl: RECORD_TTL });
        };
        // While the store rejects calls, retry with the cheapest call to detect when
        // it recovers.
        let is_stored = registration.stored.as_ref() == Some(&self.me);
        let has_written = registration.expected_revision.is_none();
        if is_stored || (has_written && registration.task.is_failing()) {
            return Some(Call::Renew { lease });
        }
        let record = Record {
            peer: self.me.clone(),
            refutes,
        };
        let value = serde_json::to_string(&record).ok()?;
        registration.pending_write = Some(self.me.clone());
        let key = record_key(&self.me.instance);
        let lease = Some(lease);
        Some(match registration.expected_revision {
            Some(expect) => Call::Swap {
                key,
                expect,
                value: Some(value),
                lease,
                unless: self.departures.expected_absent().map(str::to_owned),
            },
            None => Call::Put { key, value, lease },
        })
    }

    /// Handles an answer of the store, and returns the changes to the members.
    pub fn handle_answer(&mut self, now: Time, purpose: Purpose, answer: Answer) -> Vec<Change> {
        match purpose {
            Purpose::Register => {
                self.inquire(now, &answer);
                let refuted = self.registration.handle_answer(now, answer, self.leaving);
                self.refutes = self.refutes.max(refuted);
                // This process writes without knowing what it replaces.
                if self.registration.expected_revision.is_none() {
                    self.departures.read_entry(now);
                }
                let stored = self.registration.stored.as_ref();
                if !self.registration.task.is_failing()
                    && stored.is_some_and(|stored| *stored != self.me)
                {
                    self.schedule_registration(now);
                }
                Vec::new()
            }
            Purpose::Watch => {
                let changes = self.listing.handle_answer(now, answer);
                self.check_own_record(now);
                changes
            }
            Purpose::Departure => {
                self.departures.handle_answer(now, answer);
                Vec::new()
            }
        }
    }

    /// Learns from an answer about this node's record whether an earlier process has
    /// acknowledged a departure.
    fn inquire(&mut self, now: Time, answer: &Answer) {
        let Some(expected) = self.registration.expected_revision else {
            return;
        };
        match answer {
            Answer::Swapped(_) => self.departures.handle_absent(),
            // The record is as expected, so the departure is not.
            Answer::Conflict(present)
                if present.as_ref().map_or(Revision::default(), |e| e.revision) == expected =>
            {
                self.departures.read_entry(now);
            }
            Answer::Lost => self.departures.handle_lost(),
            _ => {}
        }
    }

    /// Handles a store answer that another node passed on. At `confirmed_at` the
    /// answer was certainly correct.
    pub fn handle_relayed(&mut self, now: Time, confirmed_at: Time, answer: Answer) -> Vec<Change> {
        self.listing.task.sent_at = confirmed_at;
        self.handle_answer(now, Purpose::Watch, answer)
    }

    /// Handles the answer to a call about the members that was made beside the watch, at
    /// `sent`.
    pub fn handle_extra(&mut self, now: Time, sent: Time, answer: Answer) -> Vec<Change> {
        let changes = self.listing.apply(now, sent, answer);
        self.check_own_record(now);
        changes
    }

    /// Brings the next call of the registration forward, to learn whether the store
    /// answers.
    pub fn probe_store(&mut self, now: Time) {
        self.schedule_registration(now);
    }

    /// Writes this node's record again if the other nodes no longer see it: a lost
    /// write of an earlier incarnation may have taken effect late and overwritten
    /// it, or the lease may have expired.
    fn check_own_record(&mut self, now: Time) {
        let me = &self.me.instance;
        let overwritten = std::mem::take(&mut self.listing.overwritten);
        let overwritten = overwritten.contains(me);
        let lapsed = self.listing.lapsed_at.contains_key(me);
        if (overwritten || lapsed) && self.registration.stored.is_some() {
            self.registration.stored = None;
            self.schedule_registration(now);
        }
        let own = self.listing.own.take();
        if let Some((revision, record)) = own
            && !self.is_leaving()
            && self.is_foreign(now, revision, record.as_ref())
        {
            self.repair.request(now);
        }
    }

    /// Whether an entry under this node's key is to be replaced, because this process did
    /// not write it. If it claims a higher incarnation, that is refuted from now on.
    fn is_foreign(&mut self, now: Time, revision: Revision, record: Option<&Record>) -> bool {
        let registration = &self.registration;
        let is_registered = registration.expected_revision.is_none();
        let is_outdated =
            revision != Revision::default() && revision <= registration.stored_revision;
        if !is_registered || is_outdated {
            return false;
        }
        let Some(record) = record else {
            return true;
        };
        let peer = &record.peer;
        if peer.incarnation <= self.me.incarnation {
            let written = [&registration.stored, &registration.pending_write];
            let is_own = *peer == self.me || written.into_iter().flatten().any(|own| own == peer);
            return !is_own;
        }
        // This process listens at its address, so no living node has the same.
        let is_contested = peer.link == self.me.link || self.repair.contest(now, peer.incarnation);
        if is_contested {
            self.refutes = self.refutes.max(Some(peer.incarnation));
        }
        is_contested
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.me.status == Status::Leaving
    }
}

/// The incarnation in the store's record of an instance; `None` if there is no
/// record, or no answer of the store within [`PREVIOUS_RECORD_TIMEOUT`]. The record may
/// be some seconds old, which matters only if the clock went backwards in these too.
///
/// Guards against a wall clock that goes backwards between two incarnations of a
/// node. The new incarnation would then be the lower one: the other nodes would
/// take its record for an outdated one and address every request to the old
/// incarnation, so the instance would get no work until its clock had passed the
/// old value.
pub async fn previous_incarnation(store: &dyn Store, instance: &Instance) -> Option<Incarnation> {
    let key = record_key(instance);
    let asked = store.call(Call::Peek { key });
    let answer = tokio::time::timeout(PREVIOUS_RECORD_TIMEOUT.to_std(), asked).await;
    let Ok(Answer::Value(Some(entry))) = answer else {
        return None;
    };
    parse_record(&entry).map(|record| record.peer.incarnation)
}

/// The store call that waits for changes to the records after a revision.
pub fn watch_call(after: Option<Revision>, wait: Span) -> Call {
    Call::changes(RECORD_PREFIX, after, wait)
}

fn record_key(instance: &Instance) -> String {
    format!("{RECORD_PREFIX}{instance}")
}

/// Parses a record; `None` if it is malformed, its key does not match the instance that it
/// describes, or it says what no node says of itself.
fn parse_record(entry: &Entry) -> Option<Record> {
    let record: Record = serde_json::from_str(&entry.value).ok()?;
    let name = entry.key.strip_prefix(RECORD_PREFIX)?;
    let is_valid = record.peer.instance.as_str() == name && is_self_description(&record.peer);
    is_valid.then_some(record)
}

/// Whether a node may say this of itself.
pub(crate) fn is_self_description(peer: &Peer) -> bool {
    peer.link.port() != 0
        && peer.datagram.port() != 0
        && matches!(peer.status, Status::Alive | Status::Leaving)
}
