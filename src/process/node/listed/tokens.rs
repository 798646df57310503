//! Message transport of the token servers in discovery mode.

use std::net::SocketAddr;

use crate::{
    clock::Time,
    id::Instance,
    ingress,
    message::Message,
    node::{
        Action,
        Core, //
    },
    quota::bank, //
};

impl Core {
    pub(super) fn bank_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let waiting = self.router.waiting_for_tokens();
        let Some(bank) = self.quota.bank() else {
            return;
        };
        for team in bank.tick(now, &waiting) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        self.send_bank_messages(out);
    }

    pub(in crate::process::node) fn send_bank_messages(&mut self, out: &mut Vec<Action>) {
        let Some(bank) = self.quota.bank() else {
            return;
        };
        for (to, message) in bank.outbox() {
            self.send_message(&to, Message::Bank(message), out);
        }
    }

    /// Handles a message that arrived in a datagram from `source`, or over a link.
    pub(in crate::process::node) fn on_bank_message(
        &mut self,
        now: Time,
        source: Option<SocketAddr>,
        message: bank::Message,
        out: &mut Vec<Action>,
    ) {
        let unlisted_borrower = self.unlisted_borrower(&message).zip(source);
        let Some(bank) = self.quota.bank() else {
            return;
        };
        if let Some(team) = bank.on_message(now, message) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        if let Some((borrower, source)) = unlisted_borrower {
            self.reply_to_source(&borrower, source, out);
        }
        self.send_bank_messages(out);
    }

    /// The sender of a request for tokens, if it is not a member. A node that was cut
    /// off from the store is removed from the members and returns only once it has
    /// registered again, but its callers need tokens as soon as it is reachable.
    fn unlisted_borrower(&self, message: &bank::Message) -> Option<Instance> {
        match message {
            bank::Message::Borrow { from, .. } if self.members.get(from).is_none() => {
                Some(from.clone())
            }
            _ => None,
        }
    }

    /// Sends the messages for a node that is not a member to the source address of its
    /// request.
    fn reply_to_source(&mut self, to: &Instance, source: SocketAddr, out: &mut Vec<Action>) {
        let Some(bank) = self.quota.bank() else {
            return;
        };
        for message in bank.take_messages_to(to) {
            out.push(Action::Datagram(source, Message::Bank(message)));
        }
    }
}
