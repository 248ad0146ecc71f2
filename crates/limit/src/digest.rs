//! Usage of client accounts as daemons tell it to each other.

/// Accounts in one digest at most. With twelve digests a second sent and received, 176 bytes each leave the other control
/// messages their part of 13 KB/s.
pub(crate) const ACCOUNTS: usize = 20;

/// Bytes of the sender and the sequence number.
const HEADER_BYTES: usize = 16;

/// Bytes of each account.
const ACCOUNT_BYTES: usize = 8;

/// Demand of the most recently used accounts at one entry: 16 bytes, and 8 bytes for each of at most 20 accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageDigest {
    /// Hash of the sender's identifier.
    pub entry: u64,
    /// Grows with each digest of the sender. It starts with the sender's wall clock, so that it also grows over a
    /// restart.
    pub sequence: u64,
    /// Hash of the account's name, and requests a second.
    pub demands: Vec<(u32, f32)>,
}

impl UsageDigest {
    /// Encodes the digest in at most 176 bytes, integers in big-endian order.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + ACCOUNT_BYTES * self.demands.len());
        bytes.extend(self.entry.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
        for (account, rate_per_s) in self.demands.iter().take(ACCOUNTS) {
            bytes.extend(account.to_be_bytes());
            bytes.extend(rate_per_s.to_be_bytes());
        }
        bytes
    }

    /// Decodes a digest; `None` if its length or a rate is not valid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (entry, rest) = bytes.split_first_chunk()?;
        let (sequence, rest) = rest.split_first_chunk()?;
        let accounts = rest.chunks_exact(ACCOUNT_BYTES);
        if !accounts.remainder().is_empty() || accounts.len() > ACCOUNTS {
            return None;
        }
        let demands: Option<Vec<(u32, f32)>> = accounts
            .map(|bytes| {
                let (account, rest) = bytes.split_first_chunk()?;
                let rate_per_s = f32::from_be_bytes(*rest.first_chunk()?);
                let is_valid = rate_per_s.is_finite() && rate_per_s >= 0.0;
                is_valid.then_some((u32::from_be_bytes(*account), rate_per_s))
            })
            .collect();
        let (entry, sequence) = (u64::from_be_bytes(*entry), u64::from_be_bytes(*sequence));
        Some(Self { entry, sequence, demands: demands? })
    }
}
