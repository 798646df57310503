//! Fleet-wide rates without owners and without store calls.
//!
//! Every team has three token servers, the first three of the nodes listed in
//! the store by rendezvous hashing. Each may mint one third of the rate, its
//! part, into a bucket of one third of the burst. While a team is in demand,
//! later servers delegate their parts to the first one, for a short time each:
//! tokens in one bucket are worth more than the same tokens in three. When the
//! first server dies, the second one mints its own part and that of the third.
//! A node that has a request of the team borrows a token from the first server,
//! or else from the next.
//!
//! # Why no time window sees more than rate and burst
//!
//! A node mints only while its own record in the store is confirmed and has
//! been there for [`JOIN_DELAY`], and while its view of all records is younger
//! than [`MAX_VIEW_AGE`]. So at any moment the nodes that mint for a team have
//! all been listed for longer than any of their views is old, and each of them
//! sees all the others. The last of them in hash order sees the others before
//! itself, and mints only if it is among the first three: they are three at
//! most.
//!
//! A part is delegated for no longer than the right to it lasts, counted by the
//! earlier server from when it asked and by the later one from when it
//! answered, and only when nothing lent out of it can still be used. A server
//! whose rank changes drops the parts that it accepted.
//!
//! A loan counts against the bucket of its server for the lifetime named in the
//! request, from when it was lent, and is void for its borrower once that time
//! has passed since it asked. So tokens that can still be used never exceed the
//! burst, and those minted in a window never exceed the rate times its length.
//! A server whose right has ended drops what it holds; its successor starts
//! empty. Only tokens that are given back count later: those of requests that
//! were not run, and a fraction of a token on its way from one server to the
//! next.

mod account;
mod message;
mod mint;
mod placement;

use std::collections::BTreeMap;

use self::{
    account::Borrower,
    mint::{
        Mint,
        ServerShare, //
    },
    placement::Placement,
};
pub use self::{
    account::WaitingCounts,
    message::{
        BorrowRequest, //
        DelegatedPart,
        LendReply,
        Message,
    },
};
use super::{
    Charge,
    bucket::MILLIS_PER_TOKEN, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::{
        Grant,
        Instance,
        Team, //
    },
    member::Peer,
    team,
    unit::Rate, //
};

/// The maximum age of the view of the listed nodes at which a node may mint.
pub const MAX_VIEW_AGE: Span = Span::from_secs(4);
/// How long a node must have been listed before it mints.
pub const JOIN_DELAY: Span = Span::from_ms(4500);
/// A server that left this many requests in a row unanswered is skipped for
/// [`SILENT_SERVER_TIMEOUT`]. A single message may be lost.
const MAX_UNANSWERED: u32 = 2;
const SILENT_SERVER_TIMEOUT: Span = Span::from_secs(2);
/// How long a part is delegated to an earlier server. When that server dies,
/// the parts are missing for this long, until the others mint their own again.
const DELEGATION_LIFE: Span = Span::from_ms(600);
/// Time after which an idle team is forgotten.
const ACCOUNT_IDLE_TIMEOUT: Span = Span::from_secs(30);

/// Requests that a server left unanswered since its last answer.
#[derive(Clone, Copy, Debug)]
struct ServerSilence {
    unanswered: u32,
    last: Time,
}

impl ServerSilence {
    fn is_skipped(self, now: Time) -> bool {
        self.unanswered >= MAX_UNANSWERED && now.since(self.last) < SILENT_SERVER_TIMEOUT
    }
}

/// This node's role in sharing all rates, as a borrower and as a token server.
#[derive(Clone, Debug)]
pub struct Bank {
    local: Peer,
    limits: BTreeMap<Team, (Rate, u32)>,
    placement: Placement,
    mint: Mint,
    borrowers: BTreeMap<Team, Borrower>,
    silences: BTreeMap<Instance, ServerSilence>,
    /// When requests for parts were sent that are still open, by their number.
    part_requests: BTreeMap<u64, Time>,
    last_number: u64,
    outbox: Vec<(Instance, Message)>,
}

impl Bank {
    /// A bank without teams and servers.
    pub fn new(local: Peer) -> Self {
        // Numbers of an earlier incarnation are not reused: answers to them may
        // still arrive.
        let last_number = local.incarnation.0;
        Self {
            local,
            limits: BTreeMap::new(),
            placement: Placement::default(),
            mint: Mint::default(),
            borrowers: BTreeMap::new(),
            silences: BTreeMap::new(),
            part_requests: BTreeMap::new(),
            last_number,
            outbox: Vec::new(),
        }
    }

