//! Exclusive ownership of named resources ("seats"), kept as leases in the
//! store.
//!
//! A seat is held by at most one node at a time. Its owner is written to the
//! store by compare-and-swap and holds the seat while the node's short lease is
//! alive. One renewal covers all seats of a node, so store calls grow neither
//! with the number of teams nor with the number of records. While the store is
//! unreachable, an owner may keep its seats on promises from the one successor
//! that it named in the store; only that successor may take the seats over
//! meanwhile. docs/design/leases.md argues why two nodes never hold the same
//! seat at the same time.

mod base;
mod claim;
mod pair;
mod ward;

use std::{
    collections::BTreeMap,
    fmt, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde::{
    Deserialize,
    Serialize, //
};

use self::{
    base::OwnLeases,
    claim::Claims,
    pair::SuccessorState,
    ward::OwnerState, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    error::{
        Code,
        Error, //
    },
    id::{
        Incarnation,
        Instance,
        Lease,
        Revision, //
    },
    member::{
        Peer,
        Status,
        Table, //
    },
    store::{
        Answer,
        Call, //
    },
};

/// The name of a resource that one node owns at a time, such as `quota/3`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seat(pub String);

/// The fencing number of a seat's ownership. It strictly increases with each
/// new owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u64", into = "u64")]
pub struct Epoch(pub u64);

impl TryFrom<u64> for Epoch {
    type Error = Error;

    /// Refuses a number above [`Epoch::MAX`].
    fn try_from(number: u64) -> Result<Self, Error> {
        let epoch = Self(number);
        match epoch <= Self::MAX {
            true => Ok(epoch),
            false => Err(Error::new(
                Code::StoreData,
                format!("the epoch {number} is above {}", Self::MAX.0),
            )),
        }
    }
}

impl From<Epoch> for u64 {
    fn from(epoch: Epoch) -> Self {
        epoch.0
    }
}

impl Epoch {
    /// The highest epoch that is read and written.
    pub const MAX: Self = Self(1 << 62);

    /// The epoch of a successor that takes over without the store.
    fn after_takeover(self) -> Option<Self> {
        self.0.checked_add(1).map(Self).filter(|e| *e <= Self::MAX)
    }

    /// The epoch of a new owner that the store names.
    fn after_claim(self) -> Option<Self> {
        self.0.checked_add(2).map(Self).filter(|e| *e <= Self::MAX)
    }

    /// Whether this epoch comes directly after `other`. A successor that takes
    /// over without the store increments the epoch by one, every other new
    /// owner by two, so that the two never use the same number.
    pub fn directly_follows(self, other: Self) -> bool {
        self.0 > other.0 && self.0 <= other.0.saturating_add(2)
    }
}

/// Ownership of a seat that is valid now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The epoch of this ownership.
    pub epoch: Epoch,
    /// When this node acquired the seat.
    pub since: Time,
    /// When the ownership expires unless it is renewed.
    pub until: Time,
    /// The previous epoch, if this node held the seat under it without
    /// interruption.
    pub continued_epoch: Option<Epoch>,
}

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLife {
    /// The node's instance name.
    pub instance: Instance,
    /// The incarnation, which changes on restart.
    pub life: Incarnation,
}

/// The record of a seat in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeatRecord {
    owner: NodeLife,
    epoch: Epoch,
    /// Identifies this node's own write when the answer to it was lost.
    #[serde(rename = "claim")]
    write_id: u64,
}

/// The record, in the store, of a node that may own seats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct NodeRecord {
    successor: Option<Instance>,
    /// The long lease that the record is attached to.
    lease: Lease,
}

/// Messages between an owner and its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The owner asks its successor for a new promise.
    Extend(Extend),
    /// The successor's answer.
    #[serde(rename = "Accord")]
    Reply(ExtendReply),
}

/// What the validity of an owner's seats depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Its short lease.
    #[serde(rename = "Calm")]
    Normal,
    /// Its short lease, but no longer than its successor's promises.
    Bound,
    /// Its successor's promises alone.
    Frozen,
    /// Promises, but the owner has a short lease again and asks to return to
    /// it.
    Thawing,
    /// Nothing: the owner has released all its seats.
    #[serde(rename = "Over")]
    Released,
}

