//! Departures of the upstream that outlive the process which acknowledged them.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::{
        Action,
        Core,
        LogEvent, //
    },
    Discovery,
};
use crate::{
    announce::Departure,
    backpressure::Hint,
    clock::Time,
    id::{
        Incarnation,
        Instance, //
    },
    member::Peer,
    message::Message as NodeMessage, //
};

/// Tells the other nodes what a node has acknowledged to its upstream, in case the node
/// restarts before the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The node beside the upstream.
    pub from: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What its next incarnation has to know.
    pub hint: Hint,
}

impl Core {
    /// Handles a departure that is about to be acknowledged.
    pub(in super::super) fn on_departure(
        &mut self,
        now: Time,
        departure: Departure,
        out: &mut Vec<Action>,
    ) {
        if let Some(discovery) = &mut self.discovery {
            discovery.directory.record_departure(now, departure);
            self.discovery_tick(now, out);
        }
    }

    /// Handles an upstream that accepts requests.
    pub(in super::super) fn on_return(&mut self) {
        if let Some(discovery) = &mut self.discovery {
            discovery.directory.retract_departure();
        }
    }

    /// Returns whether the store holds the last departure that was recorded. Without
    /// discovery through the store none is recorded.
    pub fn has_stored_departure(&self) -> bool {
        let discovery = self.discovery.as_ref();
        discovery.is_none_or(|discovery| discovery.directory.has_stored_departure())
    }

    /// Returns whether the last departure that was recorded outlives this process.
    pub fn holds_departure_elsewhere(&self) -> bool {
        let discovery = self.discovery.as_ref();
        discovery.is_none_or(|discovery| discovery.directory.holds_departure_elsewhere())
    }

    /// Passes on what the store says of earlier departures, and tells the other nodes of
    /// one that the store does not hold yet.
    pub(super) fn tick_departures(
        &self,
        now: Time,
        discovery: &mut Discovery,
        out: &mut Vec<Action>,
    ) {
        if let Some(inquiry) = discovery.directory.take_inquiry() {
            out.push(Action::Log(LogEvent::DeparturesKnown(inquiry.clone())));
            out.push(Action::RestoreDeparture(inquiry));
        }
        let Some(departure) = discovery.directory.take_departure_report(now) else {
            return;
        };
        let own = &self.identity.peer;
        let message = Message {
            from: own.instance.clone(),
            incarnation: own.incarnation,
            hint: Hint {
                upstream: departure.id(),
                limit: None,
                leaving: true,
            },
        };
        let is_other = |peer: &&Peer| peer.instance != own.instance;
        let mut nodes = 0;
        for peer in self.members.iter().filter(is_other) {
            let message = NodeMessage::Departure(message.clone());
            out.push(Action::Datagram(peer.datagram, message));
            nodes += 1;
        }
        if nodes > 0 {
            discovery.directory.record_departure_report();
        }
        let upstream = departure.id();
        out.push(Action::Log(LogEvent::DepartureUnstored { upstream, nodes }));
    }

    /// Handles another node's message about its upstream.
    pub(in super::super) fn on_departure_message(&mut self, now: Time, message: Message) {
        let Message {
            from,
            incarnation,
            hint,
        } = message;
        self.router.record_hint(now, &from, incarnation, hint);
    }

    /// Tells a member of departures that only its earlier incarnations may know.
    pub(super) fn pass_on_departures(&self, now: Time, peer: &Peer, out: &mut Vec<Action>) {
        let mut hints = Vec::new();
        self.router
            .pass_on_departures(now, &peer.instance, peer.incarnation, &mut hints);
        out.extend(hints.into_iter().map(Action::from));
    }
}
