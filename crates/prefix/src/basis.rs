//! Reasons to believe that a part is cached at an engine.

/// Why a part of a prompt may be cached at an engine, the strongest reason first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// This daemon has sent the part there within the last seconds; the field is the class of its age.
    OwnUse(usize),
    /// All daemons send requests with the part there first, and it is not the last one of the prompt.
    Beginning,
    /// All daemons send the requests of a session there first, and it is the last part of the prompt.
    Session,
    /// Other requests may have brought the part there.
    Elsewhere,
}

/// Upper ends of the classes of ages of an own use.
const AGE_ENDS_MS: [u64; 4] = [2_000, 8_000, 30_000, 120_000];

/// Number of reasons that are told apart.
pub(crate) const BASES: usize = AGE_ENDS_MS.len() + 3;

impl Basis {
    /// Reason for an engine to which this daemon sent the part `own_age_ms` ago, if it did.
    pub(crate) fn new(own_age_ms: Option<u64>, is_assigned: bool, is_last: bool) -> Self {
        let class = own_age_ms.and_then(|age_ms| AGE_ENDS_MS.iter().position(|&end| age_ms < end));
        match class {
            Some(class) => Self::OwnUse(class),
            None if is_assigned && is_last => Self::Session,
            None if is_assigned => Self::Beginning,
            None => Self::Elsewhere,
        }
    }

    pub(crate) fn index(self) -> usize {
        match self {
            Self::OwnUse(class) => class.min(AGE_ENDS_MS.len() - 1),
            Self::Beginning => AGE_ENDS_MS.len(),
            Self::Session => AGE_ENDS_MS.len() + 1,
            Self::Elsewhere => AGE_ENDS_MS.len() + 2,
        }
    }
}
