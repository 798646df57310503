//! Rights that at most one node holds at a time, kept as leases in the store.
//!
//! A right is named by its [`Seat`]. Its owner is written in the store by
//! compare-and-swap and holds it while the node's one short lease lives: one
//! renewal covers all its seats, so store calls grow neither with teams nor
//! with records. While the store does not answer, an owner may go on under the
//! promises of the one successor that it named in the store, which alone may
//! take its seats over. docs/design/leases.md argues why two nodes never hold
//! one seat at the same time.

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

/// The name of a right.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Seat(pub String);

/// Counts the owners of a seat. It strictly grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Whether an owner with this number comes directly after one with that. A
    /// successor that takes over without the store counts one on, everybody else
    /// two, so that the two never meet.
    pub fn directly_follows(self, other: Self) -> bool {
        self.0 > other.0 && self.0 <= other.0 + 2
    }
}

/// A right that holds now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Under which number.
    pub epoch: Epoch,
    /// Since when.
    pub since: Time,
    /// Until when, if nothing renews it.
    pub until: Time,
    /// The number before, if this node held the right under it without a break.
    pub continued_epoch: Option<Epoch>,
}

/// One life of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeLife {
    /// Its name.
    pub instance: Instance,
    /// Which life.
    pub life: Incarnation,
}

/// What the store keeps of a seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeatRecord {
    owner: NodeLife,
    epoch: Epoch,
    /// Tells one's own write when its answer was lost.
    #[serde(rename = "claim")]
    write_id: u64,
}

/// What the store keeps of a node that may own seats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct NodeRecord {
    successor: Option<Instance>,
    /// The long lease with which the record goes.
    lease: Lease,
}

/// What an owner and its successor tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The owner's wish that its successor keeps still for a while.
    Extend(Extend),
    /// The successor's answer.
    #[serde(rename = "Accord")]
    Reply(ExtendReply),
}

/// What an owner lives by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Its short lease.
    #[serde(rename = "Calm")]
    Normal,
    /// Its short lease, and no longer than its successor's promises.
    Bound,
    /// Its successor's promises alone.
    Frozen,
    /// Promises, but it has a short lease again and would go back to it.
    Thawing,
    /// Nothing: it has given up all its seats.
    #[serde(rename = "Over")]
    Released,
}

/// An owner's wish that its successor keeps still for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extend {
    /// The owner.
    pub owner: NodeLife,
    /// Counts the owner's wishes; an older one is ignored.
    pub sequence: u64,
    /// What the owner lives by.
    pub state: State,
    /// Time that the owner's short lease has left at most.
    #[serde(rename = "short")]
    pub short_left: Span,
    /// Time that the owner's long lease has left at least, counted from `heard`.
    #[serde(rename = "long")]
    pub long_left: Span,
    /// The successor's own clock, as it stood in the last answer.
    #[serde(rename = "heard")]
    pub echoed_clock: Option<u64>,
    /// The owner's seats.
    pub seats: Vec<(Seat, Epoch)>,
}

/// How a successor stands to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromiseStatus {
    /// It keeps still for the time of a promise.
    Promise,
    /// It promises nothing, and has not taken over without the store.
    #[serde(rename = "Bare")]
    NoPromise,
    /// It has taken over.
    #[serde(rename = "Taken")]
    TakenOver,
}

/// A successor's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExtendReply {
    /// Who answers.
    pub from: Instance,
    /// The life it answers to.
    pub life: Incarnation,
    /// The wish it answers.
    pub sequence: u64,
    /// What the owner lived by in that wish.
    pub state: State,
    /// How it stands.
    #[serde(rename = "standing")]
    pub promise_status: PromiseStatus,
    /// Its own clock.
    pub clock: u64,
}

/// Times that a keeper goes by.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The short lease: how long after a crash its seats are lost to a node that
    /// is not its successor.
    pub short_ttl: Span,
    /// Time between renewals of the short lease.
    pub renew_interval: Span,
    /// The long lease: how long an owner and its successor go on alone.
    pub long_ttl: Span,
    /// How long a successor goes on that has taken over without the store, and
    /// how long its owner waits for one that is silent.
    pub takeover_limit: Span,
    /// How long a promise of the successor lasts.
    pub promise_ttl: Span,
    /// Kept back from every right, for clocks that run unevenly.
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

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the store; hand the answer back with the same number.
    Store(u64, Call),
    /// Tell another node.
    Send(Instance, Message),
}

