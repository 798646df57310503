//! What operators and measurements see of membership and configuration.

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
    /// What this node says of itself.
    pub fn identity(&self) -> &member::Peer {
        &self.identity.peer
    }

    /// Adds addresses of other nodes, from the settings.
    pub fn seed(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.fleet.agent.add_seeds(addresses);
    }

    /// Whether this node knows others, or has tried for long enough. Before
    /// that it should claim nothing in the store: it takes itself for alone.
    pub fn has_joined(&self, now: Time) -> bool {
        self.fleet.agent.has_joined(now, &self.members)
    }

    /// Calls to the store for membership and configuration, in this life.
    pub fn membership_store_calls(&self) -> u64 {
        self.fleet.calls
    }

    /// The document in force, if this node has one.
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.fleet.adopter.document()
    }

    /// The newest document that could not be put in force, and why.
    pub fn config_fault(&self) -> Option<&adoption::Fault> {
        self.fleet.adopter.fault()
    }

    /// Time since the store confirmed the version in force, as far as is known.
    pub fn config_age(&self, now: Time) -> Option<Span> {
        self.fleet.freshness.age(now)
    }

    /// Whether keys can be checked, from the age of the version in force.
    pub fn standing(&self, now: Time) -> Standing {
        let domain = &self.identity.peer.domain;
        self.fleet.freshness.standing(now, domain, &self.members)
    }

    /// Asks one watcher of each domain how far the domain has come. The
    /// reports arrive in [`Core::reports`].
    pub fn survey(&mut self, now: Time, out: &mut Vec<Action>) {
        self.fleet.roster.survey();
        let domains: Vec<Domain> = self.members.domains().cloned().collect();
        for domain in domains {
            let Some(watcher) = self.watchers(&domain).into_iter().next() else {
                continue;
            };
            let from = self.identity.peer.instance.clone();
            self.pass(now, watcher, adoption::Message::Survey { from }, out);
        }
    }

    /// The reports that came since the survey began, by domain.
    pub fn reports(&self) -> impl Iterator<Item = &adoption::Report> {
        self.fleet.roster.reports()
    }

    /// Failure domains of which a member is there.
    pub fn live_domain_count(&self) -> usize {
        self.inhabited().count()
    }

    /// Domains of which no report has come since the survey began.
    pub fn unreported_domains(&self) -> impl Iterator<Item = &Domain> {
        let come = |domain: &Domain| self.reports().any(|report| report.domain == *domain);
        self.inhabited().filter(move |domain| !come(domain))
    }

    fn inhabited(&self) -> impl Iterator<Item = &Domain> {
        let there = |peer: &member::Peer| peer.status == Status::Alive;
        let domains = self.members.domains();
        domains.filter(move |domain| self.members.in_domain(domain).any(there))
    }
}