    /// Sets the teams.
    pub fn set_teams(&mut self, now: Time, teams: &[team::Team]) {
        self.limits = teams
            .iter()
            .map(|team| (team.name.clone(), (team.rate, team.burst)))
            .collect();
        let limits = &self.limits;
        self.borrowers.retain(|team, _| limits.contains_key(team));
        self.place_teams(now);
    }

    /// Sets until when this node may mint, and the nodes among which servers
    /// are chosen.
    pub fn update_nodes(&mut self, now: Time, until: Time, nodes: &[&Peer]) {
        self.mint.extend_right(now, until);
        if !self.placement.has_nodes(nodes) {
            self.placement.set_nodes(nodes);
            self.place_teams(now);
        }
    }

    /// Assigns servers to all teams.
    fn place_teams(&mut self, now: Time) {
        let me = &self.local.instance;
        let mut shares = BTreeMap::new();
        for (team, (rate, burst)) in &self.limits {
            let servers = self.placement.servers(team);
            if let Some(rank) = servers.iter().position(|server| server == me) {
                let share = ServerShare {
                    rank,
                    later_servers: servers[rank + 1..].to_vec(),
                    rate: *rate,
                    burst: u64::from(*burst) * MILLIS_PER_TOKEN,
                };
                shares.insert(team.clone(), share);
            }
            if let Some(borrower) = self.borrowers.get_mut(team) {
                borrower.set_servers(servers);
            }
        }
        self.mint.set_shares(now, shares);
    }

    /// Takes a token for one root request of the team, while the calls counted
    /// by `others` also wait here for one.
    pub fn take(
        &mut self,
        now: Time,
        team: &Team,
        importance: Importance,
        others: WaitingCounts,
    ) -> Charge {
        let Some((rate, _)) = self.limits.get(team) else {
            return Charge::OverRate;
        };
        if rate.as_millis() == 0 {
            return Charge::Taken(Grant(0));
        }
        if !self.borrowers.contains_key(team) {
            let borrower = Borrower::new(now, self.placement.servers(team));
            self.borrowers.insert(team.clone(), borrower);
        }
        let Some(borrower) = self.borrowers.get_mut(team) else {
            return Charge::OverRate;
        };
        let mut waiting = others;
        waiting.add(importance);
        borrower.set_waiting(waiting);
        let mut taken = borrower.take(now, importance);
        if !taken {
            self.borrow(now, team);
            let borrower = self.borrowers.get_mut(team);
            taken = borrower.is_some_and(|borrower| borrower.take(now, importance));
        }
        if !taken {
            return Charge::Pending;
        }
        if let Some(borrower) = self.borrowers.get_mut(team) {
            borrower.set_waiting(others);
        }
        self.borrow(now, team);
        Charge::Taken(Grant(0))
    }

    /// Whether the team has exceeded its rate: no server had a token recently.
    pub fn is_over_rate(&self, now: Time, team: &Team) -> bool {
        let borrower = self.borrowers.get(team);
        borrower.is_some_and(|borrower| borrower.is_over_rate(now))
    }

    /// The time until the team has a token again, as far as its servers
    /// reported.
    pub fn time_until_token(&self, now: Time, team: &Team) -> Span {
        let borrower = self.borrowers.get(team);
        borrower.map_or(Span::ZERO, |borrower| borrower.time_until_token(now))
    }

    /// The servers of a team in the order in which this node asks them.
    pub fn servers(&self, team: &Team) -> Vec<Instance> {
        self.placement.servers(team)
    }

    /// Gives a token back because its request was not run.
    pub fn give_back(&mut self, team: &Team) {
        if let Some(borrower) = self.borrowers.get_mut(team) {
            borrower.give_back();
        }
    }

