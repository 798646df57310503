//! Anti-entropy: comparing two member tables without sending them.
//!
//! A digest has one checksum for each of 64 buckets of members. The other side
//! answers with the members of the buckets that differ, one checksum each, as many
//! as fit into one datagram; then only the records that differ are sent. Two equal
//! tables cost one digest.

#![warn(clippy::arithmetic_side_effects, clippy::indexing_slicing)]

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Update,
    table::Table, //
};
use crate::clock::Time;

/// Number of buckets of a digest; each is one bit of a `u64` mask.
const BUCKET_COUNT: u32 = 64;
/// Length of a checksum, or of the hash of a name, in bytes.
const SUM_LEN: usize = 4;
/// Maximum number of members whose checksums fit into one datagram.
const MAX_ENTRIES: usize = 150;
/// Maximum encoded length of the updates in one datagram, in bytes.
const MAX_PAGE_LEN: usize = 1150;

/// The checksums of all buckets of a table.
pub(crate) fn digest(table: &Table) -> Vec<u8> {
    let mut buckets = [0_u32; BUCKET_COUNT as usize];
    for (hash, checksum) in table.checksums() {
        if let Some(sum) = buckets.get_mut((hash % BUCKET_COUNT) as usize) {
            *sum ^= checksum;
        }
    }
    buckets.iter().flat_map(|sum| sum.to_be_bytes()).collect()
}

/// The members of the buckets that differ from a peer's digest, as many whole
/// buckets as fit, starting at bucket `first`. Callers choose it at random, so
/// that repeated exchanges cover all buckets.
pub(super) fn differing_entries(table: &Table, theirs: &[u8], first: u32) -> (u64, Vec<u8>) {
    let ours = digest(table);
    if theirs.len() != ours.len() {
        return (0, Vec::new());
    }
    let sums = ours.chunks_exact(SUM_LEN).zip(theirs.chunks_exact(SUM_LEN));
    let differing: BTreeSet<u32> = (0..BUCKET_COUNT)
        .zip(sums)
        .filter(|(_, (ours, theirs))| ours != theirs)
        .map(|(bucket, _)| bucket)
        .collect();
    let mut members_by_bucket: BTreeMap<u32, Vec<(u32, u32)>> = BTreeMap::new();
    for (hash, checksum) in table.checksums() {
        members_by_bucket
            .entry(hash % BUCKET_COUNT)
            .or_default()
            .push((hash, checksum));
    }
    let mut mask = 0;
    let mut entries = Vec::new();
    let mut remaining = MAX_ENTRIES;
    let (before, from) = differing
        .iter()
        .partition::<Vec<u32>, _>(|bucket| **bucket < first);
    for bucket in from.into_iter().chain(before) {
        let members = members_by_bucket.remove(&bucket).unwrap_or_default();
        // A bucket that is too large on its own is truncated. The exchanges
        // that the other side starts repair the rest.
        let taken = members.len().min(MAX_ENTRIES);
        if taken > remaining {
            break;
        }
        remaining = remaining.saturating_sub(taken);
        mask |= 1 << bucket;
        for (hash, checksum) in members.iter().take(taken) {
            entries.extend(hash.to_be_bytes());
            entries.extend(checksum.to_be_bytes());
        }
    }
    (mask, entries)
}

/// Compares the entries of some buckets of a peer with the table. Returns the
/// records to send, and the name hashes of the records to request.
pub(super) fn compare(
    now: Time,
    table: &Table,
    mask: u64,
    entries: &[u8],
) -> (Vec<Update>, Vec<u8>) {
    let ours: BTreeMap<u32, u32> = table
        .checksums()
        .filter(|(hash, _)| mask & (1 << (hash % BUCKET_COUNT)) != 0)
        .collect();
    let mut to_send = Vec::new();
    let mut to_request = Vec::new();
    let mut theirs = BTreeSet::new();
    for (hash, checksum) in entry_pairs(entries) {
        theirs.insert(hash);
        if ours.get(&hash) == Some(&checksum) {
            continue;
        }
        to_send.extend(table.update_by_hash(now, hash));
        to_request.extend(hash.to_be_bytes());
    }
    let missing = ours.keys().filter(|hash| !theirs.contains(hash));
    to_send.extend(missing.filter_map(|hash| table.update_by_hash(now, *hash)));
    (to_send, to_request)
}

/// The records of the members that a peer requested by name hash.
pub(super) fn requested_updates(now: Time, table: &Table, hashes: &[u8]) -> Vec<Update> {
    let hashes = hashes.chunks_exact(SUM_LEN).take(MAX_ENTRIES).map(read_u32);
    hashes
        .filter_map(|hash| table.update_by_hash(now, hash))
        .collect()
}

/// Splits records into pages that fit into one datagram each.
pub(super) fn pages(updates: Vec<Update>) -> Vec<Vec<Update>> {
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut remaining = MAX_PAGE_LEN;
    for update in updates {
        let len = update.max_encoded_len();
        if len > remaining && !page.is_empty() {
            pages.push(std::mem::take(&mut page));
            remaining = MAX_PAGE_LEN;
        }
        remaining = remaining.saturating_sub(len);
        page.push(update);
    }
    if !page.is_empty() {
        pages.push(page);
    }
    pages
}

fn entry_pairs(bytes: &[u8]) -> impl Iterator<Item = (u32, u32)> {
    let pairs = bytes.chunks_exact(2 * SUM_LEN).take(MAX_ENTRIES);
    pairs
        .map(|pair| pair.split_at(SUM_LEN))
        .map(|(hash, sum)| (read_u32(hash), read_u32(sum)))
}

fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0, |n, byte| n << 8 | u32::from(*byte))
}
