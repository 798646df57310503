//! Which members of a domain have confirmed which version.
//!
//! Every node confirms to the watchers of its domain. An operator's command
//! asks one watcher of each domain, so it costs calls by domain and not by
//! node. A confirmation may be lost: it is sent again, ever more seldom.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Domain,
        Instance,
        Version, //
    },
    member::{
        Status,
        Table, //
    },
};

/// Names of members that are behind, in one report, at most.
const NAMES: usize = 16;
/// When a confirmation is sent again after an adoption.
const AGAIN: [Span; 2] = [Span::from_ms(500), Span::from_secs(2)];
/// Time between two confirmations when nothing changes.
const STEADY: Span = Span::from_secs(15);

/// How far one domain has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which domain.
    #[serde(rename = "d")]
    pub domain: Domain,
    /// The version in force at the watcher that reports.
    #[serde(rename = "v")]
    pub version: Version,
    /// Age of its newest confirmation by the store.
    #[serde(rename = "a")]
    pub age: Option<Span>,
    /// Members of the domain that are there.
    #[serde(rename = "m")]
    pub members: usize,
    /// Those that have not confirmed this version.
    #[serde(rename = "n")]
    pub behind: usize,
    /// Some of them by name.
    #[serde(rename = "b")]
    pub names: Vec<Instance>,
}

/// The confirmations of one domain, and the schedule of one's own.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    confirmed: BTreeMap<Instance, Version>,
    reports: BTreeMap<Domain, Report>,
    watchers: Vec<Instance>,
    sent: usize,
    next: Time,
}

impl Roster {
    /// Takes a confirmation in; they may overtake each other.
    pub fn confirm(&mut self, from: Instance, version: Version) {
        let known = self.confirmed.entry(from).or_default();
        *known = (*known).max(version);
    }

    /// A new version was adopted here: confirm it at once.
    pub fn restart_schedule(&mut self, now: Time) {
        self.sent = 0;
        self.next = now;
    }

    /// Whether the own version is to be confirmed now, to these watchers.
    pub fn confirmation_due(&mut self, now: Time, watchers: &[Instance]) -> bool {
        if self.watchers != watchers {
            self.watchers = watchers.to_vec();
            self.restart_schedule(now);
        }
        if now < self.next {
            return false;
        }
        self.next = now + AGAIN.get(self.sent).copied().unwrap_or(STEADY);
        self.sent += 1;
        true
    }

    /// How far a domain has come, as this node has heard.
    pub fn report(
        &mut self,
        domain: &Domain,
        version: Version,
        age: Option<Span>,
        table: &Table,
    ) -> Report {
        self.confirmed.retain(|name, _| table.get(name).is_some());
        let there = |status| matches!(status, Status::Alive | Status::Suspect);
        let members: Vec<_> = table
            .in_domain(domain)
            .filter(|p| there(p.status))
            .collect();
        let has = |name| self.confirmed.get(name).is_some_and(|v| *v >= version);
        let behind: Vec<_> = members
            .iter()
            .map(|peer| &peer.instance)
            .filter(|name| !has(name))
            .collect();
        Report {
            domain: domain.clone(),
            version,
            age,
            members: members.len(),
            behind: behind.len(),
            names: behind.into_iter().take(NAMES).cloned().collect(),
        }
    }

    /// Begins to collect the domains' reports.
    pub fn start_survey(&mut self) {
        self.reports.clear();
    }

    /// Takes one domain's report in.
    pub fn record_report(&mut self, report: Report) {
        self.reports.insert(report.domain.clone(), report);
    }

    /// The reports that came since the survey began.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
