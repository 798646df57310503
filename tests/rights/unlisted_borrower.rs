//! Tokens for a node that the store does not list at the moment.

use bluebellswitch::{
    Result,
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    document::Snapshot,
    id::{
        Incarnation,
        Instance, //
    },
    interface::Source,
    member::{
        Peer,
        Status, //
    },
    message::Message,
    node::{
        Action,
        Bounds,
        Core,
        Event,
        Identity, //
    },
    quota::bank::{
        self,
        BorrowRequest, //
    },
};

fn read(_: &str) -> Result<Snapshot> {
    Ok(Snapshot::default())
}

fn core() -> Core {
    let address = "127.0.0.1:1".parse().expect("an address");
    let mut core = Core::new(Identity {
        peer: Peer {
            instance: "server".parse().expect("a name"),
            domain: "d".parse().expect("a name"),
            pool: "p".parse().expect("a name"),
            link: address,
            datagram: address,
            incarnation: Incarnation(1),
            status: Status::Alive,
            ready: true,
        },
        seed: 1,
    });
    let source = Source {
        prefix: "operators/",
        key: "operators/configuration",
        evacuated: |_| None,
        read,
    };
    core.enable_store_discovery(source, Bounds::default());
    core
}

/// Guards against a node that was cut off and gets no token until it is listed again,
/// although it reaches the token servers: it refused all calls for 1.6 s after its return.
#[test]
fn a_request_for_tokens_is_answered_to_its_source_address() {
    let mut core = core();
    let borrower: Instance = "returned".parse().expect("a name");
    let source = "127.0.0.1:9".parse().expect("an address");
    let request = BorrowRequest {
        team: "team".parse().expect("a name"),
        number: 7,
        want: 1,
        importance: Importance::Normal,
        brought_millis: 0,
        life: Span::from_ms(40),
        last: true,
    };
    let message = bank::Message::Borrow {
        from: borrower,
        request,
    };
    let mut out = Vec::new();
    let event = Event::Datagram(source, Message::Bank(message));
    core.on(Time::from_ms(100_000), event, &mut out);
    let is_reply = |action: &Action| match action {
        Action::Datagram(to, Message::Bank(bank::Message::Lend { number, .. })) => {
            (*to, *number) == (source, 7)
        }
        _ => false,
    };
    assert!(out.iter().any(is_reply), "{out:?}");
}
