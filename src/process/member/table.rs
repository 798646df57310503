//! The table of known members, and the order of precedence of their records.
//!
//! Records are ordered by incarnation, then by the member's own revision, then by
//! status: at the same revision, dead wins over suspect and suspect over alive.
//! Only the member itself raises its revision, so only it can refute a suspicion.
//! Nodes that have seen the same records agree, in whichever order they arrived.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    Card,
    Peer,
    Status,
    Update, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Domain,
        Incarnation,
        Instance,
        Pool, //
    },
};

/// How long a dead member stays in the table, where it is probed occasionally.
pub const DEAD_RETENTION: Span = Span::from_secs(600);
/// How long the tombstone of a removed member is kept.
const TOMBSTONE_RETENTION: Span = Span::from_secs(24 * 3600);
/// Maximum number of tombstones.
const MAX_TOMBSTONES: usize = 4096;

/// The outcome of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was applied and is to be gossiped further.
    Applied,
    /// The same or a later record was already known.
    Stale,
    /// It has no card and concerns an incarnation that is not known.
    Unknown,
}

#[derive(Clone, Debug)]
struct Member {
    peer: Peer,
    revision: u32,
    /// Since when it has its present status in this table.
    status_since: Time,
    ready_since: Time,
    /// A link to it broke. It gets no work until it answers a probe.
    link_broken: bool,
    /// It announced that it leaves, so its silence is no sign of a failure.
    leave_announced: bool,
}

/// The last record of a member that was removed from the table.
#[derive(Clone, Debug)]
struct Tombstone {
    instance: Instance,
    incarnation: Incarnation,
    revision: u32,
    expires_at: Time,
}

/// The members that this node knows, indexed by name, name hash, datagram address,
/// pool and domain.
#[derive(Clone, Debug, Default)]
pub struct Table {
    slots: Vec<Option<Member>>,
    free_slots: Vec<usize>,
    slots_by_name: BTreeMap<Instance, usize>,
    slots_by_hash: BTreeMap<u32, usize>,
    slots_by_address: BTreeMap<SocketAddr, usize>,
    slots_by_pool: BTreeMap<Pool, Vec<usize>>,
    slots_by_domain: BTreeMap<Domain, Vec<usize>>,
    tombstones: BTreeMap<u32, Tombstone>,
    /// Failure domains that operators have evacuated; their upstreams get no requests.
    evacuated_domains: BTreeSet<Domain>,
}

impl Table {
    /// Sets the failure domains whose upstreams get no requests.
    pub fn set_evacuated_domains(&mut self, domains: BTreeSet<Domain>) {
        self.evacuated_domains = domains;
    }

    /// Whether a member's upstream accepts requests and is not evacuated.
    pub fn accepts_work(&self, peer: &Peer) -> bool {
        peer.ready && !self.evacuated_domains.contains(&peer.domain)
    }

    /// Whether a pool has ready upstreams and all of them are evacuated.
    pub fn is_evacuated(&self, pool: &Pool) -> bool {
        let slots = self.slots_by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        let members = slots.iter().filter_map(|slot| self.slots[*slot].as_ref());
        let mut ready = members.filter(|member| member.peer.ready).peekable();
        let any = ready.peek().is_some();
        any && ready.all(|member| self.evacuated_domains.contains(&member.peer.domain))
    }

    /// Adds or replaces a member, as if it had been known since time zero.
    pub fn insert(&mut self, peer: Peer) {
        let revision = self.member(&peer.instance).map_or(0, |m| m.revision);
        self.upsert(Member {
            peer,
            revision,
            status_since: Time::ZERO,
            ready_since: Time::ZERO,
            link_broken: false,
            leave_announced: false,
        });
    }

    /// Removes a member without a tombstone.
    pub fn remove(&mut self, instance: &Instance) {
        self.take_member(instance);
    }

    /// Returns a member by name.
    pub fn get(&self, instance: &Instance) -> Option<&Peer> {
        self.member(instance).map(|member| &member.peer)
    }

