//! All members that a node knows, and which record of a member wins.
//!
//! Records are ordered by life, then by the member's own revision, then by
//! status: at the same revision a death beats a suspicion and that beats life.
//! Only the member itself raises its revision, so only it can refute. All nodes
//! that have seen the same records agree, in whichever order they came.

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

/// How long a dead member stays in the table, to be tried again now and then.
pub const FORGET: Span = Span::from_secs(600);
/// How long a forgotten member's last record is remembered.
const TOMB: Span = Span::from_secs(24 * 3600);
/// Remembered records of forgotten members, at most.
const TOMBS: usize = 4096;

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It was news and is to be spread.
    New,
    /// This or something later was known.
    Old,
    /// It speaks of a member that is not known, without describing it.
    Unknown,
}

#[derive(Clone, Debug)]
struct Member {
    peer: Peer,
    revision: u32,
    /// Since when it has this status here.
    since: Time,
    ready_since: Time,
    /// A link to it broke: it gets no work until it answers a probe.
    doubted: bool,
    /// It said that it would leave, so its silence means nothing.
    planned: bool,
}

/// The last record of a member that left the table.
#[derive(Clone, Debug)]
struct Tomb {
    instance: Instance,
    incarnation: Incarnation,
    revision: u32,
    until: Time,
}

/// All members that this node knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    slots: Vec<Option<Member>>,
    free: Vec<usize>,
    names: BTreeMap<Instance, usize>,
    hashes: BTreeMap<u32, usize>,
    addresses: BTreeMap<SocketAddr, usize>,
    pools: BTreeMap<Pool, Vec<usize>>,
    domains: BTreeMap<Domain, Vec<usize>>,
    tombs: BTreeMap<u32, Tomb>,
    /// Failure domains whose upstreams get nothing, by the operators' order.
    evacuated: BTreeSet<Domain>,
}

impl Table {
    /// Sets the failure domains whose upstreams get nothing.
    pub fn set_evacuated_domains(&mut self, domains: BTreeSet<Domain>) {
        self.evacuated = domains;
    }

    /// Whether a member's upstream takes requests and may get some.
    pub fn accepts_work(&self, peer: &Peer) -> bool {
        peer.ready && !self.evacuated.contains(&peer.domain)
    }

    /// Whether the upstreams of a pool are there and all evacuated.
    pub fn is_evacuated(&self, pool: &Pool) -> bool {
        let slots = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let members = slots.iter().filter_map(|slot| self.slots[*slot].as_ref());
        let mut ready = members.filter(|member| member.peer.ready).peekable();
        let any = ready.peek().is_some();
        any && ready.all(|member| self.evacuated.contains(&member.peer.domain))
    }

    /// Adds or replaces a member, as if it had been there for long.
    pub fn insert(&mut self, peer: Peer) {
        let revision = self.member(&peer.instance).map_or(0, |m| m.revision);
        self.put(Member {
            peer,
            revision,
            since: Time::ZERO,
            ready_since: Time::ZERO,
            doubted: false,
            planned: false,
        });
    }

    /// Takes a member out.
    pub fn remove(&mut self, instance: &Instance) {
        self.take(instance);
    }

    /// Finds a member.
    pub fn get(&self, instance: &Instance) -> Option<&Peer> {
        self.member(instance).map(|member| &member.peer)
    }

