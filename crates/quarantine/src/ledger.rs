//! Ledger of the crashes of one service's engines, and the verdicts that follow from them.

use crate::{
    admission::Admission,
    change::Change,
    crash::{Crash, CrashedEngine},
    crash_record::CrashRecord,
    evidence::Evidence,
    evidence_writer::EvidenceWriter,
    part_id::PartId,
    series::{CrashSet, KnownCrash, PartCrashes, Series},
    survival::Survival,
    suspect::Suspect,
    thresholds::Thresholds,
    verdict::Verdict,
};
use base::{HashMap, HashSet, stable_hash};
use std::{cmp::Reverse, collections::BTreeSet};

/// Number of crashes in series from which parts are reported as suspected.
const MIN_SUSPECTED_CRASHES: usize = 2;

/// Time in milliseconds after the last crash for which no request with condemned parts is sent.
const VERDICT_MS: u64 = 600_000;

/// Average time in milliseconds between two trials of the whole fleet. A trial takes a few seconds, and the others must
/// hear of its outcome before the next one.
const TRIAL_INTERVAL_MS: u64 = 10_000;

/// Factor by which the wait grows after each crash of a trial. With it, three trials crash engines in about an hour.
const TRIAL_FACTOR: u64 = 2;

/// Like `VERDICT_MS`, while engines survive no other requests either. Such engines have probably another fault, and
/// requests are to be served soon after it has ended.
const UNCONTRASTED_VERDICT_MS: u64 = 5_000;

/// Like `TRIAL_INTERVAL_MS`, while engines survive no other requests either.
const UNCONTRASTED_TRIAL_INTERVAL_MS: u64 = 1_000;

/// Like `TRIAL_FACTOR` for parts, while engines survive no other requests either. All requests of a service may hold a
/// part, so they are to be tried soon after another fault has ended.
const UNCONTRASTED_PART_FACTOR: u64 = 4;

/// Like `UNCONTRASTED_PART_FACTOR` for requests. A verdict concerns one request only, and three trials crash engines in
/// the first 48 minutes.
const UNCONTRASTED_REQUEST_FACTOR: u64 = 8;

/// Time in milliseconds after a crash from which a further one is the outcome of a trial, because requests with the parts
/// are not sent in between.
const MIN_TRIAL_GAP_MS: u64 = 4_000;

/// Time in milliseconds for which a crash is remembered that belongs to no verdict.
const CRASH_RETENTION_MS: u64 = 600_000;

/// Time in milliseconds after the last crash at which a verdict lapses without a trial.
const VERDICT_RETENTION_MS: u64 = 6 * VERDICT_MS;

/// Largest number of crashes that are remembered, one for each bit of a `CrashSet`.
const MAX_CRASHES: usize = CrashSet::BITS as usize;

/// Number of the last crashes of a verdict that are forgotten after all others.
const KEPT_CRASHES: usize = 8;

/// Largest number of parts that are remembered for all crashes together. The oldest crashes are forgotten first.
const MAX_PARTS: usize = 65_536;

/// Largest number of series that are judged, the longest ones. Parts that accompany each other share one.
const MAX_SERIES: usize = 256;

/// Time in milliseconds within which daemons in touch hear of a crash.
const CRASH_DELAY_MS: u64 = 2_000;

/// Longest time in milliseconds for which known evidence that changes nothing leaves the verdicts as they are.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Crashes of the engines of one service, and the parts that are condemned because of them.
///
/// The engines that run a request with a condemned part crash without exception. So a part is condemned once enough
/// engines have crashed in series that had a request with it and had not answered it for long, and none has survived
/// such a request since the first of these crashes. The crash of a rack or a failure domain hits parts that other engines
/// answer at the same time.
///
/// Daemons that know the same crashes and survivals reach the same verdicts. Evidence is merged by the engine's process
/// and by the part, so that its order and repetitions do not matter.
///
/// A ledger judges either parts of prompts or whole requests. For the latter, the only part of a request is the
/// identifier of what is requested.
#[derive(Clone, Debug)]
pub struct Ledger {
    thresholds: Thresholds,
    /// Factor by which the wait for a trial grows after each crash of one, while engines survive no other requests.
    uncontrasted_factor: u64,
    crashes: HashMap<CrashedEngine, CrashRecord>,
    /// Time of the last crash.
    last_crash_ms: u64,
    /// Parts of all remembered crashes.
    parts: HashSet<PartId>,
    /// When an engine last survived a request with a part; only for parts of remembered crashes.
    survived_ms: HashMap<PartId, u64>,
    /// When an engine last survived any request; 0 if none has.
    any_survived_ms: u64,
    verdicts: Vec<Verdict>,
    /// Parts that were reported as suspected.
    suspected: HashSet<Vec<PartId>>,
    /// When this daemon last sent a trial with the parts of a verdict, and how many it has sent.
    trials: HashMap<Vec<PartId>, (u64, u32)>,
    /// Evidence that was not sent to other daemons yet.
    unsent_crashes: Vec<(CrashedEngine, Suspect)>,
    unsent_survivals: BTreeSet<PartId>,
    /// When the verdicts were last computed.
    updated_ms: u64,
}

