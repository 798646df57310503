//! Discovery through the store: nodes find members and configuration in the store
//! and share rates without gossip, seat leases or idempotency records.

mod departures;
mod inquiry;
mod tokens;
mod unlisted;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    panic::{
        AssertUnwindSafe,
        catch_unwind,
        resume_unwind, //
    },
};

pub use self::departures::Message as DepartureMessage;
use self::unlisted::Unlisted;
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
    contact::{
        self,
        Contact, //
    },
    directory::{
        Change,
        Directory,
        Purpose, //
    },
    document,
    feed::{
        Confirmation,
        Subscriber,
        Topic,
        Watcher, //
    },
    follow::{
        Follower,
        Update, //
    },
    id::{
        Instance,
        Revision,
        Version, //
    },
    inbound,
    interface::Source,
    introducer::Introduction,
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

/// Interval at which the state derived from the members is recomputed.
const REFRESH_INTERVAL: Span = Span::from_ms(100);
/// Minimum time that a leaving node keeps serving callers: the platform checks
/// readiness twice, one second apart, before it routes callers elsewhere.
const MIN_DRAIN: Span = Span::from_ms(3000);
/// How long a leaving node waits for the store to delete its record.
const DEREGISTER_TIMEOUT: Span = Span::from_ms(400);
/// First and longest delay between attempts to reconnect to a member.
const FIRST_RECONNECT_BACKOFF: Span = Span::from_ms(200);
const MAX_RECONNECT_BACKOFF: Span = Span::from_secs(2);

/// Limits that operators set for the fleet as a whole.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// API keys are rejected once the last confirmation of the configuration is
    /// older than this.
    pub stale_after: Span,
    /// The node reports that it is not ready for callers once the last
    /// confirmation is older than this.
    pub unready_after: Span,
    /// A change in the store must be in force at every node within this time.
    pub propagation: Span,
    /// Retries allowed per first attempt at one pool, over the whole fleet.
    pub retry_ratio: f64,
    /// Retries at one pool allowed per window in addition to the ratio, over the
    /// whole fleet.
    pub retry_slack: f64,
    /// The window of `retry_slack`.
    pub retry_window: Span,
    /// How far the requests sent to a cold upstream may exceed its rate.
    pub cold_excess: warmup::Tolerance,
    /// Time that a shutdown may take, unless the node's settings specify one.
    pub grace: Option<Span>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stale_after: Span::from_secs(4),
            unready_after: Span::from_secs(3),
            propagation: Span::from_secs(2),
            retry_ratio: 0.2,
            retry_slack: 48.0,
            retry_window: Span::from_secs(10),
            cold_excess: warmup::Tolerance::default(),
            grace: None,
        }
    }
}

/// The share of the allowed retry ratio that nodes use. Retries may in addition
/// be accumulated over a fifth of the window, so that both together stay within
/// the bound.
const RETRY_RATIO_SHARE: f64 = 0.8;
const RETRY_BURST_WINDOW_SHARE: f64 = 0.2;
/// The share of the slack that is granted at a constant rate, and the share that
/// may be accumulated.
const RETRY_MIN_RATE_SHARE: f64 = 0.4;
const RETRY_BURST_SHARE: f64 = 0.4;
/// The share of the accumulated retries that is reserved for critical requests
/// and calls.
const CRITICAL_RETRY_SHARE: f64 = 0.5;

/// A store call that is waiting for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingCall {
    Register,
    Departure,
    Introduce,
    Follow(Query),
    Check(Query),
}

/// A call to the store about the changes of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Query {
    topic: Topic,
    after: Option<Revision>,
    sent: Time,
    wait: Span,
}

impl Query {
    /// How recent an answer is; `None` if it says nothing about changes.
    fn confirmation(&self, now: Time, answer: &store::Answer) -> Option<Confirmation> {
        Some(Confirmation {
            confirmed_at: self.sent,
            heard_at: contact::heard_at(self.sent, self.wait, now, answer)?,
        })
    }
}

