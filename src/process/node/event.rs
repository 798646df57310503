//! What goes into the state machine of a node, and what comes out of it.

use std::net::SocketAddr;

use crate::{
    announce::Departure,
    backpressure::{
        self,
        Signal, //
    },
    clock::{
        Span,
        Time, //
    },
    contact,
    context::Context,
    directory::Inquiry,
    document,
    feed,
    frame::{
        Frame,
        Whole, //
    },
    id,
    inbound,
    ingress::{
        self,
        OpenCalls, //
    },
    member,
    message::Message,
    outcome::Refusal,
    record::Claim,
    store,
    suspect::{
        self,
        Work, //
    },
    warmup, //
};

/// A state change that the server writes to its log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This version of the configuration took effect.
    ConfigAdopted {
        /// The version.
        version: id::Version,
        /// The time since the store certainly had this version as its newest.
        age: Option<Span>,
        /// The watcher that reported it, or `None` if the store did.
        watcher: Option<id::Instance>,
    },
    /// A configuration in the store was rejected, for this reason.
    ConfigUnusable(String),
    /// The last confirmation by the store became too old to accept API keys, or
    /// is recent enough again.
    ConfigStaleness {
        /// Whether the confirmation is too old.
        stale: bool,
        /// Its age, or `None` if the store has never confirmed a configuration.
        age: Option<Span>,
    },
    /// A member joined, or its record changed.
    MemberChanged(member::Peer),
    /// A member was removed from the membership table.
    MemberRemoved(id::Instance),
    /// An entry under a member's key in the store is no record of that member.
    RecordInvalid {
        /// The key.
        key: String,
        /// The revision of the entry.
        revision: id::Revision,
    },
    /// A member without a record in the store is kept, as it answers over its link.
    MemberUnlisted(id::Instance),
    /// The warm-up status of the local upstream changed.
    Warmup(warmup::Status),
    /// The local upstream reported a different rate limit than before.
    Limit(backpressure::Limit),
    /// The local upstream reported in an answer that it is shutting down.
    UpstreamLeaving {
        /// Whether the report came in a hint from another node, which received it
        /// through a previous incarnation of this node.
        by_hint: bool,
    },
    /// What the store says of departures that earlier processes acknowledged.
    DeparturesKnown(Inquiry),
    /// The store does not hold a departure of the local upstream yet.
    DepartureUnstored {
        /// The upstream.
        upstream: id::Upstream,
        /// How many other nodes were sent a report of it.
        nodes: usize,
    },
    /// The local upstream's process ended while it ran these requests.
    UpstreamCrashed(Vec<Work>),
    /// This node told the others of its pool about requests under which upstreams end.
    Suspects(suspect::Message),
    /// An operator evacuated a failure domain or returned it to service.
    Evacuated {
        /// The failure domain.
        domain: id::Domain,
        /// The operator's order.
        order: document::Evacuation,
        /// The age of the store answer that contained the order.
        age: Option<Span>,
    },
    /// The time for finishing requests is over, and these calls have no complete answer.
    DrainEnded(OpenCalls),
    /// Store contents are now read through this watcher, or from the store
    /// directly if `None`.
    StoreSource(Option<id::Instance>),
    /// This node turned away from a watcher.
    WatcherAbandoned(feed::Abandonment),
    /// The first call of a series to the store about a topic that failed.
    WatchFailed {
        /// The topic.
        topic: feed::Topic,
        /// Time since the call was sent.
        waited: Span,
        /// Whether other nodes rely on this node to watch the store.
        watching: bool,
    },
    /// This node asked the store itself, as it had not heard of a topic for too long.
    StoreChecked {
        /// The topic.
        topic: feed::Topic,
        /// Time for which changes could have been unknown.
        silence: Option<Span>,
        /// What came of it.
        outcome: contact::Outcome,
    },
}

/// The source of a call, determined by the listener that accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// An external caller, with the API key it presented.
    Caller(Option<String>),
    /// The local service, with the token it presented for a nested call.
    Service(Option<id::Token>),
}

/// A call as parsed by a listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The identifier that the server assigned; never reused.
    pub call: id::Call,
    /// The source of the call.
    pub origin: Origin,
    /// The requested host.
    pub host: String,
    /// The request method.
    pub method: String,
    /// The request path, without the query.
    pub path: String,
    /// The idempotency key and a checksum of the whole request.
    pub claim: Option<Claim>,
    /// Whether the whole body is buffered, so that it can be sent again.
    pub replayable: bool,
    /// Digest of the request, if its whole body is buffered.
    pub digest: Option<id::Digest>,
    /// The remaining time until the caller's deadline, if it sent one.
    pub left: Option<Span>,
    /// The connection on which the call arrived.
    pub connection: id::Connection,
}

