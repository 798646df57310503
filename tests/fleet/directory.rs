//! The listing of nodes in the store: who counts as a member, and when.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    directory::{
        Change,
        Directory,
        Purpose,
        RECORD_PREFIX, //
    },
    id::{
        Incarnation,
        Lease,
        Revision, //
    },
    member::{
        Peer,
        Status, //
    },
    quota::bank,
    store::{
        self,
        Answer,
        Call,
        Entry, //
    },
};

fn peer(name: &str, life: u64) -> Peer {
    let address = "127.0.0.1:7000".parse().expect("an address");
    Peer {
        instance: name.parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        pool: "mill".parse().expect("a name"),
        link: address,
        datagram: address,
        incarnation: Incarnation(life),
        status: Status::Alive,
        ready: true,
    }
}

fn entry(peer: &Peer) -> Entry {
    Entry {
        key: format!("{RECORD_PREFIX}{}", peer.instance),
        value: serde_json::to_string(peer).expect("text"),
        revision: Revision(1),
    }
}

fn listing(peers: &[Peer]) -> Answer {
    Answer::Listing {
        entries: peers.iter().map(entry).collect(),
        at: Revision(9),
    }
}

fn gone(name: &str) -> Answer {
    let change = store::Change {
        key: format!("{RECORD_PREFIX}{name}"),
        entry: None,
    };
    Answer::Changes {
        changes: vec![change],
        at: Revision(10),
    }
}

struct Story {
    now: Time,
    directory: Directory,
}

impl Story {
    fn new() -> Self {
        Self {
            now: Time::from_ms(1000),
            directory: Directory::new(peer("me", 5)),
        }
    }

    /// The calls that are due, and members whose time is over.
    fn tick(&mut self) -> (Vec<(Purpose, Call)>, Vec<Change>) {
        let mut calls = Vec::new();
        let gone = self.directory.tick(self.now, &mut calls);
        (calls, gone)
    }

    fn answer(&mut self, purpose: Purpose, answer: Answer) -> Vec<Change> {
        self.directory.handle_answer(self.now, purpose, answer)
    }

    /// The store renews the lease.
    fn renew(&mut self) {
        self.tick();
        let (lease, ttl) = (Lease(7), Span::from_secs(6));
        self.answer(Purpose::Register, Answer::Leased { lease, ttl });
    }

    /// Gets a lease and enters the record.
    fn register(&mut self) {
        let lease = Lease(7);
        let ttl = Span::from_secs(6);
        self.tick();
        self.answer(Purpose::Register, Answer::Leased { lease, ttl });
        self.tick();
        self.answer(Purpose::Register, Answer::Swapped(Revision(3)));
    }
}

/// Who mints rates must be among those that everybody counts, and the record
/// lives for six seconds. Four seconds after the last renewal was sent the node
/// no longer counts itself, so it never outlives its record.
#[test]
fn a_member_is_one_for_as_long_as_its_record_certainly_lives() {
    let mut story = Story::new();
    assert_eq!(story.directory.membership_age(story.now), None);
    story.register();
    story.now += Span::from_secs(4);
    assert_eq!(
        story.directory.membership_age(story.now),
        Some(Span::from_secs(4))
    );
    story.now += Span::from_ms(1);
    assert_eq!(story.directory.membership_age(story.now), None);
}

/// The store was away and all leases lapsed. A record that vanishes is no death:
/// the member stays, and one that enters itself again was never gone.
#[test]
fn a_lapsed_record_is_no_death_for_a_while() {
    let mut story = Story::new();
    story.tick();
    let other = peer("other", 2);
    assert_eq!(
        story.answer(Purpose::Watch, listing(std::slice::from_ref(&other))),
        [Change::Updated(other.clone())]
    );
    story.tick();
    assert!(story.answer(Purpose::Watch, gone("other")).is_empty());
    story.now += Span::from_secs(2);
    let (_, buried) = story.tick();
    assert!(buried.is_empty());
    story.answer(Purpose::Watch, listing(std::slice::from_ref(&other)));
    story.now += Span::from_secs(10);
    assert!(story.tick().1.is_empty());
    story.answer(Purpose::Watch, gone("other"));
    story.now += Span::from_secs(4);
    assert_eq!(story.tick().1, [Change::Removed(other.instance)]);
}