    /// All members in the order of their names, including suspected and dead ones.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.slots_by_name
            .values()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .map(|member| &member.peer)
    }

    /// The members of a pool whose upstreams accept requests. Suspects are included
    /// only if there is no healthy member: a failed probe may be a false alarm, while
    /// an empty pool serves no request at all.
    pub fn serving<'a>(&'a self, pool: &Pool) -> impl Iterator<Item = &'a Peer> {
        let slots = self.slots_by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        let members = || {
            let members = slots.iter().filter_map(|slot| self.slots[*slot].as_ref());
            members.filter(|member| self.accepts_work(&member.peer))
        };
        let panic_mode = !members().any(Member::is_healthy);
        members()
            .filter(move |member| match panic_mode {
                true => member.is_fallback(),
                false => member.is_healthy(),
            })
            .map(|member| &member.peer)
    }

    /// How long the member's upstream has accepted requests, for its ramp-up.
    pub fn ready_duration(&self, now: Time, instance: &Instance) -> Option<Span> {
        let member = self.member(instance)?;
        member.peer.ready.then(|| now.since(member.ready_since))
    }

    /// The member with this datagram address.
    pub fn by_datagram_address(&self, address: SocketAddr) -> Option<&Peer> {
        let slot = *self.slots_by_address.get(&address)?;
        self.slots[slot].as_ref().map(|member| &member.peer)
    }

    /// The members of one pool, including suspected and dead ones.
    pub fn in_pool<'a>(&'a self, pool: &Pool) -> impl Iterator<Item = &'a Peer> {
        let slots = self.slots_by_pool.get(pool).map_or(&[][..], Vec::as_slice);
        slots
            .iter()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .map(|member| &member.peer)
    }

    /// The members of one failure domain, including suspected and dead ones.
    pub fn in_domain<'a>(&'a self, domain: &Domain) -> impl Iterator<Item = &'a Peer> {
        let slots = self
            .slots_by_domain
            .get(domain)
            .map_or(&[][..], Vec::as_slice);
        slots
            .iter()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .map(|member| &member.peer)
    }

    /// The failure domains with at least one known member.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.slots_by_domain.keys()
    }

    /// Number of known members, including dead ones.
    pub fn len(&self) -> usize {
        self.slots_by_name.len()
    }

    /// Whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.slots_by_name.is_empty()
    }

    /// The number of members of a domain that went silent without announcing that
    /// they leave, and the number of all members that did not announce it.
    pub fn count_silent(&self, domain: &Domain) -> (usize, usize) {
        let slots = self
            .slots_by_domain
            .get(domain)
            .map_or(&[][..], Vec::as_slice);
        let expected = slots
            .iter()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .filter(|member| !member.leave_announced);
        expected.fold((0, 0), |(silent, all), member| {
            let lost = matches!(member.peer.status, Status::Suspect | Status::Dead);
            (silent + usize::from(lost), all + 1)
        })
    }

    /// The record of a member, to be gossiped.
    pub fn update_for(&self, now: Time, instance: &Instance) -> Option<Update> {
        self.member(instance).map(|member| member.to_update(now))
    }

    /// Applies a record if it takes precedence over the known one.
    pub fn merge(&mut self, now: Time, update: &Update) -> MergeOutcome {
        let hash = name_hash(&update.instance);
        let known = match (self.member(&update.instance), self.tombstones.get(&hash)) {
            (Some(member), _) => Some(member.precedence()),
            (None, Some(tombstone)) if tombstone.instance == update.instance => {
                Some((tombstone.incarnation, tombstone.revision, Status::Dead))
            }
            _ => None,
        };
        let precedence = (update.incarnation, update.revision, update.status);
        if known.is_some_and(|known| known >= precedence) {
            return MergeOutcome::Stale;
        }
        match (&update.card, self.member(&update.instance).cloned()) {
            (Some(card), old) => {
                self.upsert(Member::from_card(now, update, card, old.as_ref()));
            }
            (None, Some(mut member)) if member.peer.incarnation == update.incarnation => {
                member.apply_status(now, update);
                self.upsert(member);
            }
            _ => return MergeOutcome::Unknown,
        }
        self.tombstones.remove(&hash);
        MergeOutcome::Applied
    }

    /// Replaces this node's own record. Its revision becomes higher than the present
    /// one and than `least`.
    pub(super) fn announce(&mut self, now: Time, peer: &Peer, least: u32) -> Update {
        let old = self.member(&peer.instance).cloned();
        let revision = old.as_ref().map_or(0, |m| m.revision).max(least) + 1;
        let announced = old.as_ref().filter(|m| m.peer.ready && m.revision > 0);
        let known_ready_since = announced.map(|m| m.ready_since);
        let member = Member {
            peer: peer.clone(),
            revision,
            status_since: now,
            ready_since: known_ready_since.unwrap_or(now),
            link_broken: false,
            leave_announced: peer.status == Status::Leaving,
        };
        let update = member.to_update(now);
        self.upsert(member);
        update
    }

    /// Marks a member whose link broke, or clears the mark after it has answered.
    pub(super) fn set_link_broken(&mut self, instance: &Instance, link_broken: bool) {
        let slot = self.slots_by_name.get(instance).copied();
        if let Some(member) = slot.and_then(|slot| self.slots[slot].as_mut()) {
            member.link_broken = link_broken;
        }
    }

    /// Updates that declare suspects dead whose time to refute is over, and the dead
    /// members that are to be removed.
    pub(super) fn expired(&self, now: Time, refute_timeout: Span) -> (Vec<Update>, Vec<Instance>) {
        let mut failed = Vec::new();
        let mut forgotten = Vec::new();
        for member in self.slots.iter().flatten() {
            let age = now.since(member.status_since);
            match member.peer.status {
                Status::Suspect if age >= refute_timeout => failed.push(Update {
                    status: Status::Dead,
                    card: None,
                    ..member.to_update(now)
                }),
                Status::Dead if age >= DEAD_RETENTION => {
                    forgotten.push(member.peer.instance.clone())
                }
                _ => {}
            }
        }
        (failed, forgotten)
    }

    /// Restarts the time to refute for all suspects, because this process was paused.
    pub(super) fn restart_suspicions(&mut self, now: Time) {
        let suspects = self.slots.iter_mut().flatten();
        suspects
            .filter(|member| member.peer.status == Status::Suspect)
            .for_each(|member| member.status_since = now);
    }

    /// Removes a dead member and keeps a tombstone: a node that was suspended while
    /// the member died would otherwise bring it back with an old record.
    pub(super) fn forget(&mut self, now: Time, instance: &Instance) {
        let Some(member) = self.take_member(instance) else {
            return;
        };
        self.tombstones
            .retain(|_, tombstone| tombstone.expires_at > now);
        if self.tombstones.len() >= MAX_TOMBSTONES {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, tombstone)| tombstone.expires_at);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.tombstones.remove(&hash));
        }
        self.tombstones.insert(
            name_hash(instance),
            Tombstone {
                instance: instance.clone(),
                incarnation: member.peer.incarnation,
                revision: member.revision,
                expires_at: now + TOMBSTONE_RETENTION,
            },
        );
    }

    /// The name hash and the state checksum of each member. Dead members are left out
    /// because nodes remove them at different times.
    pub(super) fn checksums(&self) -> impl Iterator<Item = (u32, u32)> {
        self.slots_by_hash.iter().filter_map(|(hash, slot)| {
            let member = self.slots[*slot].as_ref()?;
            (member.peer.status != Status::Dead).then(|| (*hash, member.checksum()))
        })
    }

    /// The record or tombstone of the member with this name hash.
    pub(super) fn update_by_hash(&self, now: Time, hash: u32) -> Option<Update> {
        if let Some(slot) = self.slots_by_hash.get(&hash) {
            return self.slots[*slot]
                .as_ref()
                .map(|member| member.to_update(now));
        }
        self.tombstones.get(&hash).map(|tombstone| Update {
            instance: tombstone.instance.clone(),
            incarnation: tombstone.incarnation,
            revision: tombstone.revision,
            status: Status::Dead,
            card: None,
        })
    }

    fn member(&self, instance: &Instance) -> Option<&Member> {
        let slot = *self.slots_by_name.get(instance)?;
        self.slots[slot].as_ref()
    }

    fn upsert(&mut self, member: Member) {
        if let Some(slot) = self.slots_by_name.get(&member.peer.instance).copied()
            && let Some(old) = self.slots[slot].as_mut()
            && old.peer.pool == member.peer.pool
            && old.peer.domain == member.peer.domain
            && old.peer.datagram == member.peer.datagram
        {
            *old = member;
            return;
        }
        self.take_member(&member.peer.instance);
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let peer = &member.peer;
        self.slots_by_name.insert(peer.instance.clone(), slot);
        self.slots_by_hash.insert(name_hash(&peer.instance), slot);
        self.slots_by_address.insert(peer.datagram, slot);
        self.slots_by_pool
            .entry(peer.pool.clone())
            .or_default()
            .push(slot);
        self.slots_by_domain
            .entry(peer.domain.clone())
            .or_default()
            .push(slot);
        self.slots[slot] = Some(member);
    }

    fn take_member(&mut self, instance: &Instance) -> Option<Member> {
        let slot = self.slots_by_name.remove(instance)?;
        let member = self.slots[slot].take()?;
        self.free_slots.push(slot);
        self.slots_by_hash.remove(&name_hash(instance));
        // Another member may have taken over the address in the meantime.
        if self.slots_by_address.get(&member.peer.datagram) == Some(&slot) {
            self.slots_by_address.remove(&member.peer.datagram);
        }
        remove_slot(&mut self.slots_by_pool, &member.peer.pool, slot);
        remove_slot(&mut self.slots_by_domain, &member.peer.domain, slot);
        Some(member)
    }
}