/// An input to the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The head of a call was read.
    Call(Call),
    /// The caller disconnected, or already has a complete answer and needs
    /// nothing more from its attempts.
    CallerGone(id::Call),
    /// A frame arrived on a link.
    Frame(id::Instance, Frame),
    /// No link could be opened for an attempt: no byte of it has left this node,
    /// and none will. An attempt that may have been sent in part is reported
    /// only through [`Event::OutboundLinkLost`].
    AttemptUnsent(id::Request),
    /// The link to an instance was lost: the outcome of these attempts, which were sent
    /// over it, is unknown. Attempts over a later link to the same instance are not
    /// affected.
    OutboundLinkLost(id::Instance, Vec<id::Request>),
    /// The answer to this attempt could not be relayed, as the attempt was released.
    AnswerLost(id::Call, id::Request),
    /// A link to an instance was opened.
    OutboundLinkOpened(id::Instance),
    /// An instance has answered an [`Action::Ping`].
    Pong(id::Instance),
    /// The link from an instance was lost: nobody waits for its attempts any
    /// more.
    InboundLinkLost(id::Instance),
    /// The whole answer to an attempt with an idempotency claim, if it is small
    /// enough to be stored. It precedes [`Event::AttemptEnded`].
    AnswerCaptured(id::Request, Box<Whole>),
    /// The upstream exchange of an attempt ended.
    AttemptEnded(id::Request, inbound::End),
    /// The upstream announced whether it accepts requests.
    UpstreamReady(bool),
    /// The upstream's health or load endpoint reported it healthy or unhealthy.
    /// An unhealthy report only lowers the upstream's weight, because the
    /// endpoint may be late, wrong or stuck.
    UpstreamHealth(bool),
    /// The upstream reported how many requests it can run concurrently.
    UpstreamCapacity(Option<u32>),
    /// The upstream reported its remaining warm-up time.
    UpstreamWarmup(Span),
    /// An upstream answer carried this signal; its request began at this time.
    UpstreamSignal(Signal, Time),
    /// The upstream is running with this start identifier.
    UpstreamStarted(id::Upstream),
    /// The upstream announced whether it is shutting down. The absence of an
    /// announcement implies neither.
    UpstreamLeaving(bool),
    /// The upstream announced a departure that is about to be acknowledged.
    UpstreamDeparted(Departure),
    /// A datagram arrived.
    Datagram(SocketAddr, Message),
    /// The store answered the call with this identifier.
    StoreAnswer(u64, store::Answer),
    /// An operator requested the configuration version of each domain; the
    /// replies are collected in [`super::Core::reports`].
    Survey,
    /// Finish the running requests within this time, and stop.
    Drain(Span),
    /// The time for finishing running requests is over: answer all callers.
    DrainEnded,
    /// Time advanced; run timers that are due.
    Tick,
}

/// An output of the state machine, executed by the server or the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt with the call's head and body.
    Send {
        /// The call that the attempt serves.
        call: id::Call,
        /// The identifier of the attempt.
        request: id::Request,
        /// The destination, which may be this node itself.
        peer: id::Instance,
        /// The incarnation of that instance that may run the attempt.
        life: id::Incarnation,
        /// The route.
        route: id::Route,
        /// The request context sent with the attempt.
        context: Context,
        /// The idempotency claim of the call.
        claim: Option<Claim>,
    },
    /// Relay the answer to this attempt to the caller.
    Deliver(id::Call, id::Request),
    /// Refuse the call.
    Refuse(id::Call, Refusal),
    /// Send a frame; `peer` may be this node itself.
    Frame(id::Instance, Frame),
    /// Send an attempt to the upstream.
    Start {
        /// The identifier of the attempt.
        request: id::Request,
        /// The token that the upstream presents to make nested calls.
        token: id::Token,
        /// The time by which the attempt must have ended.
        deadline: Time,
    },
    /// Serve a stored answer to an attempt that will not be started.
    Replay(id::Instance, id::Request, Box<Whole>),
    /// Close the upstream connection of an attempt.
    Abort(id::Request),
    /// Send a datagram.
    Datagram(SocketAddr, Message),
    /// Call the store; its answer carries the same identifier.
    Store(u64, store::Call),
    /// Open a link to a member, unless one is open.
    Dial(id::Instance),
    /// Ask a member for a sign of life over the link to it, if one is open.
    Ping(id::Instance),
    /// Apply what the store says of departures that earlier processes acknowledged.
    RestoreDeparture(Inquiry),
    /// The store holds the departure that was acknowledged last.
    DepartureStored,
    /// Log a state change of this node.
    Log(LogEvent),
    /// Draining is complete: the process may exit.
    Stop,
}