/// An owner's request that its successor promise not to take its seats for a
/// while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extend {
    /// The node that owns the seats.
    pub owner: NodeLife,
    /// Counts the owner's requests; the successor ignores older ones.
    pub sequence: u64,
    /// What the owner's seats depend on.
    pub state: State,
    /// Upper bound of the time left on the owner's short lease.
    #[serde(rename = "short")]
    pub short_left: Span,
    /// Lower bound of the time left on the owner's long lease, counted from
    /// `echoed_clock`.
    #[serde(rename = "long")]
    pub long_left: Span,
    /// The successor's own clock reading, as its last answer carried it.
    #[serde(rename = "heard")]
    pub echoed_clock: Option<u64>,
    /// The seats that the owner holds.
    pub seats: Vec<(Seat, Epoch)>,
}

/// Whether a successor has promised not to take an owner's seats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromiseStatus {
    /// It takes no seats until the promise expires.
    Promise,
    /// It promises nothing, and has not taken over without the store.
    #[serde(rename = "Bare")]
    NoPromise,
    /// It has taken over the seats without the store.
    #[serde(rename = "Taken")]
    TakenOver,
}

/// A successor's answer to an [`Extend`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExtendReply {
    /// The successor.
    pub from: Instance,
    /// The owner's incarnation that asked.
    pub life: Incarnation,
    /// The request that this answers.
    pub sequence: u64,
    /// The owner's state in that request.
    pub state: State,
    /// Whether the successor promises.
    #[serde(rename = "standing")]
    pub promise_status: PromiseStatus,
    /// The successor's clock reading.
    pub clock: u64,
}

/// Lease durations, and whether owners name a successor.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// TTL of the short lease. After a crash the seats stay unavailable for
    /// this long to every node but the successor.
    pub short_ttl: Span,
    /// Time between renewals of the short lease.
    pub renew_interval: Span,
    /// TTL of the long lease: how long an owner and its successor can go on
    /// without the store.
    pub long_ttl: Span,
    /// How long a successor may hold seats that it took over without the store,
    /// and how long the owner waits for a successor that is silent.
    pub takeover_limit: Span,
    /// How long a promise of the successor lasts.
    pub promise_ttl: Span,
    /// Subtracted from every lease, because clocks may run at different rates.
    pub clock_margin: Span,
    /// Whether owners name a successor at all.
    pub name_successor: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            short_ttl: Span::from_secs(15),
            renew_interval: Span::from_secs(5),
            long_ttl: Span::from_secs(4 * 3600),
            takeover_limit: Span::from_secs(15 * 60),
            promise_ttl: Span::from_ms(1500),
            clock_margin: Span::from_ms(100),
            name_successor: true,
        }
    }
}

/// What the caller of [`SeatManager`] has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the store and pass the answer to [`SeatManager::answer`] with the
    /// same number.
    Store(u64, Call),
    /// Send a message to another node.
    Send(Instance, Message),
}

#[derive(Clone, Debug)]
enum Purpose {
    OwnLeases(base::Step),
    Claim(claim::Step),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Basis {
    /// Written to the store under this short lease.
    ShortLease(Lease),
    /// Taken over without the store, valid until this time at most.
    Takeover(Time),
}

#[derive(Clone, Debug)]
struct HeldSeat {
    epoch: Epoch,
    since: Time,
    basis: Basis,
    /// Upper bound of the seat's validity: the end of a takeover until the
    /// store is known to name this node, or the end of a former successor's
    /// last promise.
    expiry_cap: Time,
    continued_epoch: Option<Epoch>,
}

/// The seats of one node, and its role as successor of other owners.
#[derive(Debug)]
pub struct SeatManager {
    local: NodeLife,
    options: Options,
    started_at: Option<Time>,
    last_tick: Time,
    rng: ChaCha8Rng,
    own_leases: OwnLeases,
    successor_state: Option<SuccessorState>,
    owners: BTreeMap<NodeLife, OwnerState>,
    claims: Claims,
    held: BTreeMap<Seat, HeldSeat>,
    owner_hints: BTreeMap<Seat, Instance>,
    pending_calls: BTreeMap<u64, (Time, Purpose)>,
    last_call: u64,
    draining: bool,
    /// The seats held when [`SeatManager::drain`] released everything.
    released_seats: Vec<(Seat, Epoch)>,
    /// Nodes that were silent as successors, and until when they are not named
    /// again.
    avoided_successors: BTreeMap<Instance, Time>,
}

impl fmt::Display for Seat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl SeatManager {
    /// A manager that holds no seats.
    pub fn new(instance: Instance, life: Incarnation, seed: u64) -> Self {
        Self {
            local: NodeLife { instance, life },
            options: Options::default(),
            started_at: None,
            last_tick: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            own_leases: OwnLeases::default(),
            successor_state: None,
            owners: BTreeMap::new(),
            claims: Claims::default(),
            held: BTreeMap::new(),
            owner_hints: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            last_call: 0,
            draining: false,
            released_seats: Vec::new(),
            avoided_successors: BTreeMap::new(),
        }
    }