impl Member {
    fn from_card(now: Time, update: &Update, card: &Card, old: Option<&Self>) -> Self {
        let same_incarnation = old.filter(|old| old.peer.incarnation == update.incarnation);
        let known_ready_since = same_incarnation
            .filter(|old| old.peer.ready)
            .map(|old| old.ready_since);
        let age = Span::from_secs(u64::from(card.ready.unwrap_or(0)));
        let ready_since = Time::from_ms(now.as_ms().saturating_sub(age.as_ms()));
        let same_status = same_incarnation.filter(|old| old.peer.status == update.status);
        Self {
            peer: Peer {
                instance: update.instance.clone(),
                domain: card.domain.clone(),
                pool: card.pool.clone(),
                link: card.link,
                datagram: card.datagram,
                incarnation: update.incarnation,
                status: update.status,
                ready: card.ready.is_some(),
            },
            revision: update.revision,
            status_since: same_status.map_or(now, |old| old.status_since),
            ready_since: known_ready_since.unwrap_or(ready_since),
            link_broken: same_status.is_some_and(|old| old.link_broken),
            leave_announced: was_leave_announced(update, same_incarnation),
        }
    }

    fn apply_status(&mut self, now: Time, update: &Update) {
        self.leave_announced = was_leave_announced(update, Some(self));
        self.peer.status = update.status;
        self.revision = update.revision;
        self.status_since = now;
    }