    /// All members, by name, also those that are suspected or dead.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.names
            .values()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .map(|member| &member.peer)
    }

    /// The members of a pool whose upstreams take requests. Suspects are used
    /// only when nothing else is there: a probe may be wrong, an empty pool
    /// helps nobody.
    pub fn serving<'a>(&'a self, pool: &Pool) -> impl Iterator<Item = &'a Peer> {
        let slots = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let members = || {
            let members = slots.iter().filter_map(|slot| self.slots[*slot].as_ref());
            members.filter(|member| self.accepts_work(&member.peer))
        };
        let panic = !members().any(Member::healthy);
        members()
            .filter(move |member| match panic {
                true => member.possible(),
                false => member.healthy(),
            })
            .map(|member| &member.peer)
    }

    /// How long the member's upstream has taken requests, for its ramp.
    pub fn ready_duration(&self, now: Time, instance: &Instance) -> Option<Span> {
        let member = self.member(instance)?;
        member.peer.ready.then(|| now.since(member.ready_since))
    }

    /// The member that sends from this address.
    pub fn by_datagram_address(&self, address: SocketAddr) -> Option<&Peer> {
        let slot = *self.addresses.get(&address)?;
        self.slots[slot].as_ref().map(|member| &member.peer)
    }

    /// The members of one failure domain, also suspected and dead ones.
    pub fn in_domain<'a>(&'a self, domain: &Domain) -> impl Iterator<Item = &'a Peer> {
        let slots = self.domains.get(domain).map_or(&[][..], Vec::as_slice);
        slots
            .iter()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .map(|member| &member.peer)
    }

    /// The failure domains of which a member is known.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.domains.keys()
    }

    /// Members known, dead ones too.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Members that went silent without saying that they would leave, and all
    /// that are expected to be there.
    pub fn count_silent(&self, domain: &Domain) -> (usize, usize) {
        let slots = self.domains.get(domain).map_or(&[][..], Vec::as_slice);
        let expected = slots
            .iter()
            .filter_map(|slot| self.slots[*slot].as_ref())
            .filter(|member| !member.planned);
        expected.fold((0, 0), |(silent, all), member| {
            let lost = matches!(member.peer.status, Status::Suspect | Status::Dead);
            (silent + usize::from(lost), all + 1)
        })
    }

    /// The record of a member, to be spread.
    pub fn update_for(&self, now: Time, instance: &Instance) -> Option<Update> {
        self.member(instance).map(|member| member.update(now))
    }

    /// Takes a record in if it wins over the one that is known.
    pub fn merge(&mut self, now: Time, update: &Update) -> Merge {
        let hash = hash(&update.instance);
        let known = match (self.member(&update.instance), self.tombs.get(&hash)) {
            (Some(member), _) => Some(member.order()),
            (None, Some(tomb)) if tomb.instance == update.instance => {
                Some((tomb.incarnation, tomb.revision, Status::Dead))
            }
            _ => None,
        };
        let order = (update.incarnation, update.revision, update.status);
        if known.is_some_and(|known| known >= order) {
            return Merge::Old;
        }
        match (&update.card, self.member(&update.instance).cloned()) {
            (Some(card), old) => {
                self.put(Member::described(now, update, card, old.as_ref()));
            }
            (None, Some(mut member)) if member.peer.incarnation == update.incarnation => {
                member.judge(now, update);
                self.put(member);
            }
            _ => return Merge::Unknown,
        }
        self.tombs.remove(&hash);
        Merge::New
    }

    /// Raises a member's revision to at least this, for its own announcements.
    pub(super) fn announce(&mut self, now: Time, peer: &Peer, least: u32) -> Update {
        let old = self.member(&peer.instance).cloned();
        let revision = old.as_ref().map_or(0, |m| m.revision).max(least) + 1;
        let said = old.as_ref().filter(|m| m.peer.ready && m.revision > 0);
        let was_ready = said.map(|m| m.ready_since);
        let member = Member {
            peer: peer.clone(),
            revision,
            since: now,
            ready_since: was_ready.unwrap_or(now),
            doubted: false,
            planned: peer.status == Status::Leaving,
        };
        let update = member.update(now);
        self.put(member);
        update
    }

    /// Marks a member whose link broke, or that answered after that.
    pub(super) fn doubt(&mut self, instance: &Instance, doubted: bool) {
        let slot = self.names.get(instance).copied();
        if let Some(member) = slot.and_then(|slot| self.slots[slot].as_mut()) {
            member.doubted = doubted;
        }
    }

    /// Suspects whose time to refute has run out, and dead to be forgotten.
    pub(super) fn expired(&self, now: Time, refute: Span) -> (Vec<Update>, Vec<Instance>) {
        let mut dead = Vec::new();
        let mut gone = Vec::new();
        for member in self.slots.iter().flatten() {
            let age = now.since(member.since);
            match member.peer.status {
                Status::Suspect if age >= refute => dead.push(Update {
                    status: Status::Dead,
                    card: None,
                    ..member.update(now)
                }),
                Status::Dead if age >= FORGET => gone.push(member.peer.instance.clone()),
                _ => {}
            }
        }
        (dead, gone)
    }

    /// Gives every suspect its time again, as this node was paused itself.
    pub(super) fn restart_suspicions(&mut self, now: Time) {
        let suspects = self.slots.iter_mut().flatten();
        suspects
            .filter(|member| member.peer.status == Status::Suspect)
            .for_each(|member| member.since = now);
    }

    /// Forgets a dead member, but not that it is dead: a node that slept
    /// through its death would otherwise bring it back.
    pub(super) fn forget(&mut self, now: Time, instance: &Instance) {
        let Some(member) = self.take(instance) else {
            return;
        };
        self.tombs.retain(|_, tomb| tomb.until > now);
        if self.tombs.len() >= TOMBS {
            let oldest = self.tombs.iter().min_by_key(|(_, tomb)| tomb.until);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.tombs.remove(&hash));
        }
        self.tombs.insert(
            hash(instance),
            Tomb {
                instance: instance.clone(),
                incarnation: member.peer.incarnation,
                revision: member.revision,
                until: now + TOMB,
            },
        );
    }

    /// The state of a member as one checksum, by the hash of its name. A dead
    /// one has none, as nodes forget it at different times.
    pub(super) fn states(&self) -> impl Iterator<Item = (u32, u32)> {
        self.hashes.iter().filter_map(|(hash, slot)| {
            let member = self.slots[*slot].as_ref()?;
            (member.peer.status != Status::Dead).then(|| (*hash, member.state()))
        })
    }

    /// What is known of the member whose name hashes so, also of its death.
    pub(super) fn hashed(&self, now: Time, hash: u32) -> Option<Update> {
        if let Some(slot) = self.hashes.get(&hash) {
            return self.slots[*slot].as_ref().map(|member| member.update(now));
        }
        self.tombs.get(&hash).map(|tomb| Update {
            instance: tomb.instance.clone(),
            incarnation: tomb.incarnation,
            revision: tomb.revision,
            status: Status::Dead,
            card: None,
        })
    }

    fn member(&self, instance: &Instance) -> Option<&Member> {
        let slot = *self.names.get(instance)?;
        self.slots[slot].as_ref()
    }

    fn put(&mut self, member: Member) {
        if let Some(slot) = self.names.get(&member.peer.instance).copied()
            && let Some(old) = self.slots[slot].as_mut()
            && old.peer.pool == member.peer.pool
            && old.peer.domain == member.peer.domain
            && old.peer.datagram == member.peer.datagram
        {
            *old = member;
            return;
        }
        self.take(&member.peer.instance);
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let peer = &member.peer;
        self.names.insert(peer.instance.clone(), slot);
        self.hashes.insert(hash(&peer.instance), slot);
        self.addresses.insert(peer.datagram, slot);
        self.pools.entry(peer.pool.clone()).or_default().push(slot);
        self.domains
            .entry(peer.domain.clone())
            .or_default()
            .push(slot);
        self.slots[slot] = Some(member);
    }

    fn take(&mut self, instance: &Instance) -> Option<Member> {
        let slot = self.names.remove(instance)?;
        let member = self.slots[slot].take()?;
        self.free.push(slot);
        self.hashes.remove(&hash(instance));
        // Another member may have come to the address meanwhile.
        if self.addresses.get(&member.peer.datagram) == Some(&slot) {
            self.addresses.remove(&member.peer.datagram);
        }
        drop_slot(&mut self.pools, &member.peer.pool, slot);
        drop_slot(&mut self.domains, &member.peer.domain, slot);
        Some(member)
    }
}

