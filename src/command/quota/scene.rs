//! What happens to the fleet during a trial.

use crate::clock::Span;

/// One course of events. Each begins after the fleet has settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scene {
    /// Nothing.
    Steady,
    /// All demand moves to another node every five seconds.
    Moving,
    /// The busiest quota owner is killed.
    OwnerKilled,
    /// The busiest quota owner stops for 30 s and wakes.
    OwnerPaused,
    /// The busiest quota owner is told to leave.
    OwnerLeaves,
    /// The store does not answer for ten minutes.
    StoreOut,
    /// The same, and the busiest quota owner is killed meanwhile.
    StoreOutOwnerKilled,
    /// The same, and the successor of the busiest owner is killed meanwhile.
    StoreOutSuccessorKilled,
    /// One answer of the store in three is lost, and a quota owner is killed.
    AnswersLost,
    /// One failure domain loses all others, but not the store, for 30 s.
    DomainCutOff,
    /// One failure domain is killed.
    DomainLost,
}

impl Scene {
    /// Every scene.
    pub const ALL: [Self; 11] = [
        Self::Steady,
        Self::Moving,
        Self::OwnerKilled,
        Self::OwnerPaused,
        Self::OwnerLeaves,
        Self::StoreOut,
        Self::StoreOutOwnerKilled,
        Self::StoreOutSuccessorKilled,
        Self::AnswersLost,
        Self::DomainCutOff,
        Self::DomainLost,
    ];

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Moving => "demand moves wholly",
            Self::OwnerKilled => "owner killed",
            Self::OwnerPaused => "owner paused 30 s",
            Self::OwnerLeaves => "owner leaves",
            Self::StoreOut => "store out 10 min",
            Self::StoreOutOwnerKilled => "store out, owner killed",
            Self::StoreOutSuccessorKilled => "store out, successor killed",
            Self::AnswersLost => "answers lost, owner killed",
            Self::DomainCutOff => "domain cut off 30 s",
            Self::DomainLost => "domain lost",
        }
    }

    /// How long the trial goes on after the event.
    pub fn length(self) -> Span {
        match self {
            Self::StoreOut | Self::StoreOutOwnerKilled | Self::StoreOutSuccessorKilled => {
                Span::from_secs(630)
            }
            _ => Span::from_secs(60),
        }
    }
}
