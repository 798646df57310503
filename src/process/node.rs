//! The state machine of one node, free of I/O.
//!
//! [`Core::on`] consumes one [`Event`] and appends the resulting [`Action`]s. The
//! server executes actions on the network; the simulation driver used by tests
//! and measurements executes them in virtual time. Both run the same code.

mod event;
mod fleet;
mod listed;
mod rights;

use self::event::node_action;
pub(crate) use self::fleet::WATCHER_AND_SEED_SALT;
pub use self::{
    event::{
        Action,
        Call,
        Event,
        LogEvent,
        Origin, //
    },
    listed::{
        Bounds,
        DepartureMessage, //
    },
};

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    admission::seen::Levels,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    document,
    event::Load,
    frame::Frame,
    id,
    inbound,
    ingress::{
        self,
        OpenCalls, //
    },
    member,
    message::{
        DATAGRAM_LIMIT,
        Message, //
    },
    metric::{
        Counter,
        Counts,
        Kind, //
    },
    outcome::{
        Refusal,
        Report, //
    },
    policy::{
        Policy,
        Scheduling, //
    },
    quota::Holder,
    store,
    suspect, //
};

/// How long a leaving node still accepts calls from external callers.
const LEAVING_GRACE_PERIOD: Span = Span::from_secs(1);

/// The subsystem that issued a store call and receives its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreCaller {
    Gossip,
    Discovery,
    Leases,
}

/// A node's own member record and random seed.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The node as its peers see it.
    pub peer: member::Peer,
    /// The seed of all random choices of the node.
    pub seed: u64,
}

/// The state machine of one node.
#[derive(Debug)]
pub struct Core {
    identity: Identity,
    snapshot: document::Shared,
    members: member::Table,
    gossip: fleet::Gossip,
    discovery: Option<listed::Discovery>,
    quota: Holder,
    leases: rights::Leases,
    router: ingress::Router,
    proxy: inbound::Proxy,
    levels: Levels,
    policy: Policy,
    rng: ChaCha8Rng,
    counts: Counts,
    pending_store_calls: BTreeMap<u64, StoreCaller>,
    last_store_call: u64,
    draining: Option<Time>,
    /// From when on no caller is answered any more.
    ends_at: Time,
    /// Whether the process is about to exit.
    stopping: bool,
}

impl Core {
    /// Creates a node whose only known member is itself.
    pub fn new(identity: Identity) -> Self {
        let mut members = member::Table::default();
        members.insert(identity.peer.clone());
        Self {
            snapshot: document::Shared::default(),
            members,
            gossip: fleet::Gossip::new(
                identity.peer.instance.clone(),
                identity.seed.wrapping_add(2),
            ),
            discovery: None,
            quota: Holder::new(identity.peer.instance.clone(), identity.peer.incarnation),
            leases: rights::Leases::new(
                identity.peer.instance.clone(),
                identity.peer.incarnation,
                identity.seed.wrapping_add(1),
            ),
            router: ingress::Router::new(&identity.peer),
            proxy: inbound::Proxy::new(
                identity.peer.incarnation,
                identity.peer.pool.clone(),
                identity.peer.ready,
            ),
            levels: Levels::default(),
            policy: Policy::default(),
            rng: ChaCha8Rng::seed_from_u64(identity.seed),
            counts: Counts::default(),
            pending_store_calls: BTreeMap::new(),
            last_store_call: 0,
            draining: None,
            ends_at: Time::NEVER,
            stopping: false,
            identity,
        }
    }

    /// Makes a configuration take effect.
    pub fn adopt(&mut self, snapshot: document::Shared) {
        self.members
            .set_evacuated_domains(snapshot.evacuated().cloned().collect());
        self.snapshot = snapshot;
    }

    /// Returns the configuration in effect.
    pub fn snapshot(&self) -> &document::Shared {
        &self.snapshot
    }

    /// Returns the membership table, to inspect it or to add members.
    pub fn members(&mut self) -> &mut member::Table {
        &mut self.members
    }