    fn precedence(&self) -> (Incarnation, u32, Status) {
        (self.peer.incarnation, self.revision, self.peer.status)
    }

    fn is_healthy(&self) -> bool {
        self.peer.ready && self.peer.status == Status::Alive && !self.link_broken
    }

    fn is_fallback(&self) -> bool {
        self.peer.ready && matches!(self.peer.status, Status::Alive | Status::Suspect)
    }

    fn to_update(&self, now: Time) -> Update {
        let age = now.since(self.ready_since).as_ms() / 1000;
        let peer = &self.peer;
        Update {
            instance: peer.instance.clone(),
            incarnation: peer.incarnation,
            revision: self.revision,
            status: peer.status,
            card: (peer.status != Status::Dead).then(|| Card {
                domain: peer.domain.clone(),
                pool: peer.pool.clone(),
                link: peer.link,
                datagram: peer.datagram,
                ready: peer.ready.then(|| u8::try_from(age).unwrap_or(u8::MAX)),
            }),
        }
    }

    fn checksum(&self) -> u32 {
        let seed = self.peer.incarnation.0 ^ u64::from(self.revision).rotate_left(32);
        let status = self.peer.status as u64;
        let name = self.peer.instance.as_str().as_bytes();
        xxh3_64_with_seed(name, seed.wrapping_mul(5).wrapping_add(status)) as u32
    }
}

/// Whether a member announced that it leaves before it took on this status.
fn was_leave_announced(update: &Update, old: Option<&Member>) -> bool {
    match update.status {
        Status::Leaving => true,
        Status::Dead | Status::Suspect => old.is_some_and(|old| old.leave_announced),
        Status::Alive => false,
    }
}

fn remove_slot<K: Ord>(index: &mut BTreeMap<K, Vec<usize>>, key: &K, slot: usize) {
    if let Some(slots) = index.get_mut(key) {
        slots.retain(|s| *s != slot);
        if slots.is_empty() {
            index.remove(key);
        }
    }
}

/// A 32-bit hash of a member's name.
pub(super) fn name_hash(instance: &Instance) -> u32 {
    xxh3_64(instance.as_str().as_bytes()) as u32
}

/// A 32-bit tag that identifies one incarnation of a member.
pub(crate) fn incarnation_tag(instance: &Instance, incarnation: Incarnation) -> u32 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), incarnation.0) as u32
}

/// The first `count` members by rendezvous hashing with `purpose` as the hash seed,
/// best first. Nodes that know the same members get the same result.
pub fn rank_by_rendezvous<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    purpose: u64,
    count: usize,
) -> Vec<&'a Peer> {
    let weight = |peer: &Peer| xxh3_64_with_seed(peer.instance.as_str().as_bytes(), purpose);
    let mut peers: Vec<_> = peers.map(|peer| (weight(peer), peer)).collect();
    peers.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.instance.cmp(&y.instance)));
    peers.truncate(count);
    peers.into_iter().map(|(_, peer)| peer).collect()
}
