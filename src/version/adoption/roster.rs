//! Tracks which members of a domain have confirmed which version.
//!
//! Every node confirms its version to the watchers of its domain. An operator's
//! command asks one watcher of each domain, so its cost grows with the number of
//! domains and not of nodes. Because a confirmation may be lost, it is sent
//! repeatedly, at growing intervals.

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

/// Maximum number of members listed by name in a report.
const MAX_LISTED_MEMBERS: usize = 16;
/// Delays before the first repetitions of a confirmation after an adoption.
const REPEAT_DELAYS: [Span; 2] = [Span::from_ms(500), Span::from_secs(2)];
/// Interval between later confirmations while nothing changes.
const STEADY_INTERVAL: Span = Span::from_secs(15);

/// How many members of one domain have confirmed a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The domain that the report covers.
    #[serde(rename = "d")]
    pub domain: Domain,
    /// The version in force at the reporting watcher.
    #[serde(rename = "v")]
    pub version: Version,
    /// Age of that watcher's newest confirmation by the store.
    #[serde(rename = "a")]
    pub age: Option<Span>,
    /// Number of members of the domain that are alive or suspected.
    #[serde(rename = "m")]
    pub members: usize,
    /// Number of those that have not confirmed this version.
    #[serde(rename = "n")]
    pub behind: usize,
    /// Names of the members that are behind, up to `MAX_LISTED_MEMBERS`.
    #[serde(rename = "b")]
    pub names: Vec<Instance>,
}

/// The confirmations received from the members of a domain, the reports received
/// on all domains, and the schedule of this node's own confirmations.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    confirmed: BTreeMap<Instance, Version>,
    reports: BTreeMap<Domain, Report>,
    watchers: Vec<Instance>,
    sent_count: usize,
    next_at: Time,
}

impl Roster {
    /// Records a confirmation. Confirmations may arrive out of order, so the highest
    /// version is kept.
    pub fn confirm(&mut self, from: Instance, version: Version) {
        let known = self.confirmed.entry(from).or_default();
        *known = (*known).max(version);
    }

    /// Restarts the schedule, so that the next confirmation is due at once. Called
    /// when this node adopts a version.
    pub fn restart_schedule(&mut self, now: Time) {
        self.sent_count = 0;
        self.next_at = now;
    }

    /// Returns whether this node must now confirm its version to these watchers. A
    /// change of watchers restarts the schedule.
    pub fn confirmation_due(&mut self, now: Time, watchers: &[Instance]) -> bool {
        if self.watchers != watchers {
            self.watchers = watchers.to_vec();
            self.restart_schedule(now);
        }
        if now < self.next_at {
            return false;
        }
        self.next_at = now
            + REPEAT_DELAYS
                .get(self.sent_count)
                .copied()
                .unwrap_or(STEADY_INTERVAL);
        self.sent_count += 1;
        true
    }

    /// Builds the report for a domain from the confirmations received here.
    pub fn report(
        &mut self,
        domain: &Domain,
        version: Version,
        age: Option<Span>,
        table: &Table,
    ) -> Report {
        self.confirmed.retain(|name, _| table.get(name).is_some());
        let is_present = |status| matches!(status, Status::Alive | Status::Suspect);
        let members: Vec<_> = table
            .in_domain(domain)
            .filter(|p| is_present(p.status))
            .collect();
        let has_confirmed = |name| self.confirmed.get(name).is_some_and(|v| *v >= version);
        let behind: Vec<_> = members
            .iter()
            .map(|peer| &peer.instance)
            .filter(|name| !has_confirmed(name))
            .collect();
        Report {
            domain: domain.clone(),
            version,
            age,
            members: members.len(),
            behind: behind.len(),
            names: behind
                .into_iter()
                .take(MAX_LISTED_MEMBERS)
                .cloned()
                .collect(),
        }
    }

    /// Starts a new survey by discarding the reports received so far.
    pub fn start_survey(&mut self) {
        self.reports.clear();
    }

    /// Records one domain's report.
    pub fn record_report(&mut self, report: Report) {
        self.reports.insert(report.domain.clone(), report);
    }

    /// Returns the reports received since the survey started.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