impl Member {
    fn described(now: Time, update: &Update, card: &Card, old: Option<&Self>) -> Self {
        let same_life = old.filter(|old| old.peer.incarnation == update.incarnation);
        let was_ready = same_life
            .filter(|old| old.peer.ready)
            .map(|old| old.ready_since);
        let age = Span::from_secs(u64::from(card.ready.unwrap_or(0)));
        let heard = Time::from_ms(now.as_ms().saturating_sub(age.as_ms()));
        let same_status = same_life.filter(|old| old.peer.status == update.status);
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
            since: same_status.map_or(now, |old| old.since),
            ready_since: was_ready.unwrap_or(heard),
            doubted: same_status.is_some_and(|old| old.doubted),
            planned: planned(update, same_life),
        }
    }

    fn judge(&mut self, now: Time, update: &Update) {
        self.planned = planned(update, Some(self));
        self.peer.status = update.status;
        self.revision = update.revision;
        self.since = now;
    }

    fn order(&self) -> (Incarnation, u32, Status) {
        (self.peer.incarnation, self.revision, self.peer.status)
    }

    fn healthy(&self) -> bool {
        self.peer.ready && self.peer.status == Status::Alive && !self.doubted
    }

    fn possible(&self) -> bool {
        self.peer.ready && matches!(self.peer.status, Status::Alive | Status::Suspect)
    }

    fn update(&self, now: Time) -> Update {
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

    fn state(&self) -> u32 {
        let seed = self.peer.incarnation.0 ^ u64::from(self.revision).rotate_left(32);
        let status = self.peer.status as u64;
        let name = self.peer.instance.as_str().as_bytes();
        xxh3_64_with_seed(name, seed.wrapping_mul(5).wrapping_add(status)) as u32
    }
}

/// Whether a member's silence was announced by itself.
fn planned(update: &Update, old: Option<&Member>) -> bool {
    match update.status {
        Status::Leaving => true,
        Status::Dead | Status::Suspect => old.is_some_and(|old| old.planned),
        Status::Alive => false,
    }
}

fn drop_slot<K: Ord>(index: &mut BTreeMap<K, Vec<usize>>, key: &K, slot: usize) {
    if let Some(slots) = index.get_mut(key) {
        slots.retain(|s| *s != slot);
        if slots.is_empty() {
            index.remove(key);
        }
    }
}

/// The short hash of a member's name.
pub(super) fn hash(instance: &Instance) -> u32 {
    xxh3_64(instance.as_str().as_bytes()) as u32
}

/// A short mark of one life of a member.
pub(crate) fn incarnation_tag(instance: &Instance, incarnation: Incarnation) -> u32 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), incarnation.0) as u32
}

/// The first `count` members by rendezvous hashing for a purpose, best first.
/// All nodes that know the same members choose the same.
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