    /// Replaces the options. Call it before the first tick.
    pub fn configure(&mut self, options: Options) {
        self.options = options;
    }

    /// The ownership of a seat, if this node holds it now. Call this
    /// immediately before each use: it is how a node that was paused learns
    /// that its ownership has expired.
    pub fn ownership(&self, now: Time, seat: &Seat) -> Option<Ownership> {
        let held = self.held.get(seat)?;
        let until = self.valid_until(held).min(held.expiry_cap);
        (now < until).then_some(Ownership {
            epoch: held.epoch,
            since: held.since,
            until,
            continued_epoch: held.continued_epoch,
        })
    }

    /// Seats that this node holds now.
    pub fn seats(&self, now: Time) -> Vec<Seat> {
        let holds = |seat: &&Seat| self.ownership(now, seat).is_some();
        self.held.keys().filter(holds).cloned().collect()
    }

    /// The last known owner of a seat.
    pub fn owner(&self, seat: &Seat) -> Option<&Instance> {
        match self.held.contains_key(seat) {
            true => Some(&self.local.instance),
            false => self.owner_hints.get(seat),
        }
    }

    /// Records which node owns a seat.
    pub fn set_owner_hint(&mut self, seat: Seat, owner: Instance) {
        self.owner_hints.insert(seat, owner);
    }

    /// Whether the seats depend on the successor's promises alone.
    pub fn is_frozen(&self) -> bool {
        self.successor_state
            .as_ref()
            .is_some_and(|successor| successor.frozen)
    }

    /// Performs all work that is due. `wanted` lists the seats that this node
    /// should try to own, `successors` the nodes it may name as successor, best
    /// first.
    pub fn tick(
        &mut self,
        now: Time,
        members: &Table,
        wanted: &[Seat],
        successors: &[Instance],
        out: &mut Vec<Action>,
    ) {
        self.started_at.get_or_insert(now);
        // After a pause, gives the store a moment to answer before treating it
        // as silent.
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.own_leases.note_resumed(now);
        }
        self.last_tick = now;
        self.drop_expired(now);
        let asked = self.claims.has_reports() || !self.owners.is_empty();
        let needed = asked || !wanted.is_empty() || !self.held.is_empty();
        if needed && !is_minority(members) {
            let successor = self.choose_successor(now, successors);
            self.own_leases_tick(now, successor, out);
        }
        self.successor_tick(now, out);
        self.owners_tick(now);
        if !is_minority(members) {
            self.claims_tick(now, members, wanted, out);
        }
    }

    /// Handles the store's answer to a call.
    pub fn answer(&mut self, now: Time, number: u64, answer: Answer, out: &mut Vec<Action>) {
        let Some((asked, purpose)) = self.pending_calls.remove(&number) else {
            return;
        };
        if answer != Answer::Lost {
            self.own_leases.note_answer(asked);
        }
        match purpose {
            Purpose::OwnLeases(step) => self.on_lease_answer(now, asked, step, answer),
            Purpose::Claim(step) => self.on_claim_answer(now, step, answer, out),
        }
    }