/// Where a node gets members and configuration from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FeedSource {
    /// Nowhere, until an introducer is found, or while neither a watcher nor the store
    /// answers.
    Unknown,
    /// From the store itself.
    Store,
    /// From a watcher, or at first from the introducer.
    Peer(Instance),
}

/// Reconnect state of an unreachable member.
#[derive(Clone, Copy, Debug)]
struct Reconnect {
    next: Time,
    backoff: Span,
}

/// Number of watcher candidates of a domain; other nodes ask them in rank order.
const WATCHER_CANDIDATES: usize = 3;
/// Rendezvous-hash seed for the selection of watchers.
const WATCHER_HASH_SEED: u64 = 0x3a7c;

/// How long an introducer watches the store even if nobody asks it yet.
const INTRODUCER_WATCH_TIME: Span = Span::from_secs(5);
/// How long an introducer counts as a member without a record: it may answer before it has
/// written one.
const UNLISTED_RETENTION: Span = Span::from_secs(5);

/// State of discovery through the store.
#[derive(Debug)]
pub(super) struct Discovery {
    bounds: Bounds,
    directory: Directory,
    follower: Follower,
    introduction: Introduction,
    /// The introducer that was added to the members, and when.
    unlisted_introducer: Option<(Instance, Time)>,
    pending_calls: BTreeMap<u64, PendingCall>,
    /// Topics on which the last call to the store failed.
    failing_topics: BTreeSet<Topic>,
    contact: Contact,
    watcher: Watcher,
    subscriber: Subscriber,
    /// The watchers of this domain, highest rank first.
    watchers: Vec<Instance>,
    /// The watcher that was asked last. It is preferred to those of a higher rank for
    /// as long as it answers: the ranking changes with every member that is found, and
    /// each change of the watcher costs store calls.
    current: Option<Instance>,
    /// Where members and configuration come from at present.
    source: FeedSource,
    unreachable: BTreeMap<Instance, Reconnect>,
    unlisted: Unlisted,
    next_refresh: Time,
    leaving_since: Option<Time>,
    deregistering_since: Option<Time>,
    is_stale: bool,
}

/// What is left to do after a tick of discovery.
struct Ticked {
    /// Members whose grace period is over.
    removed: Vec<Change>,
    /// Kept members that no longer answer.
    silent: Vec<Instance>,
    /// Whether the state derived from the members is to be recomputed.
    refresh: bool,
}

impl Discovery {
    /// Records an answer of the store about a topic, for other nodes and for the time
    /// since this node heard of it.
    fn record_answer(&mut self, now: Time, query: Query, answer: &store::Answer) {
        let Query { topic, after, .. } = query;
        let confirmation = query.confirmation(now, answer);
        if let Some(confirmation) = confirmation {
            self.contact.store_answered(now);
            self.contact.heard(topic, confirmation.heard_at);
        }
        let confirmation = confirmation.unwrap_or(Confirmation::at(query.sent));
        self.watcher
            .record_answer(topic, confirmation, after, answer);
    }
}

impl Core {
    /// Enables discovery of members and configuration through the store, and rate
    /// sharing without quota owners. Must be called when the node starts.
    pub fn enable_store_discovery(&mut self, source: Source, bounds: Bounds) {
        self.quota.use_bank(Bank::new(self.identity.peer.clone()));
        self.proxy.set_cold_tolerance(bounds.cold_excess);
        self.discovery = Some(Discovery {
            bounds,
            directory: Directory::new(self.identity.peer.clone()),
            follower: Follower::new(source),
            introduction: Introduction::new(self.identity.peer.clone()),
            unlisted_introducer: None,
            pending_calls: BTreeMap::new(),
            failing_topics: BTreeSet::new(),
            contact: Contact::new(contact::Limits::within(bounds.propagation)),
            watcher: Watcher::default(),
            subscriber: Subscriber::default(),
            watchers: Vec::new(),
            current: None,
            source: FeedSource::Unknown,
            unreachable: BTreeMap::new(),
            unlisted: Unlisted::default(),
            next_refresh: Time::ZERO,
            leaving_since: None,
            deregistering_since: None,
            is_stale: false,
        });
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.proxy.set_cold_tolerance(bounds.cold_excess);
        if let Some(discovery) = &mut self.discovery {
            discovery.bounds = bounds;
            let limits = contact::Limits::within(bounds.propagation);
            discovery.contact.set_limits(limits);
        }
    }

