//! Seat leases, quotas and idempotency records that a node owns for the fleet.

mod records;
mod seats;

use std::collections::BTreeMap;

use self::seats::Plan;
use super::{
    Action,
    Core,
    StoreCaller, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Instance,
        Team, //
    },
    ingress,
    lease::{
        self,
        Seat,
        SeatManager, //
    },
    message::Message,
    quota::{
        self,
        Mode,
        Owner,
        Reply, //
    },
    record::{
        self,
        Directory, //
    },
    store, //
};

/// Interval at which the node recomputes which seats it should own.
const PLAN_INTERVAL: Span = Span::from_secs(1);
/// How long a leaving node waits for running attempts with idempotency claims.
const CLAIMED_ATTEMPTS_TIMEOUT: Span = Span::from_secs(2);
/// How long the successor is given to receive the bucket levels before the seats
/// are released.
const HANDOVER_DELAY: Span = Span::from_ms(25);

/// The seats that this node owns, and the believed owners of all others.
#[derive(Debug)]
pub(super) struct Leases {
    seat_manager: SeatManager,
    quota_owner: Owner,
    record_owner: record::Owner,
    /// The record owners known to this node's ingress.
    pub(super) record_directory: Directory,
    wall_clock: Option<(Time, u64)>,
    plan: Plan,
    planned_at: Option<Time>,
    /// Lease tickets by the identifier of the store call made for them.
    tickets: BTreeMap<u64, u64>,
    /// Consecutive requests for tokens that a seat's owner has not answered.
    unanswered_asks: BTreeMap<Seat, u32>,
    /// When the node was told to leave; from then on it grants nothing.
    leaving_since: Option<Time>,
    /// When the last grant and claimed attempt made under its seats had ended.
    settled_at: Option<Time>,
    /// The bucket levels when the handover of the seats began.
    handover_buckets: Option<Vec<quota::BucketSnapshot>>,
}

impl Leases {
    pub(super) fn new(instance: Instance, incarnation: crate::id::Incarnation, seed: u64) -> Self {
        Self {
            seat_manager: SeatManager::new(instance, incarnation, seed),
            quota_owner: Owner::default(),
            record_owner: record::Owner::default(),
            record_directory: Directory::default(),
            wall_clock: None,
            plan: Plan::default(),
            planned_at: None,
            tickets: BTreeMap::new(),
            unanswered_asks: BTreeMap::new(),
            leaving_since: None,
            settled_at: None,
            handover_buckets: None,
        }
    }
}

impl Core {
    /// Sets the mode of rate sharing and the lease timing. Must be called when the
    /// node starts.
    pub fn configure(&mut self, mode: Mode, options: lease::Options) {
        self.quota.set_mode(mode);
        self.leases.seat_manager.configure(options);
        if let Mode::GrantsAndFixedShares(percent, _) = mode {
            self.leases.quota_owner.withhold_percent(percent);
        }
    }

    /// Returns the seat manager, to inspect the seats that this node owns.
    pub fn seat_manager(&self) -> &SeatManager {
        &self.leases.seat_manager
    }

