//! Queue of membership changes that still have to be gossiped.

use std::collections::BTreeMap;

use super::Update;
use crate::id::Instance;

/// Transmissions of a change per node, per decimal digit of the fleet size.
const TRANSMISSIONS_PER_DIGIT: u32 = 4;

#[derive(Clone, Debug)]
struct PendingUpdate {
    update: Update,
    transmissions: u32,
}

/// The changes to send, least often sent first. A newer change of the same member
/// replaces the older one.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    pending: BTreeMap<Instance, PendingUpdate>,
}

impl GossipQueue {
    pub(super) fn push(&mut self, update: Update) {
        let name = update.instance.clone();
        self.pending.insert(
            name,
            PendingUpdate {
                update,
                transmissions: 0,
            },
        );
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns changes of at most `budget` bytes and counts each as sent once more. A
    /// change leaves the queue after [`transmissions`] sends.
    pub(super) fn take(&mut self, budget: usize, members: usize) -> Vec<Update> {
        let mut order: Vec<_> = self
            .pending
            .iter()
            .map(|(name, pending)| (pending.transmissions, name.clone()))
            .collect();
        order.sort();
        let mut remaining = budget;
        let mut updates = Vec::new();
        for (_, name) in order {
            let Some(pending) = self.pending.get_mut(&name) else {
                continue;
            };
            let len = pending.update.max_encoded_len();
            if len > remaining {
                break;
            }
            remaining -= len;
            updates.push(pending.update.clone());
            pending.transmissions += 1;
            if pending.transmissions >= transmissions(members) {
                self.pending.remove(&name);
            }
        }
        updates
    }
}

/// How often each node sends a change. It grows with the logarithm of the number
/// of members, so that random gossip reaches all of them.
pub(super) fn transmissions(members: usize) -> u32 {
    let digits = members.max(1).ilog10() + 1;
    TRANSMISSIONS_PER_DIGIT * digits
}