impl Event {
    /// Returns the kind of the event for the log.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Call(_) => "Call",
            Self::CallerGone(_) => "CallerGone",
            Self::Frame(..) => "Frame",
            Self::AttemptUnsent(_) => "AttemptUnsent",
            Self::OutboundLinkLost(..) => "OutboundLinkLost",
            Self::AnswerLost(..) => "AnswerLost",
            Self::OutboundLinkOpened(_) => "OutboundLinkOpened",
            Self::Pong(_) => "Pong",
            Self::InboundLinkLost(_) => "InboundLinkLost",
            Self::AnswerCaptured(..) => "AnswerCaptured",
            Self::AttemptEnded(..) => "AttemptEnded",
            Self::UpstreamReady(_) => "UpstreamReady",
            Self::UpstreamHealth(_) => "UpstreamHealth",
            Self::UpstreamCapacity(_) => "UpstreamCapacity",
            Self::UpstreamWarmup(_) => "UpstreamWarmup",
            Self::UpstreamSignal(..) => "UpstreamSignal",
            Self::UpstreamStarted(_) => "UpstreamStarted",
            Self::UpstreamLeaving(_) => "UpstreamLeaving",
            Self::UpstreamDeparted(_) => "UpstreamDeparted",
            Self::Datagram(..) => "Datagram",
            Self::StoreAnswer(..) => "StoreAnswer",
            Self::Survey => "Survey",
            Self::Drain(_) => "Drain",
            Self::DrainEnded => "DrainEnded",
            Self::Tick => "Tick",
        }
    }
}

impl Action {
    /// Returns the kind of the action for the log.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Send { .. } => "Send",
            Self::Deliver(..) => "Deliver",
            Self::Refuse(..) => "Refuse",
            Self::Frame(..) => "Frame",
            Self::Start { .. } => "Start",
            Self::Replay(..) => "Replay",
            Self::Abort(_) => "Abort",
            Self::Datagram(..) => "Datagram",
            Self::Store(..) => "Store",
            Self::Dial(_) => "Dial",
            Self::Ping(_) => "Ping",
            Self::RestoreDeparture(_) => "RestoreDeparture",
            Self::DepartureStored => "DepartureStored",
            Self::Log(_) => "Log",
            Self::Stop => "Stop",
        }
    }
}

impl From<ingress::Action> for Action {
    fn from(action: ingress::Action) -> Self {
        match action {
            ingress::Action::Send {
                call,
                request,
                peer,
                life,
                route,
                context,
                claim,
            } => Self::Send {
                call,
                request,
                peer,
                life,
                route,
                context,
                claim,
            },
            ingress::Action::Hint(peer, hint) => Self::Frame(peer, Frame::Hint(hint)),
            ingress::Action::Deliver(call, request) => Self::Deliver(call, request),
            ingress::Action::Refuse(call, refusal) => Self::Refuse(call, refusal),
            ingress::Action::Cancel(peer, request) => Self::Frame(peer, Frame::Cancel { request }),
            ingress::Action::Revoke {
                peer,
                request,
                life,
                left,
                unless_running,
            } => Self::Frame(
                peer,
                Frame::Revoke {
                    request,
                    life,
                    left,
                    unless_running,
                },
            ),
        }
    }
}

/// Converts an action of the inbound proxy. Returns `None` for
/// [`inbound::Action::EndNestedCalls`], which is passed to this node's router
/// instead, and for [`inbound::Action::Suspects`], which is sent to other nodes.
pub(super) fn node_action(action: inbound::Action) -> Option<Action> {
    Some(match action {
        inbound::Action::Start {
            request,
            token,
            deadline,
        } => Action::Start {
            request,
            token,
            deadline,
        },
        inbound::Action::Abort(request) => Action::Abort(request),
        inbound::Action::Refuse(peer, request, code, report) => Action::Frame(
            peer,
            Frame::Refuse {
                request,
                code,
                report,
            },
        ),
        inbound::Action::Finish(peer, request, report) => {
            Action::Frame(peer, Frame::Finish { request, report })
        }
        inbound::Action::Fate(peer, request, fate) => {
            Action::Frame(peer, Frame::Fate { request, fate })
        }
        inbound::Action::Warmup(status) => Action::Log(LogEvent::Warmup(status)),
        inbound::Action::Limit(limit) => Action::Log(LogEvent::Limit(limit)),
        inbound::Action::Crashed(held) => Action::Log(LogEvent::UpstreamCrashed(held)),
        inbound::Action::Departing { by_hint } => {
            Action::Log(LogEvent::UpstreamLeaving { by_hint })
        }
        inbound::Action::EndNestedCalls(_) | inbound::Action::Suspects(_) => return None,
    })
}