impl Ledger {
    /// Creates a ledger that judges parts of prompts.
    pub fn of_parts() -> Self {
        Self::new(Thresholds::PARTS, UNCONTRASTED_PART_FACTOR)
    }

    /// Creates a ledger that judges whole requests.
    pub fn of_requests() -> Self {
        Self::new(Thresholds::REQUESTS, UNCONTRASTED_REQUEST_FACTOR)
    }

    fn new(thresholds: Thresholds, uncontrasted_factor: u64) -> Self {
        Self {
            thresholds,
            uncontrasted_factor,
            crashes: HashMap::default(),
            last_crash_ms: 0,
            parts: HashSet::default(),
            survived_ms: HashMap::default(),
            any_survived_ms: 0,
            verdicts: Vec::new(),
            suspected: HashSet::default(),
            trials: HashMap::default(),
            unsent_crashes: Vec::new(),
            unsent_survivals: BTreeSet::new(),
            updated_ms: 0,
        }
    }

    /// Whether no crash is remembered, so that survivals need not be recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Verdicts in force.
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Records a crash. One without suspects is ignored. A crash that is known already gets the additional suspects.
    pub fn record_crash(&mut self, crash: Crash, now_ms: u64) -> Vec<Change> {
        self.add_crash(crash, now_ms);
        self.update(now_ms)
    }

    /// Records that an engine survived a request with these shared parts. Parts that no remembered crash has are not
    /// kept.
    pub fn record_survival(&mut self, parts: &[PartId], now_ms: u64) -> Vec<Change> {
        let mut is_new = self.add_any_survival(now_ms);
        for &part in parts {
            is_new |= self.add_survival(Survival { part, age_ms: 0 }, now_ms);
        }
        if is_new { self.update(now_ms) } else { Vec::new() }
    }

    /// Merges the evidence of another daemon.
    pub fn merge(&mut self, evidence: Evidence, now_ms: u64) -> Vec<Change> {
        let mut is_new = self.is_outdated(now_ms);
        for crash in evidence.crashes {
            is_new |= self.add_crash(crash, now_ms);
        }
        for survival in evidence.survivals {
            is_new |= self.add_survival(survival, now_ms);
        }
        if let Some(age_ms) = evidence.any_survival_age_ms {
            is_new |= self.add_any_survival(now_ms.saturating_sub(age_ms));
        }
        if is_new { self.update(now_ms) } else { Vec::new() }
    }

    /// Whether some evidence was not returned by `news` yet.
    pub fn has_unsent(&self) -> bool {
        !self.unsent_crashes.is_empty() || !self.unsent_survivals.is_empty()
    }

    /// Returns evidence for other daemons of about `max_bytes` that this function has not returned before, and keeps what does
    /// not fit for the next call.
    pub fn news(&mut self, max_bytes: usize, now_ms: u64) -> Evidence {
        let mut writer = self.writer(max_bytes, now_ms);
        let reserved_bytes = if self.unsent_crashes.is_empty() { 0 } else { max_bytes / 2 };
        let survived_ms = &self.survived_ms;
        self.unsent_survivals.retain(|part| survived_ms.contains_key(part));
        let mut sent = Vec::new();
        for part in &self.unsent_survivals {
            if !writer.add_survival(self.survival(*part, now_ms), reserved_bytes) {
                break;
            }
            sent.push(*part);
        }
        sent.iter().for_each(|part| {
            self.unsent_survivals.remove(part);
        });
        self.write_unsent_crashes(&mut writer, now_ms);
        writer.evidence
    }

