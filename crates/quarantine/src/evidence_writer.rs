//! Space for the evidence in one message.

use crate::{
    crash::{Crash, CrashedEngine},
    crash_record::CrashRecord,
    evidence::Evidence,
    part_id::PartId,
    survival::Survival,
    suspect::Suspect,
};

/// Size of the fields of a crash that have a fixed size, at most.
const CRASH_BYTES: usize = 32;

/// Size of a request without its parts, at most.
const SUSPECT_BYTES: usize = 8;

/// Size of the age of a survival, at most.
const AGE_BYTES: usize = 12;

/// Evidence that is written until it has the size of a message.
#[derive(Debug)]
pub(crate) struct EvidenceWriter {
    pub evidence: Evidence,
    left_bytes: usize,
}

impl EvidenceWriter {
    pub fn new(max_bytes: usize) -> Self {
        Self { evidence: Evidence::default(), left_bytes: max_bytes }
    }

    /// Adds a survival if at least `reserved_bytes` are left then. Returns whether it was added.
    pub fn add_survival(&mut self, survival: Survival, reserved_bytes: usize) -> bool {
        let size_bytes = PartId::SIZE_BYTES + AGE_BYTES;
        if self.left_bytes < reserved_bytes + size_bytes {
            return false;
        }
        self.left_bytes -= size_bytes;
        self.evidence.survivals.push(survival);
        true
    }

    /// Adds those of the parts of a suspect that there is space for, from the first one on. Returns their number.
    pub fn add_suspect(
        &mut self,
        engine: &CrashedEngine,
        record: &CrashRecord,
        suspect: &Suspect,
        parts: &[PartId],
        now_ms: u64,
    ) -> usize {
        let is_listed = |crash: &Crash| crash.engine == *engine;
        let listed = self.evidence.crashes.iter().position(is_listed);
        let crash_bytes = match listed {
            Some(_) => 0,
            None => engine.instance.len() + record.domain.as_str().len() + CRASH_BYTES,
        };
        let space_bytes = self.left_bytes.saturating_sub(crash_bytes + SUSPECT_BYTES);
        let count = (space_bytes / PartId::SIZE_BYTES).min(parts.len());
        if count == 0 {
            return 0;
        }
        self.left_bytes -= crash_bytes + SUSPECT_BYTES + count * PartId::SIZE_BYTES;
        let piece = suspect.piece(parts[..count].to_vec());
        match listed {
            Some(position) => self.evidence.crashes[position].suspects.push(piece),
            None => self.evidence.crashes.push(Crash {
                engine: engine.clone(),
                domain: record.domain.clone(),
                age_ms: now_ms.saturating_sub(record.at_ms),
                suspects: vec![piece],
            }),
        }
        count
    }
}