    /// Handles a message. Returns the team, if any, whose waiting requests
    /// should try again.
    pub fn on_message(&mut self, now: Time, message: Message) -> Option<Team> {
        match message {
            Message::Deposit(tokens) => {
                for (team, millis) in tokens {
                    self.mint.deposit(now, &team, millis);
                }
                None
            }
            Message::Borrow { from, request } => {
                let reply = self.mint.lend(now, &request);
                let answer = Message::Lend {
                    team: request.team,
                    number: request.number,
                    reply,
                };
                self.outbox.push((from, answer));
                None
            }
            Message::WantParts {
                from: to,
                number,
                teams,
            } => {
                let parts = self.mint.delegate(now, &to, &teams);
                if !parts.is_empty() {
                    let from = self.local.instance.clone();
                    let answer = Message::Parts {
                        from,
                        number,
                        parts,
                    };
                    self.outbox.push((to, answer));
                }
                None
            }
            Message::Parts {
                from,
                number,
                parts,
            } => {
                let asked = *self.part_requests.get(&number)?;
                for part in &parts {
                    self.mint.accept_part(now, asked, &from, part);
                }
                None
            }
            Message::Lend {
                team,
                number,
                reply,
            } => {
                let borrower = self.borrowers.get_mut(&team)?;
                let server = borrower.on_reply(now, number, reply)?;
                self.silences.remove(&server);
                self.borrow(now, &team);
                let borrower = self.borrowers.get(&team)?;
                borrower.can_take(now).then_some(team)
            }
        }
    }

    /// Returns tokens, gives up unanswered requests, and returns the teams
    /// whose waiting requests should try again. `waiting` tells how many calls
    /// of each team wait here.
    pub fn tick(&mut self, now: Time, waiting: &BTreeMap<Team, WaitingCounts>) -> Vec<Team> {
        self.silences
            .retain(|_, silence| now.since(silence.last) < SILENT_SERVER_TIMEOUT);
        self.borrowers
            .retain(|_, borrower| !borrower.is_idle(now, ACCOUNT_IDLE_TIMEOUT));
        let mut returns: BTreeMap<Instance, Vec<(Team, u64)>> = BTreeMap::new();
        let mut waiting_teams = Vec::new();
        for (team, borrower) in &mut self.borrowers {
            borrower.update_demand(now);
            borrower.set_waiting(waiting.get(team).copied().unwrap_or_default());
            if let Some(silent) = borrower.take_overdue(now) {
                let silence = self.silences.entry(silent).or_insert(ServerSilence {
                    unanswered: 0,
                    last: now,
                });
                silence.unanswered += 1;
                silence.last = now;
            }
            for (server, millis) in borrower.take_returns(now) {
                returns
                    .entry(server)
                    .or_default()
                    .push((team.clone(), millis));
            }
            if borrower.has_waiting() {
                waiting_teams.push(team.clone());
            }
        }
        self.deposit(now, returns);
        self.request_parts(now);
        for team in &waiting_teams {
            self.borrow(now, team);
        }
        let can_take = |team: &Team| self.borrowers.get(team).is_some_and(|a| a.can_take(now));
        waiting_teams.retain(can_take);
        waiting_teams
    }

    /// Removes and returns the messages to be sent.
    pub fn outbox(&mut self) -> Vec<(Instance, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Removes and returns the messages to be sent to this node.
    pub fn take_messages_to(&mut self, to: &Instance) -> Vec<Message> {
        let to_node = |(receiver, _): &mut (Instance, Message)| receiver == to;
        let messages = self.outbox.extract_if(.., to_node);
        messages.map(|(_, message)| message).collect()
    }

    fn request_parts(&mut self, now: Time) {
        self.part_requests
            .retain(|_, asked| now.since(*asked) < DELEGATION_LIFE);
        for (server, teams) in self.mint.wanted_parts(now) {
            self.last_number += 1;
            self.part_requests.insert(self.last_number, now);
            let message = Message::WantParts {
                from: self.local.instance.clone(),
                number: self.last_number,
                teams,
            };
            self.outbox.push((server, message));
        }
    }

    fn deposit(&mut self, now: Time, returns: BTreeMap<Instance, Vec<(Team, u64)>>) {
        for (server, tokens) in returns {
            if server != self.local.instance {
                self.outbox.push((server, Message::Deposit(tokens)));
                continue;
            }
            for (team, millis) in tokens {
                self.mint.deposit(now, &team, millis);
            }
        }
    }

    /// Borrows what a team lacks here from its servers; if this node is the
    /// server, without a message.
    fn borrow(&mut self, now: Time, team: &Team) {
        let Some(borrower) = self.borrowers.get_mut(team) else {
            return;
        };
        let is_silent = |instance: &Instance| {
            let silence = self.silences.get(instance);
            silence.is_some_and(|silence| silence.is_skipped(now))
        };
        while let Some((server, request)) =
            borrower.next_request(now, team, self.last_number + 1, is_silent)
        {
            self.last_number += 1;
            if server != self.local.instance {
                let from = self.local.instance.clone();
                self.outbox
                    .push((server, Message::Borrow { from, request }));
                return;
            }
            let reply = self.mint.lend(now, &request);
            borrower.on_reply(now, request.number, reply);
        }
    }
}