    /// Returns known evidence for another daemon of about `max_bytes`, starting at a position that `offset` selects. If it is
    /// even, the latest crashes come first.
    pub fn evidence(&self, max_bytes: usize, offset: usize, now_ms: u64) -> Evidence {
        let mut writer = self.writer(max_bytes, now_ms);
        let mut survived: Vec<PartId> = self.survived_ms.keys().copied().collect();
        survived.sort_unstable();
        rotate(&mut survived, offset);
        for part in survived {
            if !writer.add_survival(self.survival(part, now_ms), max_bytes / 2) {
                break;
            }
        }
        let mut known: Vec<(&CrashedEngine, &CrashRecord, &Suspect)> = Vec::new();
        for (engine, record) in &self.crashes {
            known.extend(record.suspects.iter().map(|suspect| (engine, record, suspect)));
        }
        known.sort_by_key(|(engine, record, suspect)| {
            (Reverse(record.at_ms), *engine, suspect.id())
        });
        if !offset.is_multiple_of(2) {
            rotate(&mut known, offset);
        }
        for (engine, record, suspect) in known {
            let mut parts = suspect.parts().to_vec();
            // Any of the parts may be the one that another daemon lacks.
            rotate(&mut parts, offset);
            if writer.add_suspect(engine, record, suspect, &parts, now_ms) == 0 {
                break;
            }
        }
        writer.evidence
    }

    /// Space for evidence, with the last survival of any request.
    fn writer(&self, max_bytes: usize, now_ms: u64) -> EvidenceWriter {
        let mut writer = EvidenceWriter::new(max_bytes);
        let any_survived = (self.any_survived_ms > 0).then_some(self.any_survived_ms);
        writer.evidence.any_survival_age_ms =
            any_survived.map(|at_ms| now_ms.saturating_sub(at_ms));
        writer
    }

    /// Last survival of a part, for other daemons.
    fn survival(&self, part: PartId, now_ms: u64) -> Survival {
        let at_ms = self.survived_ms.get(&part).copied().unwrap_or_default();
        Survival { part, age_ms: now_ms.saturating_sub(at_ms) }
    }

    /// Writes crashes that were not sent, and keeps what does not fit for the next message.
    fn write_unsent_crashes(&mut self, writer: &mut EvidenceWriter, now_ms: u64) {
        let mut left = Vec::new();
        for (engine, suspect) in std::mem::take(&mut self.unsent_crashes) {
            let Some(record) = self.crashes.get(&engine) else { continue };
            let is_first =
                writer.evidence.crashes.is_empty() && writer.evidence.survivals.is_empty();
            let parts = suspect.parts();
            let count = writer.add_suspect(&engine, record, &suspect, parts, now_ms);
            let rest = &parts[count..];
            // What does not fit into an empty message never will.
            if !rest.is_empty() && (count > 0 || !is_first) {
                let rest = suspect.piece(rest.to_vec());
                left.push((engine.clone(), rest));
            }
        }
        self.unsent_crashes = left;
    }

    /// Digest of what the verdicts follow from, the same for ledgers that know the same; 0 if no crash is remembered.
    ///
    /// Times are left out, because daemons state them with different delays. Where the verdicts differ by them, the digests
    /// do too.
    pub fn digest(&self) -> u64 {
        let crashes = self.crashes.iter().map(|(engine, record)| {
            let suspects = record.suspects.iter().map(|suspect| {
                let parts = suspect.parts().iter();
                let parts: Vec<&PartId> =
                    parts.filter(|part| !self.was_survived_since(part, record)).collect();
                match parts.is_empty() {
                    true => 0,
                    false => stable_hash(&(suspect.id(), suspect.has_begun(), parts)),
                }
            });
            stable_hash(&(engine, suspects.fold(0, u64::wrapping_add)))
        });
        let verdicts = self.verdicts.iter();
        let verdicts = verdicts.map(|verdict| stable_hash(&(&verdict.parts, verdict.has_contrast)));
        crashes.chain(verdicts).fold(0, u64::wrapping_add)
    }