/// A write of a former life was lost, and takes effect seconds later, over the
/// record of this one. The others keep to the later life, and it writes its
/// record again.
#[test]
fn a_late_write_of_a_former_life_is_mended() {
    let mut story = Story::new();
    story.register();
    story.tick();
    story.answer(Purpose::Watch, listing(&[peer("me", 5)]));
    let late = peer("me", 4);
    story.tick();
    assert!(story.answer(Purpose::Watch, listing(&[late])).is_empty());
    let (calls, _) = story.tick();
    let writes = calls
        .iter()
        .any(|(purpose, call)| *purpose == Purpose::Register && matches!(call, Call::Put { .. }));
    assert!(writes, "{calls:?}");
}

#[test]
fn a_lease_that_ended_is_made_anew() {
    let mut story = Story::new();
    story.register();
    story.now += Span::from_secs(2);
    let (calls, _) = story.tick();
    assert!(
        calls
            .iter()
            .any(|(_, call)| matches!(call, Call::Renew { .. }))
    );
    story.answer(Purpose::Register, Answer::Expired);
    assert_eq!(story.directory.membership_age(story.now), None);
    let (calls, _) = story.tick();
    assert!(
        calls
            .iter()
            .any(|(_, call)| matches!(call, Call::Grant { .. }))
    );
}

/// All nodes were killed at once, and each one refused all keyed requests for
/// two seconds after its return: it took itself for a newcomer whom the others
/// do not count yet. Its record had never lapsed, so they had counted it all
/// along.
#[test]
fn a_node_that_returns_in_time_was_never_gone() {
    let mut story = Story::new();
    let (lease, ttl) = (Lease(7), Span::from_secs(6));
    story.tick();
    story.answer(Purpose::Register, Answer::Leased { lease, ttl });
    let swap = |calls: &[(Purpose, Call)]| {
        let mut expects = calls.iter().filter_map(|(_, call)| match call {
            Call::Swap { expect, .. } => Some(*expect),
            _ => None,
        });
        expects.next()
    };
    assert_eq!(swap(&story.tick().0), Some(Revision(0)));
    let mut former = entry(&peer("me", 4));
    former.revision = Revision(6);
    story.answer(Purpose::Register, Answer::Conflict(Some(former)));
    assert_eq!(story.directory.membership_age(story.now), None);
    assert_eq!(swap(&story.tick().0), Some(Revision(6)));
    story.answer(Purpose::Register, Answer::Swapped(Revision(8)));
    assert_eq!(story.directory.membership_age(story.now), Some(Span::MAX));
    // A lease that ends afterwards is a gap like any other.
    story.now += Span::from_secs(2);
    story.tick();
    story.answer(Purpose::Register, Answer::Expired);
    assert_eq!(story.directory.membership_age(story.now), None);
}

/// The first write took effect and its answer was lost. The next try meets the
/// node's own record, which does not tell whether it replaced a former one.
#[test]
fn an_own_record_proves_no_former_life() {
    let mut story = Story::new();
    let (lease, ttl) = (Lease(7), Span::from_secs(6));
    story.tick();
    story.answer(Purpose::Register, Answer::Leased { lease, ttl });
    story.tick();
    story.answer(Purpose::Register, Answer::Lost);
    story.now += Span::from_ms(50);
    story.tick();
    let own = entry(&peer("me", 5));
    story.answer(Purpose::Register, Answer::Conflict(Some(own)));
    let (calls, _) = story.tick();
    let writes = calls
        .iter()
        .any(|(_, call)| matches!(call, Call::Put { .. }));
    assert!(writes, "{calls:?}");
    story.answer(Purpose::Register, Answer::Swapped(Revision(3)));
    assert_eq!(story.directory.membership_age(story.now), Some(Span::ZERO));
}

/// A node that stops takes its own record away. For four more seconds the others
/// kept its share of every rate, of which nobody made use.
#[test]
fn a_member_that_leaves_is_gone_with_its_record() {
    let mut story = Story::new();
    story.tick();
    let mut other = peer("other", 2);
    other.status = Status::Leaving;
    story.answer(Purpose::Watch, listing(std::slice::from_ref(&other)));
    story.tick();
    story.answer(Purpose::Watch, gone("other"));
    assert_eq!(story.tick().1, [Change::Removed(other.instance)]);
}

fn counted(story: &Story) -> Vec<String> {
    let counted = story.directory.token_server_candidates(story.now);
    counted
        .iter()
        .map(|peer| peer.instance.to_string())
        .collect()
}

