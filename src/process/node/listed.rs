//! A node among others that the store lists: members, configuration and rates
//! without gossip, leases of rights or records.

mod inquiry;
mod tokens;

use std::collections::BTreeMap;

use super::{
    Action,
    Core,
    LogEvent,
    StoreCaller, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    directory::{
        Change,
        Directory,
        Purpose, //
    },
    document,
    feed::{
        Subscriber,
        Topic,
        Watcher, //
    },
    follow::{
        Follower,
        News, //
    },
    id::{
        Instance,
        Revision,
        Version, //
    },
    inbound,
    ingress,
    interface::Source,
    member::{
        Peer,
        Status, //
    },
    metric::Counter,
    quota::Bank,
    retry::Limits,
    store,
    warmup, //
};

/// The time between two looks at what follows from the members.
const REFRESH: Span = Span::from_ms(100);
/// How long a leaving node still serves callers, at least: the platform asks
/// twice, a second apart, before it sends them elsewhere.
const MIN_DRAIN: Span = Span::from_ms(3000);
/// How long a leaving node waits for the store to take its record out.
const DEREGISTER_TIMEOUT: Span = Span::from_ms(400);
/// The time between two tries to reach a member again, at first and at most.
const FIRST_RECONNECT_BACKOFF: Span = Span::from_ms(200);
const MAX_RECONNECT_BACKOFF: Span = Span::from_secs(2);

/// Bounds that the fleet's operators set for all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The age of the last confirmation from which on keys are not accepted.
    pub stale_after: Span,
    /// The age from which on callers are better sent elsewhere.
    pub unready_after: Span,
    /// Retries for each first try at one pool, over the fleet.
    pub retry_ratio: f64,
    /// Retries at one pool that are free in a window, over the fleet.
    pub retry_slack: f64,
    /// That window.
    pub retry_window: Span,
    /// Requests that a cold upstream may get beyond its rate.
    pub cold_excess: warmup::Tolerance,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stale_after: Span::from_secs(4),
            unready_after: Span::from_secs(3),
            retry_ratio: 0.2,
            retry_slack: 48.0,
            retry_window: Span::from_secs(10),
            cold_excess: warmup::Tolerance::default(),
        }
    }
}

/// The share of the bound on the ratio that nodes use, and for how long ahead it
/// may be saved: a fifth of the window more, so that both together stay within.
const RATIO_SHARE: f64 = 0.8;
const AHEAD_SHARE: f64 = 0.2;
/// The shares of the slack that come evenly, and that may be saved.
const FLOOR_SHARE: f64 = 0.4;
const SAVED_SHARE: f64 = 0.4;
/// The part of the saved retries that only critical requests and calls use.
const RESERVE: f64 = 0.5;

/// A call to the store that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Register,
    Follow {
        topic: Topic,
        after: Option<Revision>,
        sent: Time,
    },
}

/// A member that cannot be reached.
#[derive(Clone, Copy, Debug)]
struct Reconnect {
    next: Time,
    backoff: Span,
}

/// Watchers of a domain in the order in which the others ask them.
const WATCHER_CANDIDATES: usize = 3;
/// Purpose of the choice of watchers.
const WATCHER_HASH_SEED: u64 = 0x3a7c;

/// How long a node that begins waits for others of its domain to be listed.
/// Without them it watches the store itself, so a fleet that begins together
/// would ask it in everybody's name.
const START_DELAY: Span = Span::from_ms(400);

/// What a listed node keeps.
#[derive(Debug)]
pub(super) struct Listed {
    bounds: Bounds,
    directory: Directory,
    follower: Follower,
    asked: BTreeMap<u64, Task>,
    begun: Option<Time>,
    /// This node has lived before, so others are listed already.
    restarted: bool,
    watcher: Watcher,
    subscriber: Subscriber,
    /// The watchers of this domain, best first.
    watchers: Vec<Instance>,
    /// Who was asked last for what the store holds; nobody for the store itself.
    source: Option<Instance>,
    away: BTreeMap<Instance, Reconnect>,
    next: Time,
    leaving: Option<Time>,
    left: Option<Time>,
    stale: bool,
}

impl Listed {
    /// Whether others of this domain may be listed at any moment.
    fn is_early(&self, now: Time) -> bool {
        let begun = self.begun.unwrap_or(now);
        self.watchers.len() <= 1 && !self.restarted && now.since(begun) < START_DELAY
    }
}

impl Core {
    /// Finds members and configuration in the store, from the beginning of the
    /// node on, and shares rates without owners.
    pub fn enable_store_discovery(&mut self, source: Source, bounds: Bounds) {
        self.quota.use_bank(Bank::new(self.identity.peer.clone()));
        self.proxy.set_cold_tolerance(bounds.cold_excess);
        self.listed = Some(Listed {
            bounds,
            directory: Directory::new(self.identity.peer.clone()),
            follower: Follower::new(source),
            asked: BTreeMap::new(),
            begun: None,
            restarted: false,
            watcher: Watcher::default(),
            subscriber: Subscriber::default(),
            watchers: Vec::new(),
            source: None,
            away: BTreeMap::new(),
            next: Time::ZERO,
            leaving: None,
            left: None,
            stale: false,
        });
    }

