//! Accessors for operators and measurements: membership and configuration.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use super::super::{
    Action,
    Core, //
};
use crate::{
    adoption,
    clock::{
        Span,
        Time, //
    },
    document::Document,
    freshness::Standing,
    id::Domain,
    member::{
        self,
        Status, //
    },
};

impl Core {
    /// Returns this node's own member record.
    pub fn identity(&self) -> &member::Peer {
        &self.identity.peer
    }

    /// Adds the addresses of seed nodes from the settings.
    pub fn seed(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.gossip.agent.add_seeds(addresses);
    }

    /// Returns whether this node knows other members or has searched for them
    /// long enough. Until then it must not claim anything in the store, because
    /// it would act as the only member.
    pub fn has_joined(&self, now: Time) -> bool {
        self.gossip.agent.has_joined(now, &self.members)
    }

    /// Returns the number of store calls made for membership and configuration
    /// since the node started.
    pub fn membership_store_calls(&self) -> u64 {
        self.gossip.store_calls
    }

    /// Returns the document in effect, if any.
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.gossip.adopter.document()
    }

    /// Returns the newest document that was rejected, and the reason.
    pub fn config_fault(&self) -> Option<&adoption::RejectedDocument> {
        self.gossip.adopter.fault()
    }

    /// Returns the time since the last known confirmation by the store that the
    /// version in effect is current.
    pub fn config_age(&self, now: Time) -> Option<Span> {
        self.gossip.freshness.age(now)
    }

    /// Returns whether API keys can be checked, given the age of the version in
    /// effect.
    pub fn standing(&self, now: Time) -> Standing {
        let domain = &self.identity.peer.domain;
        self.gossip.freshness.standing(now, domain, &self.members)
    }

    /// Asks one watcher of each domain which version the members of the domain
    /// run. The replies are collected in [`Core::reports`].
    pub fn survey(&mut self, now: Time, out: &mut Vec<Action>) {
        self.gossip.roster.start_survey();
        let domains: Vec<Domain> = self.members.domains().cloned().collect();
        for domain in domains {
            let Some(watcher) = self.domain_watchers(&domain).into_iter().next() else {
                continue;
            };
            let from = self.identity.peer.instance.clone();
            self.send_adoption_message(now, watcher, adoption::Message::Survey { from }, out);
        }
    }

    /// Returns the reports received since the survey started, by domain.
    pub fn reports(&self) -> impl Iterator<Item = &adoption::Report> {
        self.gossip.roster.reports()
    }

    /// Returns the number of failure domains with at least one live member.
    pub fn live_domain_count(&self) -> usize {
        self.live_domains().count()
    }

    /// Returns the live domains that have not reported since the survey started.
    pub fn unreported_domains(&self) -> impl Iterator<Item = &Domain> {
        let has_reported = |domain: &Domain| self.reports().any(|report| report.domain == *domain);
        self.live_domains()
            .filter(move |domain| !has_reported(domain))
    }

    fn live_domains(&self) -> impl Iterator<Item = &Domain> {
        let is_alive = |peer: &member::Peer| peer.status == Status::Alive;
        let domains = self.members.domains();
        domains.filter(move |domain| self.members.in_domain(domain).any(is_alive))
    }
}
