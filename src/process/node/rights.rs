//! Rights, rates and records: what one node holds for the whole fleet.

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

/// How often the node considers which seats it should own.
const PLAN: Span = Span::from_secs(1);
/// Time that a leaving node waits for its claimed attempts.
const RUNNING: Span = Span::from_secs(2);
/// Time for the successor to hear what is in the buckets.
const HAND_ON: Span = Span::from_ms(25);

/// What this node holds for the fleet, and whom it believes to hold the rest.
#[derive(Debug)]
pub(super) struct Rights {
    keeper: SeatManager,
    owner: Owner,
    records: record::Owner,
    /// Where this node's ingress looks for record owners.
    pub(super) directory: Directory,
    wall: Option<(Time, u64)>,
    plan: Plan,
    planned: Option<Time>,
    tickets: BTreeMap<u64, u64>,
    /// Wishes in a row that a seat's owner has not answered.
    unanswered: BTreeMap<Seat, u32>,
    /// When the node was told to leave; it grants nothing from then on.
    leaving: Option<Time>,
    /// When nothing that was done under its rights was outstanding any more.
    settled: Option<Time>,
    /// What was in the buckets when the seats were given up.
    accounts: Option<Vec<quota::BucketSnapshot>>,
}

impl Rights {
    pub(super) fn new(instance: Instance, life: crate::id::Incarnation, seed: u64) -> Self {
        Self {
            keeper: SeatManager::new(instance, life, seed),
            owner: Owner::default(),
            records: record::Owner::default(),
            directory: Directory::default(),
            wall: None,
            plan: Plan::default(),
            planned: None,
            tickets: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            leaving: None,
            settled: None,
            accounts: None,
        }
    }
}

impl Core {
    /// Shares rates in another way, and goes by other times of leases, from the
    /// beginning of the node on.
    pub fn configure(&mut self, mode: Mode, setting: lease::Options) {
        self.quota.set_mode(mode);
        self.rights.keeper.configure(setting);
        if let Mode::GrantsAndFixedShares(percent, _) = mode {
            self.rights.owner.withhold_percent(percent);
        }
    }

    /// The rights that this node holds, to look at.
    pub fn seat_manager(&self) -> &SeatManager {
        &self.rights.keeper
    }