    /// Tells that the store had a record of a former life of this node.
    pub fn mark_restarted(&mut self) {
        if let Some(listed) = &mut self.listed {
            listed.restarted = true;
        }
    }

    /// Goes by other bounds from now on.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.proxy.set_cold_tolerance(bounds.cold_excess);
        if let Some(listed) = &mut self.listed {
            listed.bounds = bounds;
        }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        let Some(listed) = &self.listed else {
            return self.draining.is_none();
        };
        let age = listed.follower.age(now);
        let fresh = age.is_some_and(|age| age <= listed.bounds.unready_after);
        self.draining.is_none() && self.snapshot.version != Version(0) && fresh
    }

    /// The time since the version in force was certainly the newest.
    pub fn discovered_config_age(&self, now: Time) -> Option<Span> {
        self.listed.as_ref()?.follower.age(now)
    }

    /// Whether a withdrawn key might not be known as such.
    pub(super) fn is_stale(&self, now: Time) -> bool {
        self.listed.as_ref().is_some_and(|listed| {
            let age = listed.follower.age(now);
            age.is_none_or(|age| age > listed.bounds.stale_after)
        })
    }

    /// Whether the stop of this node is so near that no new call may begin. The
    /// platform has stopped sending callers long before.
    pub(super) fn is_closing(&self, now: Time) -> bool {
        let leaving = self.listed.as_ref().and_then(|listed| listed.leaving);
        leaving.is_some_and(|since| now.since(since) >= MIN_DRAIN)
    }

    pub(super) fn listed_refusal(&self) -> Option<Code> {
        (self.snapshot.version == Version(0)).then_some(Code::ConfigAbsent)
    }

    /// When the listing has something to do.
    pub(super) fn listed_due(&self) -> Time {
        let Some(listed) = &self.listed else {
            return Time::NEVER;
        };
        let calls = listed.directory.due().min(listed.follower.due());
        let calls = calls.min(listed.subscriber.due());
        let away = listed.away.values().map(|away| away.next).min();
        calls.min(listed.next).min(away.unwrap_or(Time::NEVER))
    }

    pub(super) fn listed_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(mut listed) = self.listed.take() else {
            return;
        };
        let mut calls = Vec::new();
        let gone = listed.directory.tick(now, &mut calls);
        for (purpose, call) in calls {
            match purpose {
                Purpose::Register => {
                    let number = self.call_store(StoreCaller::Listed, call, out);
                    listed.asked.insert(number, Task::Register);
                }
                Purpose::Watch => listed.subscriber.request(Topic::Members, call.after()),
            }
        }
        listed.begun.get_or_insert(now);
        // Members come first: they tell whom to ask for the rest.
        if listed.directory.has_listing()
            && let Some(call) = listed.follower.tick(now)
        {
            let topic = Topic::Configuration;
            listed.subscriber.request(topic, call.after());
        }
        self.inquire(now, &mut listed, out);
        for (peer, away) in &mut listed.away {
            if now >= away.next {
                away.next = now + away.backoff;
                away.backoff = Span::from_ms(away.backoff.as_ms() * 2).min(MAX_RECONNECT_BACKOFF);
                out.push(Action::Dial(peer.clone()));
            }
        }
        let refresh = now >= listed.next;
        if refresh {
            listed.next = now + REFRESH;
        }
        self.listed = Some(listed);
        self.listed_changes(now, gone, out);
        if refresh {
            self.refresh(now, out);
        }
        self.tokens_tick(now, out);
    }

    /// What follows from members and time.
    fn refresh(&mut self, now: Time, out: &mut Vec<Action>) {
        let watchers = self.listed_watchers();
        let Some(listed) = &mut self.listed else {
            return;
        };
        listed.watchers = watchers;
        let age = listed.follower.age(now);
        let stale = age.is_none_or(|age| age > listed.bounds.stale_after);
        if stale != listed.stale {
            listed.stale = stale;
            out.push(Action::Log(LogEvent::ConfigStaleness { stale, age }));
        }
        let bounds = listed.bounds;
        if let Some(bank) = self.quota.bank() {
            let until = listed.directory.minting_until(now);
            bank.update_nodes(now, until, &listed.directory.token_server_candidates(now));
        }
        let nodes = self.members.len().max(1);
        let seconds = bounds.retry_window.as_secs_f64();
        let slack = bounds.retry_slack / nodes as f64;
        self.router.set_retry_limits(Limits {
            ratio: bounds.retry_ratio * RATIO_SHARE,
            min_rate: slack * FLOOR_SHARE / seconds,
            burst: slack * SAVED_SHARE,
            burst_window: bounds.retry_window.scale(AHEAD_SHARE),
            critical_reserve: RESERVE,
        });
    }

    pub(super) fn listed_store(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(listed) = &mut self.listed else {
            return;
        };
        match listed.asked.remove(&number) {
            Some(Task::Register) => {
                listed
                    .directory
                    .handle_answer(now, Purpose::Register, answer);
            }
            Some(Task::Follow { topic, after, sent }) => {
                listed.watcher.record_answer(topic, sent, after, &answer);
                match topic {
                    Topic::Members => {
                        let changes = listed.directory.handle_answer(now, Purpose::Watch, answer);
                        self.listed_changes(now, changes, out);
                    }
                    Topic::Configuration => {
                        let news = listed.follower.answer(now, answer);
                        self.listed_news(now, news, out);
                    }
                }
            }
            None => {}
        }
        self.listed_tick(now, out);
    }

    fn listed_news(&mut self, now: Time, news: News, out: &mut Vec<Action>) {
        match news {
            News::Nothing => {}
            News::Newer(snapshot) => self.listed_adopt(now, snapshot, out),
            News::Unusable(error) => {
                self.counts.add(Counter::Invalid);
                let reason = error.reason().to_owned();
                out.push(Action::Log(LogEvent::ConfigUnusable(reason)));
            }
        }
    }

    fn listed_adopt(&mut self, now: Time, snapshot: document::Shared, out: &mut Vec<Action>) {
        if snapshot.version != self.snapshot.version {
            out.push(Action::Log(LogEvent::ConfigAdopted(snapshot.version)));
            if let Some(bank) = self.quota.bank() {
                bank.set_teams(now, &snapshot.teams.teams);
            }
        }
        let age = self.discovered_config_age(now);
        for (domain, order) in &snapshot.evacuations {
            if self.snapshot.evacuations.get(domain) != Some(order) {
                out.push(Action::Log(LogEvent::Evacuated {
                    domain: domain.clone(),
                    order: *order,
                    age,
                }));
            }
        }
        self.adopt(snapshot);
        // What waits for an upstream that was just evacuated goes elsewhere at once.
        self.run_proxy(now, inbound::Event::Tick, out);
    }

    fn listed_changes(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Action>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Updated(peer) if peer.instance == self.identity.peer.instance => {}
                Change::Updated(peer) => {
                    out.push(Action::Log(LogEvent::MemberChanged(peer.clone())));
                    self.reached(&peer.instance);
                    self.members.insert(peer);
                }
                Change::Removed(name) if name == self.identity.peer.instance => {}
                Change::Removed(name) => {
                    self.reached(&name);
                    self.members.remove(&name);
                    out.push(Action::Log(LogEvent::MemberRemoved(name.clone())));
                    // Nobody there will answer what is still under way.
                    self.run_router(now, ingress::Event::LinkLost(name.clone()), out);
                    self.router.forget_instance(&name);
                }
            }
        }
        let watchers = self.listed_watchers();
        if let Some(listed) = &mut self.listed {
            listed.watchers = watchers;
        }
    }

    fn reached(&mut self, peer: &Instance) {
        if let Some(listed) = &mut self.listed {
            listed.away.remove(peer);
        }
    }

    /// A link to a member broke, or could not be made: it gets no work while
    /// others are there, and is dialed until it answers.
    pub(super) fn listed_broken(&mut self, now: Time, peer: &Instance) {
        let Some(listed) = &mut self.listed else {
            return;
        };
        listed.subscriber.peer_unreachable(now, peer);
        let Some(member) = self.members.get(peer).cloned() else {
            return;
        };
        listed.away.entry(peer.clone()).or_insert(Reconnect {
            next: now + FIRST_RECONNECT_BACKOFF,
            backoff: FIRST_RECONNECT_BACKOFF,
        });
        if member.status == Status::Alive {
            self.members.insert(Peer {
                status: Status::Suspect,
                ..member
            });
        }
    }

    /// A link to a member was made.
    pub(super) fn listed_linked(&mut self, peer: &Instance) {
        self.reached(peer);
        if let Some(member) = self.members.get(peer).cloned()
            && member.status == Status::Suspect
        {
            self.members.insert(Peer {
                status: Status::Alive,
                ..member
            });
        }
    }

    /// This node's upstream takes requests, or takes none any more.
    pub(super) fn listed_ready(&mut self, now: Time, ready: bool) {
        self.identity.peer.ready = ready;
        self.listed_announce(now);
    }

    fn listed_announce(&mut self, now: Time) {
        let me = self.identity.peer.clone();
        self.members.insert(me.clone());
        if let Some(listed) = &mut self.listed {
            listed.directory.announce(now, me);
        }
    }

    pub(super) fn listed_drain(&mut self, now: Time) {
        let Some(listed) = &mut self.listed else {
            return;
        };
        if listed.leaving.is_none() {
            listed.leaving = Some(now);
            self.identity.peer.status = Status::Leaving;
            self.listed_announce(now);
        }
    }

    /// Whether this node may go, once nothing runs any more.
    pub(super) fn listed_left(&mut self, now: Time) -> bool {
        let Some(listed) = &mut self.listed else {
            return true;
        };
        if listed
            .leaving
            .is_none_or(|since| now.since(since) < MIN_DRAIN)
        {
            return false;
        }
        let left = *listed.left.get_or_insert_with(|| {
            listed.directory.leave(now);
            now
        });
        listed.directory.has_left() || now.since(left) >= DEREGISTER_TIMEOUT
    }
}