/// Guards against a node that the store turns away and that pays the full price for
/// each try to write its record.
#[test]
fn a_node_that_is_turned_away_tries_at_the_lowest_price() {
    let mut story = Story::new();
    story.register();
    story.tick();
    story.answer(Purpose::Watch, listing(&[peer("me", 5)]));
    story.now += Span::from_secs(1);
    story.tick();
    story.answer(Purpose::Watch, gone("me"));
    let first = registering(&mut story);
    assert!(matches!(first, Some(Call::Put { .. })), "{first:?}");
    story.answer(Purpose::Register, Answer::Lost);
    for _ in 0..3 {
        story.now += Span::from_secs(1);
        let next = registering(&mut story);
        assert!(matches!(next, Some(Call::Renew { .. })), "{next:?}");
        story.answer(Purpose::Register, Answer::Lost);
    }
    story.now += Span::from_secs(1);
    story.tick();
    let (lease, ttl) = (Lease(7), Span::from_secs(6));
    story.answer(Purpose::Register, Answer::Leased { lease, ttl });
    assert_eq!(
        story.directory.membership_age(story.now),
        None,
        "it has no record"
    );
    let then = registering(&mut story);
    assert!(matches!(then, Some(Call::Put { .. })), "{then:?}");
}

fn registering(story: &mut Story) -> Option<Call> {
    let (calls, _) = story.tick();
    let call = calls.into_iter().find(|(p, _)| *p == Purpose::Register);
    call.map(|(_, call)| call)
}

/// Guards against a part of every rate that a node whose record has lapsed no
/// longer mints, and that nobody else mints either.
#[test]
fn a_member_whose_record_lapsed_serves_no_tokens() {
    let mut story = Story::new();
    story.tick();
    let all = [peer("one", 1), peer("two", 1)];
    story.answer(Purpose::Watch, listing(&all));
    assert_eq!(counted(&story), ["one", "two"]);
    story.tick();
    story.answer(Purpose::Watch, gone("two"));
    let (_, changes) = story.tick();
    assert_eq!(changes, [], "it is still a member");
    assert_eq!(counted(&story), ["one"]);
}

/// Guards against a newcomer that is chosen before it may mint, and against two
/// that mint because one of them does not know the newcomer yet.
#[test]
fn a_newcomer_serves_tokens_when_all_others_know_it() {
    let mut story = Story::new();
    story.register();
    let me = peer("me", 5);
    story.tick();
    story.answer(Purpose::Watch, listing(std::slice::from_ref(&me)));
    let begun = story.now;
    while story.now.since(begun) < bank::JOIN_DELAY {
        story.now += Span::from_secs(1);
        story.renew();
        let quiet = Answer::Changes {
            changes: Vec::new(),
            at: Revision(9),
        };
        story.answer(Purpose::Watch, quiet);
    }
    assert_eq!(counted(&story), ["me"]);
    let asked = story.now;
    story.now += Span::from_secs(1);
    story.tick();
    story.answer(Purpose::Watch, listing(&[me, peer("new", 1)]));
    assert_eq!(counted(&story), ["me"], "it does not mint yet");
    let until = story.directory.minting_until(story.now);
    assert!(
        until <= asked + bank::JOIN_DELAY,
        "the newcomer may mint then"
    );
    story.now = asked + bank::MAX_VIEW_AGE;
    story.renew();
    assert_eq!(counted(&story), ["me", "new"]);
}

/// Guards against minting by a view of the others that is too old.
#[test]
fn an_old_view_of_the_others_mints_nothing() {
    let mut story = Story::new();
    story.register();
    story.tick();
    story.answer(Purpose::Watch, listing(&[peer("me", 5)]));
    for _ in 0..5 {
        story.now += Span::from_secs(1);
        story.renew();
    }
    assert!(story.directory.minting_until(story.now) <= story.now);
}

/// All nodes come back at once, and each of their records woke every node by
/// itself: the store was asked as often as there are pairs of nodes. What changes
/// within a moment comes with one answer.
#[test]
fn records_that_change_together_are_heard_of_together() {
    let mut story = Story::new();
    story.register();
    story.tick();
    story.answer(Purpose::Watch, listing(&[peer("me", 5), peer("one", 1)]));
    story.tick();
    story.answer(Purpose::Watch, gone("one"));
    let asks = |calls: &[(Purpose, Call)]| calls.iter().any(|(p, _)| *p == Purpose::Watch);
    assert!(!asks(&story.tick().0), "it asked at once");
    story.now += Span::from_ms(200);
    assert!(asks(&story.tick().0), "it does not ask again");
}
