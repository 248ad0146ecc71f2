//! Digest of the demand of client accounts, which the entries exchange.

/// Maximum number of accounts in a digest. With twelve digests per second sent and received, at 176 bytes each, enough
/// of the 13 KB/s for control messages remains for messages of other kinds.
pub(crate) const MAX_ACCOUNTS: usize = 20;

/// Encoded size of the sender and the sequence number.
const HEADER_BYTES: usize = 16;

/// Encoded size of an account hash and its rate.
const ACCOUNT_BYTES: usize = 8;

/// Demand at one entry, for the accounts with the highest rates.
///
/// The encoded size is 16 bytes, plus 8 bytes for each of at most 20 accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageDigest {
    /// Hash of the identifier of the entry that sent the digest.
    pub entry: u64,
    /// Sequence number that grows with each digest of the sender. It starts at the sender's wall clock, so that it also
    /// grows across restarts.
    pub sequence: u64,
    /// Hash of the account's name, and its demand in requests per second.
    pub demands: Vec<(u32, f32)>,
}

impl UsageDigest {
    /// Encodes the digest into at most 176 bytes, with all numbers in big-endian order. Accounts beyond `MAX_ACCOUNTS`
    /// are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + ACCOUNT_BYTES * self.demands.len());
        bytes.extend(self.entry.to_be_bytes());
        bytes.extend(self.sequence.to_be_bytes());
        for (account, rate_per_s) in self.demands.iter().take(MAX_ACCOUNTS) {
            bytes.extend(account.to_be_bytes());
            bytes.extend(rate_per_s.to_be_bytes());
        }
        bytes
    }

    /// Decodes a digest. Returns `None` if its length is wrong, or if a rate is negative or not finite.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (entry, rest) = bytes.split_first_chunk()?;
        let (sequence, rest) = rest.split_first_chunk()?;
        let accounts = rest.chunks_exact(ACCOUNT_BYTES);
        if !accounts.remainder().is_empty() || accounts.len() > MAX_ACCOUNTS {
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