    /// Returns the current load of the upstream.
    pub(crate) fn load(&self, now: Time) -> Load {
        self.proxy.load(now)
    }

    /// Returns the metric counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the load report that is sent with the head of this attempt's
    /// answer.
    pub fn report(&mut self, now: Time, request: id::Request) -> Report {
        self.proxy.answer(now, request, &self.levels, self.policy)
    }

    /// Charges a health probe against the requests that the upstream may
    /// receive. Returns whether the probe may be sent now.
    pub fn try_admit_probe(&mut self, now: Time) -> bool {
        let is_allowed = self.proxy.start_probe(now);
        if is_allowed {
            self.counts.add(Counter::Started(Kind::Probe));
        }
        is_allowed
    }

    /// Returns whether this node advertises its upstream as ready to other nodes.
    pub(crate) fn is_offered(&self) -> bool {
        self.proxy.is_offered()
    }

    /// Selects which overload-control mechanisms are enabled.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Selects which mechanisms for scarce and uneven capacity are enabled.
    pub fn set_scheduling(&mut self, scheduling: Scheduling) {
        self.policy.scheduling = scheduling;
    }

    /// Records that the caller was given the head of its answer.
    pub fn record_delivered(&mut self, call: id::Call) {
        self.router.record_delivered(call);
    }

    /// Returns from when on no caller is answered any more, as the node stops;
    /// [`Time::NEVER`] while it does not drain.
    pub fn ends_at(&self) -> Time {
        self.ends_at
    }

    /// Returns the attempts at an instance that have not ended.
    pub fn attempts_at(&self, peer: &id::Instance) -> Vec<id::Request> {
        self.router.attempts_at(peer)
    }

    /// Records that a part of a body arrived from a node or was taken by it.
    pub(crate) fn record_body_progress(&mut self, now: Time, peer: &id::Instance) {
        self.router.record_body_progress(now, peer);
    }