    /// Forgets evidence that is too old, and returns how the verdicts have changed by that.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        if self.is_outdated(now_ms) { self.update(now_ms) } else { Vec::new() }
    }

    /// Whether the verdicts were computed so long ago that they are computed again also without new evidence.
    fn is_outdated(&self, now_ms: u64) -> bool {
        now_ms >= self.updated_ms + UPDATE_INTERVAL_MS
    }

    /// Decides whether a request with these shared parts may be sent to an engine.
    ///
    /// Some time after the last crash, and soon if engines survive no other requests either, one request is let through
    /// to find out whether the parts still crash engines. Each of the `daemons` daemons does so at another time, which
    /// its number `spread` from 0 to 1 selects, so that few engines are lost if they do. The wait grows with each trial that
    /// crashes an engine, which all daemons count alike, and with each trial of this daemon.
    pub fn admit(
        &mut self,
        parts: &[PartId],
        daemons: usize,
        spread: f64,
        now_ms: u64,
    ) -> Admission {
        let Some(verdict) = self.verdicts.iter().find(|verdict| verdict.applies_to(parts)) else {
            return Admission::Allowed;
        };
        let (verdict_ms, interval_ms, factor) = match verdict.has_contrast {
            true => (VERDICT_MS, TRIAL_INTERVAL_MS, TRIAL_FACTOR),
            false => {
                (UNCONTRASTED_VERDICT_MS, UNCONTRASTED_TRIAL_INTERVAL_MS, self.uncontrasted_factor)
            }
        };
        let crashed_trials = self.crashed_trials(verdict);
        let verdict_ms = verdict_ms.saturating_mul(factor.saturating_pow(crashed_trials));
        let verdict_ms = verdict_ms.min(VERDICT_RETENTION_MS);
        let fleet_interval_ms = interval_ms * daemons.max(1) as u64;
        let first_trial_ms =
            verdict.last_ms + verdict_ms + (fleet_interval_ms as f64 * spread) as u64;
        let (last_trial_ms, trials) = self.trials.get(&verdict.parts).copied().unwrap_or_default();
        let pause_ms = fleet_interval_ms.saturating_mul(factor.saturating_pow(trials));
        let next_trial_ms = match trials {
            0 => first_trial_ms,
            _ => first_trial_ms.max(last_trial_ms + pause_ms.min(VERDICT_RETENTION_MS)),
        };
        let verdict = verdict.clone();
        if now_ms < next_trial_ms {
            return Admission::Refused { verdict, retry_after_ms: next_trial_ms - now_ms };
        }
        self.trials.insert(verdict.parts.clone(), (now_ms, trials.saturating_add(1)));
        Admission::Trial(verdict)
    }

    /// Number of trials that have crashed an engine: crashes some time after the one before, without those that led to the
    /// verdict.
    fn crashed_trials(&self, verdict: &Verdict) -> u32 {
        let at_ms: Vec<u64> = verdict
            .engines
            .iter()
            .filter_map(|engine| Some(self.crashes.get(engine)?.at_ms))
            .skip(self.thresholds.begun - 1)
            .collect();
        let is_trial = |pair: &&[u64]| pair[1].saturating_sub(pair[0]) >= MIN_TRIAL_GAP_MS;
        at_ms.windows(2).filter(is_trial).count() as u32
    }

    /// Adds a crash, and returns whether something of it was not known.
    fn add_crash(&mut self, crash: Crash, now_ms: u64) -> bool {
        if crash.suspects.iter().all(|suspect| suspect.parts().is_empty()) {
            return false;
        }
        let at_ms = now_ms.saturating_sub(crash.age_ms);
        let mut is_new = !self.crashes.contains_key(&crash.engine);
        let record = self.crashes.entry(crash.engine.clone()).or_insert_with(|| CrashRecord {
            domain: crash.domain,
            at_ms,
            suspects: Vec::new(),
        });
        // A message that was delayed states too small an age.
        is_new |= at_ms < record.at_ms;
        record.at_ms = record.at_ms.min(at_ms);
        self.last_crash_ms = self.last_crash_ms.max(record.at_ms);
        for suspect in crash.suspects {
            let Some(position) = record.find_or_add(&crash.engine, &suspect) else { continue };
            let has_begun = record.suspects[position].set_begun(suspect.has_begun());
            let mut added = record.suspects[position].add(suspect.parts());
            if has_begun {
                // The parts that are known are sent again, with the news that the request had begun.
                added = record.suspects[position].parts().to_vec();
            }
            if !added.is_empty() {
                is_new = true;
                self.parts.extend(added.iter().copied());
                self.unsent_crashes.push((crash.engine.clone(), suspect.piece(added)));
            }
        }
        is_new
    }

    /// Records that an engine survived some request at `at_ms`. Returns whether that gives a verdict its contrast.
    fn add_any_survival(&mut self, at_ms: u64) -> bool {
        let before_ms = self.any_survived_ms;
        self.any_survived_ms = before_ms.max(at_ms);
        let gains_contrast =
            |verdict: &Verdict| before_ms <= verdict.first_ms && at_ms > verdict.first_ms;
        self.verdicts.iter().any(gains_contrast)
    }

    /// Adds a survival of a part that a remembered crash has. Returns whether it may change a verdict.
    fn add_survival(&mut self, survival: Survival, now_ms: u64) -> bool {
        if !self.parts.contains(&survival.part) {
            return false;
        }
        let at_ms = now_ms.saturating_sub(survival.age_ms);
        let last_ms = self.survived_ms.entry(survival.part).or_default();
        let before_ms = *last_ms;
        // Repetitions within a second change no verdict soon enough to be worth a message, and those long after the last
        // crash change none.
        let is_news = before_ms < self.last_crash_ms + CRASH_DELAY_MS;
        if is_news && (at_ms >= before_ms + 1_000 || before_ms == 0) {
            self.unsent_survivals.insert(survival.part);
        }
        *last_ms = at_ms.max(before_ms);
        at_ms > before_ms && before_ms < self.last_crash_ms
    }

    /// Forgets old evidence, computes the verdicts again and returns how they have changed.
    fn update(&mut self, now_ms: u64) -> Vec<Change> {
        self.updated_ms = now_ms;
        self.forget(now_ms);
        let (verdicts, suspected) = self.judge();
        let mut changes = Vec::new();
        for verdict in &verdicts {
            if !self.verdicts.iter().any(|old| old.parts == verdict.parts) {
                changes.push(Change::Condemned(verdict.clone()));
            }
        }
        for old in &self.verdicts {
            if !verdicts.iter().any(|verdict| verdict.parts == old.parts) {
                changes.push(Change::Released(old.clone()));
                self.trials.remove(&old.parts);
            }
        }
        for verdict in &suspected {
            if !self.suspected.contains(&verdict.parts) {
                changes.push(Change::Suspected(verdict.clone()));
            }
        }
        self.suspected = suspected.into_iter().map(|verdict| verdict.parts).collect();
        self.verdicts = verdicts;
        changes
    }

    /// Returns the verdicts, and the suspicions that are not sufficient for one.
    ///
    /// The part with the longest series is condemned first, unless several other parts explain that series together.
    /// The crashes that a verdict explains then count for no other part, so that parts which only accompany a condemned
    /// one are not condemned as well.
    fn judge(&self) -> (Vec<Verdict>, Vec<Verdict>) {
        let mut crashes: Vec<KnownCrash<'_>> = self.crashes.iter().collect();
        crashes.sort_by_key(|(engine, record)| (record.at_ms, *engine));
        let mut by_part = self.crashes_by_part(&crashes);
        let mut verdicts = Vec::new();
        let mut suspected = Vec::new();
        loop {
            let all = all_series(&by_part, &crashes);
            let candidates = all.iter().filter(|series| {
                !series.is_explained_by_others(&all, self.thresholds, MIN_SUSPECTED_CRASHES)
            });
            let longest = candidates.max_by_key(|series| {
                let is_sufficient = series.is_sufficient(self.thresholds);
                (is_sufficient, series.count, series.len(), Reverse(&series.parts))
            });
            let Some(longest) = longest else { break };
            if longest.count < MIN_SUSPECTED_CRASHES {
                break;
            }
            let verdict = longest.verdict(&all, &crashes, self.any_survived_ms);
            match longest.is_sufficient(self.thresholds) {
                true => verdicts.push(verdict),
                false => suspected.push(verdict),
            }
            let explained = longest.crashes;
            by_part.values_mut().for_each(|crashes| crashes.remove(explained));
        }
        (verdicts, suspected)
    }

    /// Returns, for each part of several crashes, those since a request with the part was last survived.
    fn crashes_by_part(&self, crashes: &[KnownCrash<'_>]) -> HashMap<PartId, PartCrashes> {
        let mut by_part: HashMap<PartId, PartCrashes> = HashMap::default();
        for (number, (_, record)) in crashes.iter().enumerate().take(MAX_CRASHES) {
            // A crash under requests that all waited is due to one of them.
            let has_begun = record.suspects.iter().any(Suspect::has_begun);
            for suspect in &record.suspects {
                let is_strong = suspect.has_begun() || !has_begun;
                for part in suspect.parts() {
                    if !self.was_survived_since(part, record) {
                        by_part.entry(*part).or_default().add(number, is_strong);
                    }
                }
            }
        }
        // Most parts belong to one request, and are in one crash at most.
        by_part.retain(|_, crashes| crashes.len() >= MIN_SUSPECTED_CRASHES);
        by_part
    }

    /// Whether an engine has survived a request with the part at or after a crash.
    fn was_survived_since(&self, part: &PartId, crash: &CrashRecord) -> bool {
        self.survived_ms.get(part).is_some_and(|&at_ms| at_ms >= crash.at_ms)
    }

    fn forget(&mut self, now_ms: u64) {
        let verdicts = &self.verdicts;
        // A crash after the last one of all verdicts may renew a verdict, so earlier ones are forgotten first.
        let last_ms = verdicts.iter().map(|verdict| verdict.last_ms).max().unwrap_or_default();
        let rank = |engine: &CrashedEngine, record: &CrashRecord| {
            let is_kept = |verdict: &Verdict| {
                verdict.engines.iter().rev().take(KEPT_CRASHES).any(|kept| kept == engine)
            };
            match verdicts.iter().any(is_kept) {
                true => 2,
                false => u32::from(record.at_ms > last_ms),
            }
        };
        self.crashes.retain(|engine, record| {
            let verdict = verdicts.iter().find(|verdict| verdict.engines.contains(engine));
            let end_ms = match verdict {
                Some(verdict) => verdict.last_ms + VERDICT_RETENTION_MS,
                None => record.at_ms + CRASH_RETENTION_MS,
            };
            now_ms < end_ms
        });
        let mut parts: usize = self.crashes.values().map(|record| record.parts().count()).sum();
        while self.crashes.len() > MAX_CRASHES || parts > MAX_PARTS {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(engine, record)| (rank(engine, record), record.at_ms, *engine))
                .map(|(engine, _)| engine.clone());
            let Some(oldest) = oldest else { break };
            let forgotten = self.crashes.remove(&oldest);
            parts -= forgotten.map_or(0, |record| record.parts().count());
        }
        let known = self.crashes.values().flat_map(CrashRecord::parts).copied();
        self.parts = known.collect();
        let parts = &self.parts;
        self.survived_ms.retain(|part, _| parts.contains(part));
        let crashes = &self.crashes;
        self.unsent_crashes.retain(|(engine, _)| crashes.contains_key(engine));
    }
}

/// Returns the longest series, given the crashes of each part.
fn all_series(by_part: &HashMap<PartId, PartCrashes>, crashes: &[KnownCrash<'_>]) -> Vec<Series> {
    let mut by_crashes: HashMap<PartCrashes, Vec<PartId>> = HashMap::default();
    for (part, crashes) in by_part {
        if crashes.len() >= MIN_SUSPECTED_CRASHES {
            by_crashes.entry(*crashes).or_default().push(*part);
        }
    }
    let mut all: Vec<Series> =
        by_crashes.into_iter().map(|(set, parts)| Series::new(set, parts, crashes)).collect();
    all.sort_by_key(|series| Reverse((series.count, series.len(), series.crashes)));
    all.truncate(MAX_SERIES);
    all
}

fn rotate<T>(items: &mut [T], offset: usize) {
    if !items.is_empty() {
        let middle = offset % items.len();
        items.rotate_left(middle);
    }
}