    pub(super) fn rights_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.rights.planned.is_none_or(|at| now.since(at) >= PLAN) {
            self.rights.planned = Some(now);
            let plan = Plan::new(&self.identity.peer, &self.members, &self.snapshot);
            self.rights.directory.plan(plan.records());
            self.rights.plan = plan;
            self.quota.set_teams(now, &self.snapshot.teams.teams);
        }
        let mut actions = Vec::new();
        let Rights { keeper, plan, .. } = &mut self.rights;
        let (wanted, successors) = (&plan.wanted, &plan.successors);
        keeper.tick(now, &self.members, wanted, successors, &mut actions);
        self.rights_do(actions, out);
        for team in self.quota.tick(now) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        self.rights_send(now, out);
        self.records_tick(now, out);
        self.rights_leave(now, out);
    }

    /// Gives back unused tokens at once; the seats follow when the grants that
    /// were made under them have ended.
    pub(super) fn rights_drain(&mut self, now: Time, out: &mut Vec<Action>) {
        self.rights.leaving.get_or_insert(now);
        self.rights_send(now, out);
    }

    fn rights_leave(&mut self, now: Time, out: &mut Vec<Action>) {
        let over = |since: Time| now.since(since) > quota::MAX_GRANT_LIFE;
        if !self.rights.leaving.is_some_and(over) {
            return;
        }
        // Running claimed attempts end first, so that their answers go along.
        let late = |since: Time| now.since(since) > RUNNING;
        if self.rights.records.is_busy() && !self.rights.leaving.is_some_and(late) {
            return;
        }
        self.rights.settled.get_or_insert(now);
        self.quota.drain();
        self.rights_send(now, out);
        if !self.rights.keeper.is_drained() {
            self.hand_on(now, out);
        }
        // Said twice before the seats are free, as one message may be lost.
        let told = |since: Time| now.since(since) > HAND_ON;
        let mut actions = Vec::new();
        if !self.rights.keeper.is_draining() && self.rights.settled.is_some_and(told) {
            self.rights.keeper.drain(now, &mut actions);
        }
        self.rights_do(actions, out);
    }

    /// Tells the successor what is in the buckets, before it hears that the seats
    /// are free. Lost, it begins with empty ones.
    fn hand_on(&mut self, now: Time, out: &mut Vec<Action>) {
        // Read once: what came due afterwards is the successor's to count.
        let owner = &mut self.rights.owner;
        let accounts = self.rights.accounts.get_or_insert_with(|| {
            owner.advance(now);
            owner.settled_buckets()
        });
        let accounts = accounts.clone();
        let successor = self.rights.keeper.successor().cloned();
        let Some(to) = successor else {
            return;
        };
        self.records_hand_on(now, &to, out);
        if !accounts.is_empty() {
            self.quota_tell(now, &to, quota::Message::Buckets(accounts), out);
        }
    }

    /// Whether nothing is left to be handed on. The successor may be gone as
    /// well, so a leaving node does not wait for it without end.
    pub(super) fn rights_over(&self, now: Time) -> bool {
        let late = |since: Time| now.since(since) > Span::from_secs(4);
        self.rights.keeper.is_drained() || self.rights.leaving.is_some_and(late)
    }

    pub(super) fn rights_store(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(ticket) = self.rights.tickets.remove(&number) else {
            return;
        };
        let mut actions = Vec::new();
        self.rights.keeper.answer(now, ticket, answer, &mut actions);
        self.rights_do(actions, out);
    }

    pub(super) fn on_lease_message(
        &mut self,
        now: Time,
        message: lease::Message,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.rights.keeper.message(now, message, &mut actions);
        self.rights_do(actions, out);
    }

    fn rights_do(&mut self, actions: Vec<lease::Action>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                lease::Action::Store(ticket, call) => {
                    let number = self.call_store(StoreCaller::Rights, call, out);
                    self.rights.tickets.insert(number, ticket);
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
                let reply = self.grant(now, &ask);
                let (team, number) = (ask.team, ask.number);
                let message = quota::Message::Reply {
                    from: self.identity.peer.instance.clone(),
                    team,
                    number,
                    reply,
                };
                self.quota_tell(now, &ask.from, message, out);
            }
            quota::Message::Reply {
                from,
                team,
                number,
                reply,
            } => self.quota_reply(now, from, team, number, reply, out),
            quota::Message::Buckets(accounts) => self.rights.owner.inherit_buckets(accounts),
            quota::Message::Return(team, returns) => {
                if let Some(row) = self.snapshot.teams.team(&team) {
                    self.rights.owner.on_return(now, row, &returns);
                }
            }
        }
    }

    /// Grants tokens if this node owns the quota at this very moment.
    fn grant(&mut self, now: Time, ask: &quota::Ask) -> Reply {
        let seat = seats::quota(&ask.team);
        let rights = &mut self.rights;
        let right = rights.keeper.ownership(now, &seat);
        let row = self.snapshot.teams.team(&ask.team);
        match (right, row) {
            (Some(right), Some(row)) if rights.leaving.is_none() => {
                rights.owner.on_ask(now, right, row, ask)
            }
            _ => {
                rights.keeper.note_unreachable_owner(now, &seat);
                let me = &self.identity.peer.instance;
                let owner = match rights.leaving {
                    Some(_) => rights.keeper.successor(),
                    // The next owner of a seat does not send its askers back.
                    None if rights.keeper.is_successor_for(&seat) => None,
                    None => rights.keeper.owner(&seat),
                };
                Reply::NotOwner(owner.filter(|owner| *owner != me).cloned())
            }
        }
    }

    fn quota_reply(
        &mut self,
        now: Time,
        from: Instance,
        team: Team,
        number: u64,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let seat = seats::quota(&team);
        match &reply {
            Reply::NotOwner(Some(other)) => {
                self.rights.unanswered.remove(&seat);
                self.rights.keeper.set_owner_hint(seat, other.clone());
            }
            Reply::NotOwner(None) => {}
            Reply::Granted { .. } | Reply::OverRate(_) => {
                self.rights.unanswered.remove(&seat);
                self.rights.keeper.set_owner_hint(seat, from);
            }
        }
        if self.quota.on_reply(now, &team, number, reply) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        self.rights_send(now, out);
    }

    /// Sends what the holder has to say to the quota owners.
    pub(super) fn rights_send(&mut self, now: Time, out: &mut Vec<Action>) {
        for (team, message) in self.quota.outbox() {
            let seat = seats::quota(&team);
            let tries = match &message {
                quota::Message::Ask(_) => {
                    let tries = self.rights.unanswered.entry(seat.clone()).or_default();
                    *tries += 1;
                    *tries
                }
                _ => 0,
            };
            if let Some(to) = self.quota_owner(&seat, tries) {
                self.quota_tell(now, &to, message, out);
            }
        }
    }

    /// Whom to ask: the last known owner, and when it does not answer, one after
    /// the other of those that may have taken its place.
    fn quota_owner(&self, seat: &Seat, tries: u32) -> Option<Instance> {
        const FAITHFUL: u32 = 3;
        let known = self.rights.keeper.owner(seat);
        match known {
            Some(owner) if tries <= FAITHFUL => Some(owner.clone()),
            _ => self
                .rights
                .plan
                .candidate(seat, tries.saturating_sub(FAITHFUL) as usize),
        }
    }

    fn quota_tell(
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
