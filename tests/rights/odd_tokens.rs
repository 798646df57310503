//! Messages about tokens that another writer has spoilt: none ends a process, gives a
//! team more than its rate, or refuses it for good.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    context::{
        Importance,
        StartLimit, //
    },
    id::{
        Incarnation,
        Instance,
        Team, //
    },
    member::{
        Peer,
        Status, //
    },
    quota::{
        Bank,
        Charge,
        Holder,
        Message,
        Reply,
        bank, //
    },
    team,
    unit::{
        Rate,
        Weight, //
    },
};

const START: Time = Time::from_ms(100_000);
const LIFE: Incarnation = Incarnation(7);

fn name(text: &str) -> Instance {
    text.parse().expect("a name")
}

fn peer(text: &str) -> Peer {
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    Peer {
        instance: name(text),
        domain: "a".parse().expect("a name"),
        pool: "mill".parse().expect("a name"),
        link: address,
        datagram: address,
        incarnation: LIFE,
        status: Status::Alive,
        ready: true,
    }
}

fn mills() -> Team {
    "mills".parse().expect("a name")
}

/// The token servers of a fleet with these nodes, seen by one of them.
fn bank(local: &str, nodes: &[&str]) -> Bank {
    let mut bank = Bank::new(peer(local));
    let team = team::Team {
        name: mills(),
        rate: Rate::per_second(30),
        burst: 30,
        weight: Weight::default(),
    };
    bank.set_teams(START, &[team]);
    let nodes: Vec<Peer> = nodes.iter().map(|node| peer(node)).collect();
    let nodes: Vec<&Peer> = nodes.iter().collect();
    bank.update_nodes(START, Time::NEVER, &nodes);
    bank
}

/// Guards against a server whose odd answers end the borrower, give it more than it
/// asked for, or let it refuse a team for good.
#[test]
fn a_loan_is_no_larger_than_requested() {
    let mut bank = bank("me", &["s-1", "s-2", "s-3"]);
    let (mut taken, mut asked) = (0, 0);
    let mut now = START;
    for _ in 0..100 {
        now += Span::from_ms(1);
        while let Charge::Taken(_) =
            bank.take(now, &mills(), Importance::Normal, Default::default())
        {
            taken += 1;
            assert!(taken <= asked, "{taken} of {asked}");
        }
        for (_, message) in bank.outbox() {
            let bank::Message::Borrow { request, .. } = message else {
                continue;
            };
            asked += request.want;
            let reply = bank::LendReply {
                tokens: u32::MAX,
                fraction: u64::MAX,
                wait: Span::MAX,
                serving: true,
            };
            bank.on_message(
                now,
                bank::Message::Lend {
                    team: mills(),
                    number: request.number,
                    reply,
                },
            );
        }
        bank.tick(now, &BTreeMap::new());
    }
    assert!(taken > 0);
}

/// Guards against callers that are told to wait forever.
#[test]
fn a_wait_for_tokens_is_bounded() {
    let mut bank = bank("me", &["s-1", "s-2", "s-3"]);
    let mut now = START;
    for _ in 0..200 {
        now += Span::from_ms(1);
        bank.take(now, &mills(), Importance::Normal, Default::default());
        for (_, message) in bank.outbox() {
            let bank::Message::Borrow { request, .. } = message else {
                continue;
            };
            let reply = bank::LendReply {
                wait: Span::MAX,
                serving: true,
                ..Default::default()
            };
            let (team, number) = (mills(), request.number);
            let lend = bank::Message::Lend {
                team,
                number,
                reply,
            };
            bank.on_message(now, lend);
        }
    }
    assert!(bank.is_over_rate(now, &mills()));
    assert!(bank.time_until_token(now, &mills()) <= Span::from_secs(5));
}

/// Guards against a borrower, a depositor or a later server whose figures end a token
/// server or let it lend more than the team's burst.
#[test]
fn a_server_lends_no_more_than_the_burst() {
    let mut bank = bank("me", &["me", "s-2", "s-3"]);
    let now = START + Span::from_secs(10);
    let mut lent = 0;
    for number in 0..50 {
        for later in ["s-2", "s-3"] {
            let part = bank::DelegatedPart {
                team: mills(),
                life: Span::MAX,
                millis: u64::MAX,
            };
            bank.on_message(
                now,
                bank::Message::Parts {
                    from: name(later),
                    number: LIFE.0 + number,
                    parts: vec![part],
                },
            );
        }
        bank.on_message(now, bank::Message::Deposit(vec![(mills(), u64::MAX)]));
        let request = bank::BorrowRequest {
            team: mills(),
            number,
            want: u32::MAX,
            importance: Importance::Critical,
            brought_millis: u64::MAX,
            life: Span::from_ms(400),
            last: true,
        };
        let from = name("b");
        bank.on_message(now, bank::Message::Borrow { from, request });
        for (_, message) in bank.outbox() {
            if let bank::Message::Lend { reply, .. } = message {
                lent += reply.tokens;
            }
        }
        bank.tick(now, &BTreeMap::new());
    }
    // Each borrower may bring less than a token.
    assert!((1..=30 + 50).contains(&lent), "{lent}");
}

/// Guards against an owner of a rate whose odd answer refuses a team for good.
#[test]
fn a_refusal_by_an_owner_ends() {
    let mut holder = Holder::new(name("me"), LIFE);
    assert_eq!(holder.take(START, &mills()), Charge::Pending);
    let asked = holder.outbox();
    let number = asked.iter().find_map(|(_, message)| match message {
        Message::Ask(ask) => Some(ask.number),
        _ => None,
    });
    let number = number.expect("a request");
    holder.on_reply(START, &mills(), number, Reply::OverRate(Span::MAX));
    assert_eq!(holder.take(START, &mills()), Charge::OverRate);
    let later = START + Span::from_secs(2);
    assert_eq!(holder.take(later, &mills()), Charge::Pending);
}

/// Guards against a clock reading in a report at which the receiver ends.
#[test]
fn a_clock_at_its_end_is_no_fault() {
    let mut holder = Holder::new(name("me"), LIFE);
    holder.record_peer_clock(START, &name("a"), LIFE, u64::MAX);
    let later = START + Span::from_secs(1);
    let limit = holder.begin_deadline(later, &name("a"), LIFE, Span::from_secs(1));
    assert_eq!(limit, StartLimit::Clock(u64::MAX));
}