    /// Returns the time that a shutdown may take according to the bounds.
    pub fn grace(&self) -> Option<Span> {
        self.discovery.as_ref()?.bounds.grace
    }

    /// Returns whether callers may be routed to this node.
    pub fn is_ready(&self, now: Time) -> bool {
        let Some(discovery) = &self.discovery else {
            return self.draining.is_none();
        };
        let age = discovery.follower.age(now);
        let is_fresh = age.is_some_and(|age| age <= discovery.bounds.unready_after);
        self.draining.is_none() && self.snapshot.version != Version(0) && is_fresh
    }

    /// Returns the time since the version in effect was last known to be the
    /// newest.
    pub fn discovered_config_age(&self, now: Time) -> Option<Span> {
        self.discovery.as_ref()?.follower.age(now)
    }

    /// Returns whether the configuration is so old that a key withdrawn since may
    /// not be known here.
    pub(super) fn is_stale(&self, now: Time) -> bool {
        self.discovery.as_ref().is_some_and(|discovery| {
            let age = discovery.follower.age(now);
            age.is_none_or(|age| age > discovery.bounds.stale_after)
        })
    }

    /// Returns whether this node is about to stop and accepts no new calls. The
    /// platform has stopped routing callers to it well before.
    pub(super) fn is_closing(&self, now: Time) -> bool {
        let leaving = self
            .discovery
            .as_ref()
            .and_then(|discovery| discovery.leaving_since);
        leaving.is_some_and(|since| now.since(since) >= MIN_DRAIN)
    }

    pub(super) fn discovery_refusal(&self) -> Option<Code> {
        (self.snapshot.version == Version(0)).then_some(Code::ConfigAbsent)
    }

    /// Returns when discovery next needs a tick.
    pub(super) fn discovery_due(&self) -> Time {
        let Some(discovery) = &self.discovery else {
            return Time::NEVER;
        };
        let calls = discovery
            .directory
            .due()
            .min(discovery.follower.next_call_at());
        let calls = calls.min(discovery.subscriber.due());
        let is_watching = discovery.source == FeedSource::Store;
        let calls = calls.min(discovery.contact.due(is_watching));
        let calls = match discovery.directory.has_listing() {
            true => calls,
            false => calls.min(discovery.introduction.due()),
        };
        let calls = calls.min(discovery.unlisted.due(discovery.directory.has_lapsed()));
        let next_dial = discovery.unreachable.values().map(|peer| peer.next).min();
        calls
            .min(discovery.next_refresh)
            .min(next_dial.unwrap_or(Time::NEVER))
    }

