//! Crashes in series on the same parts.

use crate::{
    crash::CrashedEngine, crash_record::CrashRecord, part_id::PartId, thresholds::Thresholds,
    verdict::Verdict,
};
use base::{DomainName, HashMap};

/// Time in milliseconds within which several crashes in one failure domain count once, because the engines of a domain
/// tend to fail together.
const DOMAIN_BURST_MS: u64 = 600;

/// Crash with its engine.
pub(crate) type KnownCrash<'a> = (&'a CrashedEngine, &'a CrashRecord);

/// Set of crashes: bit `n` stands for crash `n` in the order of their times.
pub(crate) type CrashSet = u128;

/// Crashes since the last survival of a part.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct PartCrashes {
    all: CrashSet,
    /// Those that count as crashes of engines that had just begun to answer a request with the part.
    begun: CrashSet,
}

impl PartCrashes {
    /// Adds the crash `number`. `is_begun` tells whether it counts as one of an engine that had begun to answer.
    pub fn add(&mut self, number: usize, is_begun: bool) {
        self.all |= 1 << number;
        self.begun |= CrashSet::from(is_begun) << number;
    }

    /// Removes the crashes of a set.
    pub fn remove(&mut self, crashes: CrashSet) {
        self.all &= !crashes;
        self.begun &= !crashes;
    }

    /// Number of crashes.
    pub fn len(&self) -> usize {
        self.all.count_ones() as usize
    }
}

/// Crashes since the last survival of some parts that have all of them in common. Parts with the same crashes share one
/// series, so that a prompt with many parts costs little more than one with few.
#[derive(Debug)]
pub(crate) struct Series {
    pub crashes: CrashSet,
    /// Parts that have exactly these crashes, sorted.
    pub parts: Vec<PartId>,
    /// Number of crashes, where those of one failure domain in quick succession count once.
    pub count: usize,
    /// Like `count`, for the crashes of engines that had just begun to answer a request with the parts.
    begun_count: usize,
}

impl Series {
    /// Creates the series of `parts`, given all crashes in the order of their times.
    pub fn new(crashes: PartCrashes, mut parts: Vec<PartId>, all: &[KnownCrash<'_>]) -> Self {
        parts.sort_unstable();
        let begun_count = count(members(crashes.begun, all));
        let count = count(members(crashes.all, all));
        Self { crashes: crashes.all, parts, count, begun_count }
    }

    /// Whether the crashes suffice for a verdict.
    pub fn is_sufficient(&self, thresholds: Thresholds) -> bool {
        self.begun_count >= thresholds.begun || self.count >= thresholds.any
    }

    /// Number of crashes.
    pub fn len(&self) -> usize {
        self.crashes.count_ones() as usize
    }

    /// Whether shorter series that suffice for verdicts of their own hold these crashes, apart from single ones.
    pub fn is_explained_by_others(
        &self,
        all: &[Self],
        thresholds: Thresholds,
        single: usize,
    ) -> bool {
        // Requests that only waited at an engine explain nothing that begun ones do.
        let has_begun = self.begun_count >= thresholds.begun;
        let is_sufficient = |other: &&Self| {
            other.len() < self.len()
                && (other.begun_count >= thresholds.begun
                    || !has_begun && other.count >= thresholds.any)
        };
        let explained = all.iter().filter(is_sufficient).fold(0, |set, other| set | other.crashes);
        explained != 0 && ((self.crashes & !explained).count_ones() as usize) < single
    }

    /// Creates the verdict on the first part and on the parts that accompanied it in each of its crashes.
    pub fn verdict(&self, all: &[Self], known: &[KnownCrash<'_>], any_survived_ms: u64) -> Verdict {
        let crashes: Vec<KnownCrash<'_>> = members(self.crashes, known).collect();
        let first = self.parts.first();
        let accompanies = |part: &&PartId| {
            first.is_some_and(|first| {
                crashes.iter().all(|(_, record)| record.has_request_with(first, part))
            })
        };
        let longer = all.iter().filter(|other| other.crashes & self.crashes == self.crashes);
        let mut parts: Vec<PartId> =
            longer.flat_map(|other| &other.parts).filter(accompanies).copied().collect();
        parts.sort_unstable();
        let at_ms = |crash: Option<&KnownCrash<'_>>| crash.map_or(0, |(_, record)| record.at_ms);
        Verdict {
            parts,
            engines: crashes.iter().map(|(engine, _)| (*engine).clone()).collect(),
            first_ms: at_ms(crashes.first()),
            last_ms: at_ms(crashes.last()),
            has_contrast: any_survived_ms > at_ms(crashes.first()),
        }
    }
}

/// Crashes of a set, in the order of their times.
fn members<'a>(set: CrashSet, all: &[KnownCrash<'a>]) -> impl Iterator<Item = KnownCrash<'a>> {
    let is_member = move |number: usize| set.checked_shr(number as u32).unwrap_or(0) & 1 == 1;
    all.iter().enumerate().filter(move |(number, _)| is_member(*number)).map(|(_, crash)| *crash)
}

fn count<'a>(crashes: impl Iterator<Item = KnownCrash<'a>>) -> usize {
    let mut counted_ms: HashMap<&DomainName, u64> = HashMap::default();
    let mut count = 0;
    for (_, record) in crashes {
        let last_ms = counted_ms.get(&record.domain);
        if last_ms.is_none_or(|&at_ms| record.at_ms >= at_ms + DOMAIN_BURST_MS) {
            counted_ms.insert(&record.domain, record.at_ms);
            count += 1;
        }
    }
    count
}
