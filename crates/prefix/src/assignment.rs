//! Engines to which all daemons send requests with the same beginning first.

use crate::{engine_key::EngineKey, prompt::Prompt};

/// Number of engines that are assigned to the shared beginning of a prompt, that is to all parts but the last. The second
/// one takes over while the first is busy or lost, and holds half of a hot beginning.
const FOR_BEGINNING: usize = 2;

/// Number of engines that are assigned to a whole prompt, of which a later request of its session is a continuation.
const FOR_SESSION: usize = 1;

/// Beginnings that are shorter than this are not worth a choice: five tokens per millisecond are read in 100 ms.
const MIN_TOKENS: u64 = 512;

/// Engines that are assigned to a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Index of each engine, with the number of leading parts for which it is assigned.
    engines: Vec<(usize, usize)>,
}

impl Assignment {
    /// Assigns some of `engines` to `prompt`. Each daemon computes the same without messages, as far as it knows the same
    /// engines: rendezvous hashing moves only the assignments of an engine that is lost or new.
    pub fn new(prompt: &Prompt, engines: &[EngineKey]) -> Self {
        let mut assigned: Vec<(usize, usize)> = Vec::new();
        let parts = prompt.len();
        for (parts, count) in [(parts - 1, FOR_BEGINNING), (parts, FOR_SESSION)] {
            for index in first_choices(prompt, parts, engines, count) {
                match assigned.iter_mut().find(|(known, _)| *known == index) {
                    Some(known) => known.1 = parts,
                    None => assigned.push((index, parts)),
                }
            }
        }
        Self { engines: assigned }
    }

    /// Indices of the assigned engines, those of the shared beginning first.
    pub fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        self.engines.iter().map(|(index, _)| *index)
    }

    /// Number of leading parts for which an engine is assigned.
    pub(crate) fn parts_at(&self, index: usize) -> usize {
        self.engines.iter().find(|(known, _)| *known == index).map_or(0, |(_, parts)| *parts)
    }
}

/// Indices of the first `count` engines for the first `parts` of a prompt.
fn first_choices(prompt: &Prompt, parts: usize, engines: &[EngineKey], count: usize) -> Vec<usize> {
    let Some((sequence, _)) = prompt.beginning(parts).filter(|(_, tokens)| *tokens >= MIN_TOKENS)
    else {
        return Vec::new();
    };
    let mut ranks: Vec<(u64, usize)> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (sequence.rank(engine.id_hash), index))
        .collect();
    ranks.sort_unstable_by(|a, b| b.cmp(a));
    ranks.into_iter().take(count).map(|(_, index)| index).collect()
}