    pub(super) fn discovery_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(mut discovery) = self.discovery.take() else {
            return;
        };
        // Without its state the node would follow nothing, and still count as ready.
        let ticked = catch_unwind(AssertUnwindSafe(|| {
            self.tick_discovery(now, &mut discovery, out)
        }));
        self.discovery = Some(discovery);
        let Ticked {
            removed,
            silent,
            refresh,
        } = ticked.unwrap_or_else(|panic| resume_unwind(panic));
        self.apply_member_changes(now, removed, out);
        for member in silent {
            self.remove_member(&member, out);
        }
        if refresh {
            self.refresh(now, out);
        }
        self.bank_tick(now, out);
    }

    fn tick_discovery(
        &mut self,
        now: Time,
        discovery: &mut Discovery,
        out: &mut Vec<Action>,
    ) -> Ticked {
        for invalid in discovery.directory.take_invalid() {
            self.counts.add(Counter::RecordInvalid);
            if invalid.is_new {
                out.push(Action::Log(LogEvent::RecordInvalid {
                    key: invalid.key,
                    revision: invalid.revision,
                }));
            }
        }
        let mut calls = Vec::new();
        let removed = discovery.directory.tick(now, &mut calls);
        for (purpose, call) in calls {
            match purpose {
                Purpose::Register => {
                    let number = self.call_store(StoreCaller::Discovery, call, out);
                    discovery
                        .pending_calls
                        .insert(number, PendingCall::Register);
                }
                Purpose::Departure => {
                    let number = self.call_store(StoreCaller::Discovery, call, out);
                    discovery
                        .pending_calls
                        .insert(number, PendingCall::Departure);
                }
                Purpose::Watch => discovery.subscriber.request(Topic::Members, call.after()),
            }
        }
        self.tick_departures(now, discovery, out);
        if let Some(call) = discovery.follower.tick(now) {
            let topic = Topic::Configuration;
            discovery.subscriber.request(topic, call.after());
        }
        if !discovery.directory.has_listing()
            && let Some(call) = discovery.introduction.tick(now)
        {
            let number = self.call_store(StoreCaller::Discovery, call, out);
            discovery
                .pending_calls
                .insert(number, PendingCall::Introduce);
        }
        self.query_watcher_or_store(now, discovery, out);
        self.check_store(now, discovery, out);
        for (peer, reconnect) in &mut discovery.unreachable {
            if now >= reconnect.next {
                reconnect.next = now + reconnect.backoff;
                reconnect.backoff =
                    Span::from_ms(reconnect.backoff.as_ms() * 2).min(MAX_RECONNECT_BACKOFF);
                out.push(Action::Dial(peer.clone()));
            }
        }
        let lapsed = discovery.directory.lapsed();
        for peer in discovery.unlisted.due_pings(now, lapsed) {
            out.push(Action::Ping(peer));
        }
        let silent = discovery.unlisted.take_silent(now);
        let refresh = now >= discovery.next_refresh;
        if refresh {
            discovery.next_refresh = now + REFRESH_INTERVAL;
        }
        Ticked {
            removed,
            silent,
            refresh,
        }
    }

    /// Recomputes the state derived from the members and the current time.
    fn refresh(&mut self, now: Time, out: &mut Vec<Action>) {
        self.forget_unlisted_introducer(now);
        self.update_watchers();
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let age = discovery.follower.age(now);
        let stale = age.is_none_or(|age| age > discovery.bounds.stale_after);
        if stale != discovery.is_stale {
            discovery.is_stale = stale;
            out.push(Action::Log(LogEvent::ConfigStaleness { stale, age }));
        }
        let bounds = discovery.bounds;
        if let Some(bank) = self.quota.bank() {
            let until = discovery.directory.minting_until(now);
            bank.update_nodes(
                now,
                until,
                &discovery.directory.token_server_candidates(now),
            );
        }
        let nodes = self.members.len().max(1);
        let seconds = bounds.retry_window.as_secs_f64();
        let slack = bounds.retry_slack / nodes as f64;
        self.router.set_retry_limits(Limits {
            ratio: bounds.retry_ratio * RETRY_RATIO_SHARE,
            min_rate: slack * RETRY_MIN_RATE_SHARE / seconds,
            burst: slack * RETRY_BURST_SHARE,
            burst_window: bounds.retry_window.scale(RETRY_BURST_WINDOW_SHARE),
            critical_reserve: CRITICAL_RETRY_SHARE,
        });
    }

    pub(super) fn discovery_store_answer(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        match discovery.pending_calls.remove(&number) {
            Some(PendingCall::Register) => {
                match answer {
                    store::Answer::Lost => discovery.contact.store_lost(now),
                    _ => discovery.contact.store_answered(now),
                }
                discovery
                    .directory
                    .handle_answer(now, Purpose::Register, answer);
            }
            Some(PendingCall::Departure) => {
                let was_stored = discovery.directory.has_stored_departure();
                discovery
                    .directory
                    .handle_answer(now, Purpose::Departure, answer);
                if !was_stored && discovery.directory.has_stored_departure() {
                    out.push(Action::DepartureStored);
                }
            }
            Some(PendingCall::Introduce) => discovery.introduction.handle_answer(now, answer),
            Some(PendingCall::Follow(query)) => self.handle_watch_answer(now, query, answer, out),
            Some(PendingCall::Check(query)) => self.handle_check_answer(now, query, answer, out),
            None => {}
        }
        self.discovery_tick(now, out);
    }

    fn handle_watch_answer(
        &mut self,
        now: Time,
        query: Query,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        self.log_watch_outcome(now, query, &answer, out);
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        discovery.record_answer(now, query, &answer);
        match query.topic {
            Topic::Members => {
                let changes = discovery
                    .directory
                    .handle_answer(now, Purpose::Watch, answer);
                self.apply_member_changes(now, changes, out);
            }
            Topic::Configuration => {
                let news = discovery.follower.answer(now, answer);
                self.handle_config_update(now, news, None, out);
            }
        }
    }

    /// Logs the first failure after a success of the calls about a topic.
    fn log_watch_outcome(
        &mut self,
        now: Time,
        query: Query,
        answer: &store::Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let Query { topic, sent, .. } = query;
        if *answer != store::Answer::Lost {
            discovery.failing_topics.remove(&topic);
            return;
        }
        self.counts.add(Counter::WatchFailed(topic));
        if discovery.failing_topics.insert(topic) {
            out.push(Action::Log(LogEvent::WatchFailed {
                topic,
                waited: now.since(sent),
                watching: discovery.watcher.has_recent_questions(now),
            }));
        }
    }

    /// Handles news on the configuration, from a watcher or, if `None`, the store.
    fn handle_config_update(
        &mut self,
        now: Time,
        news: Update,
        watcher: Option<Instance>,
        out: &mut Vec<Action>,
    ) {
        match news {
            Update::Nothing => {}
            Update::Newer(snapshot) => self.adopt_discovered_config(now, snapshot, watcher, out),
            Update::Unusable(error) => {
                self.counts.add(Counter::Invalid);
                let reason = error.reason().to_owned();
                out.push(Action::Log(LogEvent::ConfigUnusable(reason)));
            }
        }
    }

    fn adopt_discovered_config(
        &mut self,
        now: Time,
        snapshot: document::Shared,
        watcher: Option<Instance>,
        out: &mut Vec<Action>,
    ) {
        if snapshot.version != self.snapshot.version {
            out.push(Action::Log(LogEvent::ConfigAdopted {
                version: snapshot.version,
                age: self.discovered_config_age(now),
                watcher,
            }));
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
        // Requests queued for an upstream that was just evacuated move elsewhere
        // at once.
        self.run_proxy(now, inbound::Event::Tick, out);
    }

    fn apply_member_changes(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Action>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Updated(peer) if peer.instance == self.identity.peer.instance => {}
                Change::Updated(peer) => {
                    out.push(Action::Log(LogEvent::MemberChanged(peer.clone())));
                    self.mark_reachable(&peer.instance);
                    if let Some(discovery) = &mut self.discovery {
                        discovery.unlisted.forget(&peer.instance);
                    }
                    self.pass_on_departures(now, &peer, out);
                    self.members.insert(peer);
                }
                Change::Removed(name) if name == self.identity.peer.instance => {}
                Change::Removed(name) => self.on_record_vanished(now, name, out),
            }
        }
        self.update_watchers();
    }

    /// Handles the end of the grace period of a member without a record. It stays a member
    /// if it answers over its link, unless it has announced that it leaves.
    fn on_record_vanished(&mut self, now: Time, name: Instance, out: &mut Vec<Action>) {
        let is_leaving = self
            .members
            .get(&name)
            .is_none_or(|member| member.status == Status::Leaving);
        if let Some(discovery) = &mut self.discovery
            && !is_leaving
            && discovery.unlisted.keep(now, &name)
        {
            return out.push(Action::Log(LogEvent::MemberUnlisted(name)));
        }
        self.remove_member(&name, out);
    }

    /// Removes a member. What still runs there ends with the link to it.
    fn remove_member(&mut self, name: &Instance, out: &mut Vec<Action>) {
        if let Some(discovery) = &mut self.discovery {
            discovery.unlisted.forget(name);
        }
        self.mark_reachable(name);
        self.members.remove(name);
        self.router.forget_instance(name);
        out.push(Action::Log(LogEvent::MemberRemoved(name.clone())));
    }

    /// Handles a sign of life that a member without a record was asked for.
    pub(super) fn discovery_pong(&mut self, now: Time, peer: &Instance) {
        if let Some(discovery) = &mut self.discovery
            && (discovery.directory.is_lapsed(peer) || discovery.unlisted.is_kept(peer))
        {
            discovery.unlisted.record_answer(now, peer);
        }
    }

    fn mark_reachable(&mut self, peer: &Instance) {
        if let Some(discovery) = &mut self.discovery {
            discovery.unreachable.remove(peer);
        }
    }

    /// Handles a lost link, or a failure to open one. The member gets no work
    /// while other members are available, and is dialed until it answers.
    pub(super) fn discovery_link_lost(&mut self, now: Time, peer: &Instance) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        discovery.subscriber.peer_unreachable(now, peer);
        let introducer = discovery.introduction.introducer();
        if !discovery.directory.has_listing()
            && introducer.is_some_and(|introducer| introducer.instance == *peer)
        {
            discovery.introduction.introducer_failed(now);
        }
        let Some(member) = self.members.get(peer).cloned() else {
            return;
        };
        discovery
            .unreachable
            .entry(peer.clone())
            .or_insert(Reconnect {
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

    /// Handles a newly opened link to a member.
    pub(super) fn discovery_link_opened(&mut self, peer: &Instance) {
        self.mark_reachable(peer);
        if let Some(member) = self.members.get(peer).cloned()
            && member.status == Status::Suspect
        {
            self.members.insert(Peer {
                status: Status::Alive,
                ..member
            });
        }
    }

    /// Updates and announces whether this node's upstream accepts requests.
    pub(super) fn discovery_set_ready(&mut self, now: Time, ready: bool) {
        self.identity.peer.ready = ready;
        self.discovery_announce(now);
    }

    fn discovery_announce(&mut self, now: Time) {
        let me = self.identity.peer.clone();
        self.members.insert(me.clone());
        if let Some(discovery) = &mut self.discovery {
            discovery.directory.announce(now, me);
        }
    }

    pub(super) fn discovery_drain(&mut self, now: Time) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        if discovery.leaving_since.is_none() {
            discovery.leaving_since = Some(now);
            self.identity.peer.status = Status::Leaving;
            self.discovery_announce(now);
        }
    }

    /// Returns whether this node may stop once nothing is running any more. After
    /// [`MIN_DRAIN`] it starts to delete its record from the store.
    pub(super) fn discovery_finish_leaving(&mut self, now: Time) -> bool {
        let Some(discovery) = &mut self.discovery else {
            return true;
        };
        if discovery
            .leaving_since
            .is_none_or(|since| now.since(since) < MIN_DRAIN)
        {
            return false;
        }
        let left = *discovery.deregistering_since.get_or_insert_with(|| {
            discovery.directory.leave(now);
            discovery.contact.forget(Topic::Members);
            now
        });
        let is_done = discovery.directory.has_left() && discovery.directory.has_stored_departure();
        is_done || now.since(left) >= DEREGISTER_TIMEOUT
    }
}