#[derive(Clone, Debug)]
enum Purpose {
    OwnLeases(base::Step),
    Claim(claim::Step),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Basis {
    /// Written in the store under this short lease.
    ShortLease(Lease),
    /// Taken over without the store, until then at most.
    Takeover(Time),
}

#[derive(Clone, Debug)]
struct HeldSeat {
    epoch: Epoch,
    since: Time,
    basis: Basis,
    /// The end of the time alone, until the store is known to name this node.
    expiry_cap: Time,
    continued_epoch: Option<Epoch>,
}

/// The rights of one node, and its part in those of others.
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
    /// What it held when it gave everything up.
    released_seats: Vec<(Seat, Epoch)>,
    /// Nodes that were silent as successors, and until when they are not named.
    avoided_successors: BTreeMap<Instance, Time>,
}

impl fmt::Display for Seat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl SeatManager {
    /// A keeper without rights.
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

    /// Goes by other times, from the beginning of the node on.
    pub fn configure(&mut self, options: Options) {
        self.options = options;
    }

    /// The right to a seat, if this node holds it now. To be asked immediately
    /// before each use: a node that was paused learns here that its time is over.
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

    /// Who was last known to own a seat.
    pub fn owner(&self, seat: &Seat) -> Option<&Instance> {
        match self.held.contains_key(seat) {
            true => Some(&self.local.instance),
            false => self.owner_hints.get(seat),
        }
    }

    /// Learns who owns a seat.
    pub fn set_owner_hint(&mut self, seat: Seat, owner: Instance) {
        self.owner_hints.insert(seat, owner);
    }

    /// Whether the owner lives by its successor's promises.
    pub fn is_frozen(&self) -> bool {
        self.successor_state
            .as_ref()
            .is_some_and(|successor| successor.frozen)
    }

    /// Goes on with what is due. `wanted` are the seats that this node should
    /// try to own, `successors` the nodes that it would name, best first.
    pub fn tick(
        &mut self,
        now: Time,
        members: &Table,
        wanted: &[Seat],
        successors: &[Instance],
        out: &mut Vec<Action>,
    ) {
        self.started_at.get_or_insert(now);
        // A node that wakes gives the store a moment to answer before it holds
        // it for silent.
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

    /// Takes the answer to a call of the store.
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

    /// Takes a message of another node.
    pub fn message(&mut self, now: Time, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Extend(extend) => self.on_extend(now, extend, out),
            Message::Reply(reply) => self.on_reply(now, reply),
        }
    }

    /// Gives up all seats for good and takes no new ones. Call it when nothing
    /// that was done under them is outstanding any more.
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

    /// Whether the node has given up its seats.
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

    /// Drops seats whose short lease has ended, before anything is said of them.
    ///
    /// A node that was paused finds its seats written by others. If it kept them
    /// and then came to live by promises, the promise of a successor that it had
    /// told "calm" in between would bring them to life again, beside their new
    /// owners. Where the store still has them under the same lease, they are
    /// found again there.
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

fn alive_key(party: &NodeLife) -> String {
    format!("right/alive/{}/{}", party.instance, party.life)
}

fn node_key(party: &NodeLife) -> String {
    format!("right/node/{}/{}", party.instance, party.life)
}

fn decode<T: serde::de::DeserializeOwned>(entry: &crate::store::Entry) -> Option<T> {
    serde_json::from_str(&entry.value).ok()
}

fn encode<T: Serialize>(value: &T) -> Option<String> {
    serde_json::to_string(value).ok()
}

/// Whether less than half of the members answer. A node that is cut off with a
/// few others lets its short lease end, even when it reaches the store, so that
/// the many can have what it owned.
fn is_minority(members: &Table) -> bool {
    let answers = |peer: &&Peer| matches!(peer.status, Status::Alive | Status::Leaving);
    let there = members.iter().filter(answers).count();
    there * 2 < members.iter().count()
}

fn is_gone(members: &Table, instance: &Instance) -> bool {
    members
        .get(instance)
        .is_none_or(|peer| matches!(peer.status, Status::Suspect | Status::Dead))
}

const NO_REVISION: Revision = Revision(0);
/// A gap between ticks after which the node was paused.
const PAUSE_THRESHOLD: Span = Span::from_ms(500);