    /// Returns when request processing or discovery next needs an
    /// [`Event::Tick`].
    pub fn due(&self) -> Time {
        let requests = self.router.due().min(self.proxy.due());
        requests.min(self.discovery_due())
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn on(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.discovery.is_none() {
            self.gossip_advance_clock(now);
        }
        match event {
            Event::Call(call) => self.on_call(now, call, out),
            Event::CallerGone(call) => self.run_router(now, ingress::Event::CallerGone(call), out),
            Event::Frame(peer, frame) => self.on_frame(now, peer, frame, out),
            Event::AttemptUnsent(request) => {
                self.run_router(now, ingress::Event::AttemptUnsent(request), out);
            }
            Event::AnswerLost(call, request) => {
                self.run_router(now, ingress::Event::AnswerLost(call, request), out);
            }
            Event::OutboundLinkLost(peer, lost) => {
                self.run_router(now, ingress::Event::LinkLost(peer.clone(), lost), out);
                match self.discovery.is_some() {
                    true => self.discovery_link_lost(now, &peer),
                    false => self.gossip_link_lost(now, &peer, out),
                }
            }
            Event::OutboundLinkOpened(peer) => self.discovery_link_opened(&peer),
            Event::Pong(peer) => self.discovery_pong(now, &peer),
            Event::InboundLinkLost(peer) => self.run_proxy(now, inbound::Event::Broken(peer), out),
            Event::AnswerCaptured(request, whole) => self.store_record_answer(request, whole),
            Event::AttemptEnded(request, end) => {
                self.record_attempt_ended(now, request, end, out);
                self.run_proxy(now, inbound::Event::Ended(request, end), out)
            }
            Event::UpstreamReady(ready) => {
                self.run_proxy(now, inbound::Event::Ready(ready), out);
                self.announce_readiness(now, self.proxy.is_offered());
            }
            Event::UpstreamHealth(healthy) => {
                self.run_proxy(now, inbound::Event::Health(healthy), out)
            }
            Event::UpstreamCapacity(slots) => {
                self.run_proxy(now, inbound::Event::Capacity(slots), out)
            }
            Event::UpstreamWarmup(left) => self.run_proxy(now, inbound::Event::Warmup(left), out),
            Event::UpstreamSignal(signal, started) => {
                self.on_upstream_event(now, inbound::Event::Signal { signal, started }, out);
            }
            Event::UpstreamLeaving(leaving) => {
                if !leaving {
                    self.on_return();
                }
                self.run_proxy(now, inbound::Event::Leaving(leaving), out)
            }
            Event::UpstreamDeparted(departure) => self.on_departure(now, departure, out),
            Event::UpstreamStarted(upstream) => {
                self.on_upstream_event(now, inbound::Event::Upstream(upstream), out);
            }
            Event::Datagram(from, message) => self.on_message(now, Some(from), message, out),
            Event::StoreAnswer(number, answer) => self.on_store_answer(now, number, answer, out),
            Event::Survey => self.survey(now, out),
            Event::Drain(limit) => {
                if self.draining.is_none() {
                    self.draining = Some(now);
                    self.ends_at = now + limit;
                }
                self.run_proxy(now, inbound::Event::Drain, out);
                if self.discovery.is_some() {
                    return self.discovery_drain(now);
                }
                self.gossip_drain(now, out);
                self.leases_drain(now, out);
            }
            Event::DrainEnded => {
                self.stopping = true;
                let open = self.router.open_calls();
                if open != OpenCalls::default() {
                    out.push(Action::Log(LogEvent::DrainEnded(open)));
                }
                self.run_router(now, ingress::Event::Stop, out);
            }
            Event::Tick => self.on_tick(now, out),
        }
    }

    /// Handles an event about the upstream, and announces its readiness to the
    /// other nodes if the event changed it.
    fn on_upstream_event(&mut self, now: Time, event: inbound::Event, out: &mut Vec<Action>) {
        let was_offered = self.proxy.is_offered();
        self.run_proxy(now, event, out);
        let is_offered = self.proxy.is_offered();
        if is_offered != was_offered {
            self.announce_readiness(now, is_offered);
        }
    }

    /// Announces to the other nodes whether the upstream accepts requests.
    fn announce_readiness(&mut self, now: Time, ready: bool) {
        match self.discovery.is_some() {
            true => self.discovery_set_ready(now, ready),
            false => self.gossip_set_ready(now, ready),
        }
    }

    /// Passes an answer of the store to the subsystem that made the call. The call counts
    /// as answered only after that, so that an answer that cannot be handled can be
    /// followed by [`store::Answer::Lost`].
    fn on_store_answer(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        let caller = match answer {
            store::Answer::Lost => self.pending_store_calls.remove(&number),
            _ => self.pending_store_calls.get(&number).copied(),
        };
        let Some(caller) = caller else { return };
        match caller {
            StoreCaller::Gossip => self.gossip_store_answer(now, number, answer, out),
            StoreCaller::Discovery => self.discovery_store_answer(now, number, answer, out),
            StoreCaller::Leases => self.leases_store_answer(now, number, answer, out),
        }
        self.pending_store_calls.remove(&number);
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.run_router(now, ingress::Event::Tick, out);
        self.run_proxy(now, inbound::Event::Tick, out);
        let idle = self.router.is_empty() && self.proxy.is_empty();
        if self.discovery.is_some() {
            self.discovery_tick(now, out);
            if self.draining.is_some() && idle && self.discovery_finish_leaving(now) {
                out.push(Action::Stop);
            }
            return;
        }
        self.gossip_tick(now, out);
        self.leases_tick(now, out);
        let released = idle && self.leases_released(now);
        if self.draining.is_some() && released && self.gossip_finish_leaving(now, out) {
            out.push(Action::Stop);
        }
    }

    /// Returns the code with which a leaving node refuses a call, if it does.
    ///
    /// Callers that keep calling a leaving node would otherwise prevent it from
    /// ever stopping. They are served during a grace period, because they learn
    /// that the node is leaving only from their next answer. After that they are
    /// refused immediately and can use any other node.
    fn leaving_refusal(&self, now: Time, origin: &Origin) -> Option<Code> {
        if self.stopping {
            return Some(Code::Leaving);
        }
        if self.discovery.is_some() {
            // The platform stops sending callers once the readiness endpoint
            // reports not ready; calls that still arrive are served.
            return None;
        }
        let grace_expired = |since: Time| now.since(since) > LEAVING_GRACE_PERIOD;
        let is_caller = matches!(origin, Origin::Caller(_));
        (is_caller && self.draining.is_some_and(grace_expired)).then_some(Code::Leaving)
    }

    fn on_call(&mut self, now: Time, call: Call, out: &mut Vec<Action>) {
        let leaving_refusal = self.leaving_refusal(now, &call.origin);
        let refusal = match self.discovery.is_some() {
            true => self.discovery_refusal(),
            false => self.gossip_refusal(now, &call.origin),
        };
        if let Some(code) = leaving_refusal.or(refusal) {
            self.counts.add(Counter::Refused(code));
            out.push(Action::Refuse(call.call, Refusal::unsent(code)));
            return;
        }
        let origin = match call.origin {
            Origin::Caller(key) => ingress::Origin::Caller { key },
            Origin::Service(token) => ingress::Origin::Service {
                parent: token.and_then(|token| self.proxy.nested_context(now, token)),
            },
        };
        let arrival = ingress::Arrival {
            call: call.call,
            origin,
            host: call.host,
            method: call.method,
            path: call.path,
            claim: call.claim,
            replayable: call.replayable,
            digest: call.digest,
            left: call.left,
            connection: call.connection,
            stale: self.is_stale(now),
            leaving: self.is_closing(now),
        };
        self.run_router(now, ingress::Event::Arrival(Box::new(arrival)), out);
    }

    fn on_frame(&mut self, now: Time, peer: id::Instance, frame: Frame, out: &mut Vec<Action>) {
        match frame {
            Frame::Attempt {
                request,
                life,
                context,
                route,
                claim,
                ..
            } => {
                if let Some(claim) = &claim
                    && !self.admit_claimed_attempt(
                        now,
                        &peer,
                        request,
                        (&route, &context, claim),
                        out,
                    )
                {
                    return;
                }
                let event = inbound::Event::Attempt {
                    request,
                    peer,
                    life,
                    route,
                    context,
                    claim,
                };
                self.run_proxy(now, event, out);
            }
            Frame::Hint(hint) => self.on_upstream_event(now, inbound::Event::Hint(hint), out),
            Frame::Cancel { request } if self.is_recorded_attempt_running(request) => {}
            Frame::Cancel { request } => {
                self.run_proxy(now, inbound::Event::Cancel(peer, request), out);
            }
            Frame::Revoke {
                request,
                life,
                left,
                unless_running,
            } => {
                if let Some(fate) = self.joined_attempt_fate(request) {
                    out.push(Action::Frame(peer, Frame::Fate { request, fate }));
                    return;
                }
                let event = inbound::Event::Revoke {
                    request,
                    peer,
                    life,
                    left,
                    unless_running,
                };
                self.run_proxy(now, event, out);
            }
            Frame::Fate { request, fate } => {
                self.run_router(now, ingress::Event::RevokeResult(peer, request, fate), out);
            }
            Frame::Answer {
                request,
                report,
                head,
            } => {
                let event = ingress::Event::Answered(peer, request, head.status, report);
                self.run_router(now, event, out);
            }
            Frame::Finish { request, report } => {
                self.run_router(now, ingress::Event::Finished(peer, request, report), out);
            }
            Frame::Refuse {
                request,
                code,
                report,
            } => {
                let event = ingress::Event::Refused(peer, request, code, report);
                self.run_router(now, event, out);
            }
            // The server relays body frames itself.
            Frame::Chunk { .. } | Frame::End { .. } | Frame::Cut { .. } | Frame::Credit { .. } => {}
            Frame::Control(message) => self.on_message(now, None, *message, out),
        }
    }

    fn on_message(
        &mut self,
        now: Time,
        from: Option<SocketAddr>,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match (message, from) {
            (Message::Member(message), Some(from)) => {
                self.on_member_message(now, from, message, out)
            }
            (Message::Member(_), None) => {}
            (Message::Adoption(message), _) => self.on_adoption_message(now, message, out),
            (Message::Lease(message), _) => self.on_lease_message(now, message, out),
            (Message::Quota(message), _) => self.on_quota_message(now, message, out),
            (Message::Bank(message), from) => self.on_bank_message(now, from, message, out),
            (Message::Feed(message), _) => self.on_feed_message(now, message, out),
            (Message::Suspect(message), _) => {
                self.run_proxy(now, inbound::Event::Suspects(message), out);
            }
            (Message::Departure(message), _) => self.on_departure_message(now, message),
            (Message::Record(message), _) => self.on_record_message(now, message, out),
        }
    }

    /// Sends a message to a member: as a datagram if it fits into one, otherwise
    /// over the link. A message to an unknown member is dropped.
    fn send_message(&self, to: &id::Instance, message: Message, out: &mut Vec<Action>) {
        let Some(peer) = self.members.get(to) else {
            return;
        };
        match message.encode() {
            Ok(bytes) if bytes.len() <= DATAGRAM_LIMIT => {
                out.push(Action::Datagram(peer.datagram, message));
            }
            _ => out.push(Action::Frame(to.clone(), Frame::Control(Box::new(message)))),
        }
    }

    /// Tells the other nodes of this pool about requests under which upstreams end. Over
    /// links, since a lost message may cost an upstream.
    fn report_suspects(&self, message: &suspect::Message, out: &mut Vec<Action>) {
        out.push(Action::Log(LogEvent::Suspects(message.clone())));
        let own = &self.identity.peer;
        let is_other = |peer: &&member::Peer| peer.instance != own.instance;
        for peer in self.members.in_pool(&own.pool).filter(is_other) {
            let message = Box::new(Message::Suspect(message.clone()));
            out.push(Action::Frame(
                peer.instance.clone(),
                Frame::Control(message),
            ));
        }
    }

    /// Issues a store call for a subsystem and returns the call's identifier.
    fn call_store(&mut self, caller: StoreCaller, call: store::Call, out: &mut Vec<Action>) -> u64 {
        self.last_store_call += 1;
        self.pending_store_calls
            .insert(self.last_store_call, caller);
        out.push(Action::Store(self.last_store_call, call));
        self.last_store_call
    }

    fn run_router(&mut self, now: Time, event: ingress::Event, out: &mut Vec<Action>) {
        let mut world = ingress::Environment {
            snapshot: &self.snapshot,
            members: &self.members,
            quota: &mut self.quota,
            records: &self.leases.record_directory,
            proxy: &mut self.proxy,
            levels: &mut self.levels,
            policy: self.policy,
            rng: &mut self.rng,
            counts: &mut self.counts,
            ends_at: self.ends_at,
        };
        let mut actions = Vec::new();
        self.router.on(now, event, &mut world, &mut actions);
        out.extend(actions.into_iter().map(Action::from));
        match self.discovery.is_some() {
            true => self.send_bank_messages(out),
            false => self.send_quota_messages(now, out),
        }
    }

    fn run_proxy(&mut self, now: Time, event: inbound::Event, out: &mut Vec<Action>) {
        let mut world = inbound::World {
            snapshot: &self.snapshot,
            domain: &self.identity.peer.domain,
            levels: &mut self.levels,
            policy: self.policy,
            rng: &mut self.rng,
            counts: &mut self.counts,
        };
        let mut actions = Vec::new();
        self.proxy.on(now, event, &mut world, &mut actions);
        for action in actions {
            if let inbound::Action::Refuse(_, request, code, _) = &action {
                self.record_attempt_refused(now, *request, *code, out);
            }
            match action {
                inbound::Action::EndNestedCalls(orphaned) => {
                    self.run_router(now, ingress::Event::ParentEnded(orphaned), out);
                }
                inbound::Action::Suspects(message) => self.report_suspects(&message, out),
                action => out.extend(node_action(action)),
            }
        }
    }
}
