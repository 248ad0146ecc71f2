//! Share of a relay's network link that it uses for copies of a key-value service's items.

/// Share of the link for changes, as a divisor. A relay serves its usual readers with half of that (`ReadPath`); the rest is
/// for many changes at once. The other half of the link is for requests and for what the relay itself reads.
const CHANGES_DIVISOR: u64 = 2;

/// Share of the link for lists of all items, as a divisor. They are rare, and must not delay changes.
const LISTS_DIVISOR: u64 = 4;

/// Time for which a share may be saved up. Changes come in batches of up to half a second.
const BURST_MS: u64 = 1_000;

/// Bytes that a link of one Mbit/s carries in a millisecond.
const BYTES_PER_MS: u64 = 125;

/// Token buckets for the changes and the lists that a relay sends. A call is admitted while the level of its bucket is
/// above zero and lowers it by its size, so an answer may be larger than the bucket.
#[derive(Clone, Debug)]
pub struct ServeBudget {
    changes: Option<Bucket>,
    lists: Option<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    bytes_per_ms: u64,
    level_bytes: i64,
    /// Level below which the bucket does not fall.
    min_bytes: i64,
    updated_ms: u64,
}

impl ServeBudget {
    /// Creates the budget for a link of `link_mbps` Mbit/s; 0 if it is not known, which sets no limit.
    pub fn new(link_mbps: u64) -> Self {
        let bucket = |divisor: u64, min_bytes: fn(u64) -> i64| {
            let bytes_per_ms = link_mbps.checked_mul(BYTES_PER_MS)? / divisor;
            (bytes_per_ms > 0).then_some(Bucket {
                bytes_per_ms,
                level_bytes: burst_bytes(bytes_per_ms),
                min_bytes: min_bytes(bytes_per_ms),
                updated_ms: 0,
            })
        };
        // One large change must not keep the next ones back for longer than the burst time. A list is paid in full.
        let changes = bucket(CHANGES_DIVISOR, |rate| -burst_bytes(rate));
        Self { changes, lists: bucket(LISTS_DIVISOR, |_| i64::MIN / 2) }
    }

    /// Admits an answer of `bytes` with changes. Otherwise returns the time in milliseconds after which to ask again.
    pub fn take_changes(&mut self, now_ms: u64, bytes: u64) -> Result<(), u64> {
        self.changes.as_mut().map_or(Ok(()), |bucket| bucket.take(now_ms, bytes))
    }

    /// Admits a list of `bytes` in all. Otherwise returns the time in milliseconds after which to ask again.
    pub fn take_list(&mut self, now_ms: u64, bytes: u64) -> Result<(), u64> {
        self.lists.as_mut().map_or(Ok(()), |bucket| bucket.take(now_ms, bytes))
    }
}

impl Bucket {
    fn take(&mut self, now_ms: u64, bytes: u64) -> Result<(), u64> {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        let gained = elapsed_ms.saturating_mul(self.bytes_per_ms).min(i64::MAX as u64) as i64;
        let full_bytes = burst_bytes(self.bytes_per_ms);
        self.level_bytes = self.level_bytes.saturating_add(gained).min(full_bytes);
        if self.level_bytes <= 0 {
            return Err(self.level_bytes.unsigned_abs() / self.bytes_per_ms + 1);
        }
        let spent = bytes.min(i64::MAX as u64) as i64;
        self.level_bytes = self.level_bytes.saturating_sub(spent).max(self.min_bytes);
        Ok(())
    }
}

/// Level of a full bucket.
fn burst_bytes(bytes_per_ms: u64) -> i64 {
    i64::try_from(bytes_per_ms.saturating_mul(BURST_MS)).unwrap_or(i64::MAX)
}
