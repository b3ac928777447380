//! Positions in the history of a store that may come back from a copy some seconds old.
//!
//! Such a restore loses the latest writes, and the store gives out their revisions again for other
//! writes. A revision alone therefore orders nothing; the store counts its restores as its era.

use strum::Display;

/// Number of bits of a fencing token that hold the revision; the era is above them.
const REVISION_BITS: u32 = 40;
/// Largest era that is believed. A token of this era is below 2^53, so that JSON numbers hold it.
const MAX_ERA: u64 = (1 << (53 - REVISION_BITS)) - 1;
/// Largest rise of the era from one answer to the next that is believed. A greater one is taken for
/// a garbled answer: if it were believed, all later answers would count as older.
const MAX_ERA_RISE: u64 = 64;

/// Position in the history of a store. Positions of a later era come after all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// How often the store has been restored; zero for a store that states no era.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: u64, revision: u64) -> StorePosition {
        StorePosition { era, revision }
    }

    /// The position as a fencing token: it rises with each write, also across restores. `None` if
    /// the revision is too large for a token.
    pub fn fencing_token(self) -> Option<u64> {
        let fits = self.era <= MAX_ERA && self.revision < 1 << REVISION_BITS;
        fits.then_some((self.era << REVISION_BITS) | self.revision)
    }
}

impl std::fmt::Display for StorePosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// What an answer of the store says of its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraStatement {
    /// The answer states no era.
    Absent,
    /// The answer states something that is not a number.
    Garbled,
    /// The answer was given in this era.
    Era(u64),
}

/// Why an answer of the store is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EraFault {
    /// Earlier answers stated an era and this one does not.
    Absent,
    /// The era is not a number.
    Garbled,
    /// The era is too large, or has risen by too much.
    Implausible,
    /// The answer is of an earlier era: it was overtaken by one that was given after a restore.
    Past,
}

/// The latest era that a store's answers have stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraTracker {
    known: Option<u64>,
}

impl EraTracker {
    /// The latest era; zero before the first answer and for a store that states none.
    pub fn era(&self) -> u64 {
        self.known.unwrap_or(0)
    }

    /// Records what an answer states. Returns the era in which the answer was given.
    ///
    /// # Errors
    ///
    /// The reason for which the answer must not be used.
    pub fn observe(&mut self, statement: EraStatement) -> Result<u64, EraFault> {
        let era = match statement {
            EraStatement::Absent if self.era() == 0 => 0,
            EraStatement::Absent => return Err(EraFault::Absent),
            EraStatement::Garbled => return Err(EraFault::Garbled),
            EraStatement::Era(era) => era,
        };
        let rise = era.saturating_sub(self.era());
        if era > MAX_ERA || (self.known.is_some_and(|known| known > 0) && rise > MAX_ERA_RISE) {
            return Err(EraFault::Implausible);
        }
        if era < self.era() {
            return Err(EraFault::Past);
        }
        self.known = Some(era);
        Ok(era)
    }
}
