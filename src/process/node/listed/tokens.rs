//! Message transport of the token servers in discovery mode.

use crate::{
    clock::Time,
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

    pub(in crate::process::node) fn on_bank_message(
        &mut self,
        now: Time,
        message: bank::Message,
        out: &mut Vec<Action>,
    ) {
        let Some(bank) = self.quota.bank() else {
            return;
        };
        if let Some(team) = bank.on_message(now, message) {
            self.run_router(now, ingress::Event::TokensChanged(team), out);
        }
        self.send_bank_messages(out);
    }
}
