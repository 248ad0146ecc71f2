//! Revisions of the store by which an order, and the statuses about it, are known.

/// Largest number of revisions by which an order is known.
const MAX_REVISIONS: usize = 16;

/// Revisions of the store by which an order, and the statuses about it, are known.
#[derive(Debug)]
pub(crate) struct OrderRevisions {
    /// Revisions at which the order was written, the first one first.
    written: Vec<u64>,
    /// Revision in the present era of the store after which a status for the target version is about this order.
    status_floor: u64,
}

impl OrderRevisions {
    /// Creates the revisions of an order that was written at `revision`.
    pub fn new(revision: u64) -> Self {
        Self { written: vec![revision], status_floor: revision }
    }

    /// Takes note that the order was written again with the same content.
    pub fn add(&mut self, revision: u64) {
        if self.written.contains(&revision) {
            return;
        }
        if self.written.len() >= MAX_REVISIONS {
            self.written.remove(1);
        }
        self.written.push(revision);
    }

    /// Whether `revision` is one of the order's.
    pub fn contains(&self, revision: u64) -> bool {
        self.written.contains(&revision)
    }

    /// First and last known revision, by which other daemons recognize the order.
    pub fn first_and_last(&self) -> [u64; 2] {
        let first = self.written.first().copied().unwrap_or(0);
        [first, self.written.last().copied().unwrap_or(first)]
    }

    /// Whether a status that was written at `revision` is about this order.
    pub fn precede_status(&self, revision: u64) -> bool {
        self.status_floor < revision
    }

    /// Takes note that statuses written after `revision` are about this order: after a restoration, the store gives out
    /// revisions again that are lower than the order's.
    pub fn lower_status_floor(&mut self, revision: u64) {
        self.status_floor = self.status_floor.min(revision);
    }
}