    pub(super) fn leases_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .leases
            .planned_at
            .is_none_or(|at| now.since(at) >= PLAN_INTERVAL)
        {
            self.leases.planned_at = Some(now);
            let plan = Plan::new(&self.identity.peer, &self.members, &self.snapshot);
            self.leases
                .record_directory
                .set_candidates(plan.record_seats());
            self.leases.plan = plan;
            self.quota.set_teams(now, &self.snapshot.teams.teams);
        }
        let mut actions = Vec::new();
        let Leases {
            seat_manager, plan, ..
        } = &mut self.leases;
        let (wanted, successors) = (&plan.wanted, &plan.successors);
        seat_manager.tick(now, &self.members, wanted, successors, &mut actions);
        self.run_lease_actions(actions, out);
        for team in self.quota.tick(now) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        self.send_quota_messages(now, out);
        self.records_tick(now, out);
        self.release_seats(now, out);
    }

    /// Returns unused tokens immediately. The seats are released later, when the
    /// grants made under them have expired.
    pub(super) fn leases_drain(&mut self, now: Time, out: &mut Vec<Action>) {
        self.leases.leaving_since.get_or_insert(now);
        self.send_quota_messages(now, out);
    }

    fn release_seats(&mut self, now: Time, out: &mut Vec<Action>) {
        let grants_expired = |since: Time| now.since(since) > quota::MAX_GRANT_LIFE;
        if !self.leases.leaving_since.is_some_and(grants_expired) {
            return;
        }
        // Wait for running claimed attempts, so that their answers are part of
        // the records that are handed over.
        let timed_out = |since: Time| now.since(since) > CLAIMED_ATTEMPTS_TIMEOUT;
        if self.leases.record_owner.is_busy() && !self.leases.leaving_since.is_some_and(timed_out) {
            return;
        }
        self.leases.settled_at.get_or_insert(now);
        self.quota.drain();
        self.send_quota_messages(now, out);
        if !self.leases.seat_manager.is_drained() {
            self.hand_over(now, out);
        }
        // The handover is sent twice before the seats are released, because one
        // message may be lost.
        let handed_over = |since: Time| now.since(since) > HANDOVER_DELAY;
        let mut actions = Vec::new();
        if !self.leases.seat_manager.is_draining()
            && self.leases.settled_at.is_some_and(handed_over)
        {
            self.leases.seat_manager.drain(now, &mut actions);
        }
        self.run_lease_actions(actions, out);
    }

    /// Sends records and bucket levels to the successor before it learns that the
    /// seats are free. If the levels are lost, the successor starts with empty
    /// buckets.
    fn hand_over(&mut self, now: Time, out: &mut Vec<Action>) {
        // Read only once: the successor counts the tokens that accrue later.
        let owner = &mut self.leases.quota_owner;
        let buckets = self.leases.handover_buckets.get_or_insert_with(|| {
            owner.advance(now);
            owner.settled_buckets()
        });
        let buckets = buckets.clone();
        let successor = self.leases.seat_manager.successor().cloned();
        let Some(to) = successor else {
            return;
        };
        self.hand_over_records(now, &to, out);
        if !buckets.is_empty() {
            self.send_quota_message(now, &to, quota::Message::Buckets(buckets), out);
        }
    }

    /// Returns whether all seats are released. A leaving node waits for this only
    /// for a limited time, because the successor may have failed as well.
    pub(super) fn leases_released(&self, now: Time) -> bool {
        let timed_out = |since: Time| now.since(since) > Span::from_secs(4);
        self.leases.seat_manager.is_drained() || self.leases.leaving_since.is_some_and(timed_out)
    }

    pub(super) fn leases_store_answer(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.leases.tickets.remove(&number) else {
            return;
        };
        let mut actions = Vec::new();
        self.leases
            .seat_manager
            .answer(now, ticket, answer, &mut actions);
        self.run_lease_actions(actions, out);
    }

    pub(super) fn on_lease_message(
        &mut self,
        now: Time,
        message: lease::Message,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.leases.seat_manager.message(now, message, &mut actions);
        self.run_lease_actions(actions, out);
    }

    fn run_lease_actions(&mut self, actions: Vec<lease::Action>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                lease::Action::Store(ticket, call) => {
                    let number = self.call_store(StoreCaller::Leases, call, out);
                    self.leases.tickets.insert(number, ticket);
                }
                lease::Action::Send(to, message) => {
                    self.send_message(&to, Message::Lease(message), out)
                }
            }
        }
    }

    pub(super) fn on_quota_message(
        &mut self,
        now: Time,
        message: quota::Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            quota::Message::Ask(ask) => {
                let reply = self.grant_tokens(now, &ask);
                let (team, number) = (ask.team, ask.number);
                let message = quota::Message::Reply {
                    from: self.identity.peer.instance.clone(),
                    team,
                    number,
                    reply,
                };
                self.send_quota_message(now, &ask.from, message, out);
            }
            quota::Message::Reply {
                from,
                team,
                number,
                reply,
            } => self.on_quota_reply(now, from, team, number, reply, out),
            quota::Message::Buckets(buckets) => self.leases.quota_owner.inherit_buckets(buckets),
            quota::Message::Return(team, returns) => {
                if let Some(row) = self.snapshot.teams.team(&team) {
                    self.leases.quota_owner.on_return(now, row, &returns);
                }
            }
        }
    }

    /// Grants tokens if this node owns the team's quota seat at this moment.
    fn grant_tokens(&mut self, now: Time, ask: &quota::Ask) -> Reply {
        let seat = seats::quota_seat(&ask.team);
        let leases = &mut self.leases;
        let ownership = leases.seat_manager.ownership(now, &seat);
        let row = self.snapshot.teams.team(&ask.team);
        match (ownership, row) {
            (Some(ownership), Some(row)) if leases.leaving_since.is_none() => {
                leases.quota_owner.on_ask(now, ownership, row, ask)
            }
            _ => {
                leases.seat_manager.note_unreachable_owner(now, &seat);
                let me = &self.identity.peer.instance;
                let owner = match leases.leaving_since {
                    Some(_) => leases.seat_manager.successor(),
                    // The next owner of a seat does not refer nodes back to the
                    // previous one.
                    None if leases.seat_manager.is_successor_for(&seat) => None,
                    None => leases.seat_manager.owner(&seat),
                };
                Reply::NotOwner(owner.filter(|owner| *owner != me).cloned())
            }
        }
    }

    fn on_quota_reply(
        &mut self,
        now: Time,
        from: Instance,
        team: Team,
        number: u64,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let seat = seats::quota_seat(&team);
        match &reply {
            Reply::NotOwner(Some(other)) => {
                self.leases.unanswered_asks.remove(&seat);
                self.leases.seat_manager.set_owner_hint(seat, other.clone());
            }
            Reply::NotOwner(None) => {}
            Reply::Granted { .. } | Reply::OverRate(_) => {
                self.leases.unanswered_asks.remove(&seat);
                self.leases.seat_manager.set_owner_hint(seat, from);
            }
        }
        if self.quota.on_reply(now, &team, number, reply) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        self.send_quota_messages(now, out);
    }

    /// Sends the quota holder's outgoing messages to the quota owners.
    pub(super) fn send_quota_messages(&mut self, now: Time, out: &mut Vec<Action>) {
        for (team, message) in self.quota.outbox() {
            let seat = seats::quota_seat(&team);
            let tries = match &message {
                quota::Message::Ask(_) => {
                    let tries = self.leases.unanswered_asks.entry(seat.clone()).or_default();
                    *tries += 1;
                    *tries
                }
                _ => 0,
            };
            if let Some(to) = self.quota_ask_target(&seat, tries) {
                self.send_quota_message(now, &to, message, out);
            }
        }
    }

    /// Returns the node to ask for tokens: the last known owner or, if it does not
    /// answer, one candidate after another that may have replaced it.
    fn quota_ask_target(&self, seat: &Seat, tries: u32) -> Option<Instance> {
        const MAX_TRIES_AT_KNOWN_OWNER: u32 = 3;
        let known = self.leases.seat_manager.owner(seat);
        match known {
            Some(owner) if tries <= MAX_TRIES_AT_KNOWN_OWNER => Some(owner.clone()),
            _ => self.leases.plan.candidate(
                seat,
                tries.saturating_sub(MAX_TRIES_AT_KNOWN_OWNER) as usize,
            ),
        }
    }

    fn send_quota_message(
        &mut self,
        now: Time,
        to: &Instance,
        message: quota::Message,
        out: &mut Vec<Action>,
    ) {
        if *to == self.identity.peer.instance {
            self.on_quota_message(now, message, out);
        } else {
            self.send_message(to, Message::Quota(message), out);
        }
    }
}
