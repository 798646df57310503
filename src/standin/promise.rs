//! What must always hold, each line by name.
//!
//! The ledger and the driver check these beside the decisions. A plant breaks
//! one on purpose, to show that its check can fail.

use std::fmt;

macro_rules! promises {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// One line of what must always hold.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Promise {
            $($(#[$doc])* $name,)*
        }

        impl Promise {
            /// All lines.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The line in words.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }

        impl fmt::Display for Promise {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$name => stringify!($name),)* })
            }
        }
    };
}

promises! {
    /// Retries over the whole tree of one root.
    Retries = "the retries made for one request are bounded across the whole chain",
    /// Shedding by importance.
    Importance = "under overload, important requests are shed last",
    /// The team that a request runs for.
    Team = "a request runs only for the team whose key came with it",
    /// Keys beyond the ingress.
    Key = "no upstream sees a team's key",
    /// Keys that were withdrawn.
    Withdrawn = "a withdrawn key stops working within seconds",
    /// Rate and burst over every window.
    Rate = "no team receives more than its rate and burst over all instances",
    /// Answers and their requests.
    Whole = "a caller gets the whole answer to its own request",
    /// Refusals that say so.
    NotRun = "a refusal that says \"not run\" is true",
    /// Requests that are not idempotent.
    Once = "a non-idempotent request runs at most once",
    /// Upstreams that leave.
    Leaving = "an upstream that is leaving receives no new work after a few seconds",
    /// Planned stops.
    Stop = "a planned stop cuts no request",
    /// Accepted versions.
    Configuration = "an accepted configuration is in force everywhere and never reverts",
}