    /// Handles a message from another node.
    pub fn message(&mut self, now: Time, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Extend(extend) => self.on_extend(now, extend, out),
            Message::Reply(reply) => self.on_reply(now, reply),
        }
    }

    /// Releases all seats for good and acquires no new ones. Call it once
    /// nothing that was done under them is outstanding any more.
    pub fn drain(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.draining {
            self.released_seats = self.renewable_seats(now);
        }
        self.draining = true;
        self.held.clear();
        self.send_release(now, out);
    }

    /// The node that this one has named as its successor.
    pub fn successor(&self) -> Option<&Instance> {
        self.successor_state.as_ref().map(SuccessorState::instance)
    }

    /// Whether the node has released its seats.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the successor knows that this node's seats are free.
    pub fn is_drained(&self) -> bool {
        self.draining
            && self
                .successor_state
                .as_ref()
                .is_none_or(|successor| successor.release_acknowledged)
    }

    /// Drops seats whose short lease has expired, before this node claims them
    /// in a message.
    ///
    /// After a pause a node may find that others have been written as owners of
    /// its seats. If it kept them and then became frozen, a promise from a
    /// successor that it had told [`State::Normal`] in between would revive
    /// them beside their new owners. Where the store still names this node
    /// under the same lease, the seats are read back from there.
    fn drop_expired(&mut self, now: Time) {
        if self.is_frozen() {
            return;
        }
        let ended = |held: &HeldSeat| now >= self.valid_until(held).min(held.expiry_cap);
        let ended = self.held.iter().filter(|(_, held)| ended(held));
        let ended: Vec<Seat> = ended.map(|(seat, _)| seat.clone()).collect();
        for seat in ended {
            self.held.remove(&seat);
        }
        if let Some(successor) = &mut self.successor_state {
            successor.expire_binding(now);
        }
    }

    fn valid_until(&self, held: &HeldSeat) -> Time {
        match held.basis {
            Basis::Takeover(until) => until,
            Basis::ShortLease(lease) => {
                let short = self.own_leases.short_end(lease).unwrap_or(Time::ZERO);
                match &self.successor_state {
                    Some(successor) if successor.frozen => successor
                        .valid_until(lease, short)
                        .min(self.own_leases.long_end()),
                    Some(successor) if successor.bound => short.min(successor.promise_end),
                    _ => short,
                }
            }
        }
    }

    fn call_store(&mut self, now: Time, purpose: Purpose, call: Call, out: &mut Vec<Action>) {
        self.last_call += 1;
        self.pending_calls.insert(self.last_call, (now, purpose));
        out.push(Action::Store(self.last_call, call));
    }

    fn jitter(&mut self, low: Span, high: Span) -> Span {
        Span::from_ms(self.rng.random_range(low.as_ms()..=high.as_ms()))
    }
}

fn seat_key(seat: &Seat) -> String {
    format!("right/seat/{seat}")
}

fn alive_key(node: &NodeLife) -> String {
    format!("right/alive/{}/{}", node.instance, node.life)
}

fn node_key(node: &NodeLife) -> String {
    format!("right/node/{}/{}", node.instance, node.life)
}

fn decode<T: serde::de::DeserializeOwned>(entry: &crate::store::Entry) -> Option<T> {
    serde_json::from_str(&entry.value).ok()
}

fn encode<T: Serialize>(value: &T) -> Option<String> {
    serde_json::to_string(value).ok()
}

/// Whether less than half of the members are reachable. A node that is cut off
/// with a few others lets its short lease expire even if it reaches the store,
/// so that the majority can take over what it owned.
fn is_minority(members: &Table) -> bool {
    let is_reachable = |peer: &&Peer| matches!(peer.status, Status::Alive | Status::Leaving);
    let reachable = members.iter().filter(is_reachable).count();
    reachable * 2 < members.iter().count()
}

fn is_gone(members: &Table, instance: &Instance) -> bool {
    members
        .get(instance)
        .is_none_or(|peer| matches!(peer.status, Status::Suspect | Status::Dead))
}

const NO_REVISION: Revision = Revision(0);
/// A gap between ticks that shows that the process was paused.
const PAUSE_THRESHOLD: Span = Span::from_ms(500);
