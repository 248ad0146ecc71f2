//! Share of one daemon in a limit on the requests of the whole fleet.

use std::hash::Hasher;

/// Daemons among which limits on the requests of the whole fleet are divided, seen from one of them.
#[derive(Clone, Copy, Debug)]
pub struct FleetShare<'a> {
    /// Identifier of this daemon.
    pub own: u64,
    /// Identifiers of all listed daemons.
    pub listed: &'a [u64],
    /// Number of daemons that may be sending. It exceeds that of the listed ones while some may only have lost their
    /// entries.
    pub daemons: usize,
}

impl FleetShare<'_> {
    /// Part of `rate_per_s` at the upstream `instance` that this daemon may use.
    pub fn rate_per_s(&self, instance: &str, rate_per_s: f64) -> f64 {
        let known = self.known();
        let daemons = self.daemons.max(known);
        let users = user_count(rate_per_s, daemons);
        let own = rank_key(instance, self.own);
        let before = self.listed.iter().filter(|&&other| rank_key(instance, other) < own).count();
        if before >= users {
            return 0.0;
        }
        if users == daemons {
            return rate_per_s / daemons as f64;
        }
        // Daemons that are no longer listed may be users as well.
        rate_per_s / users as f64 * known as f64 / daemons as f64
    }

    /// Listed daemons that use the limit of `rate_per_s` at the upstream `instance`.
    pub fn users(&self, instance: &str, rate_per_s: f64) -> Vec<u64> {
        let mut daemons = self.listed.to_vec();
        daemons.sort_by_key(|&daemon| rank_key(instance, daemon));
        daemons.truncate(user_count(rate_per_s, self.daemons.max(self.known())));
        daemons
    }

    /// Number of daemons that are known, which include this one even if it is not listed.
    fn known(&self) -> usize {
        self.listed.len() + usize::from(!self.listed.contains(&self.own))
    }
}

/// Number of daemons that use a limit. A daemon cannot use a fraction of a request, so each user of a limit needs about
/// one request a second. If there are more daemons than that, the rank at the upstream picks the users.
fn user_count(rate_per_s: f64, daemons: usize) -> usize {
    (rate_per_s as usize).clamp(1, daemons)
}

/// Key by which the daemons are ordered as users of the limit of `instance`; the same at all daemons.
fn rank_key(instance: &str, daemon: u64) -> (u64, u64) {
    let mut hasher = Fnv(FNV_OFFSET);
    hasher.write(instance.as_bytes());
    hasher.write(&daemon.to_le_bytes());
    (hasher.finish(), daemon)
}

/// Initial value of the hash function FNV-1a with 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Multiplier of the hash function FNV-1a with 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Odd multiplier of the final step, 2^64 divided by the golden ratio, which spreads the low bits over all others.
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash function FNV-1a, which is the same in every process, unlike that of hash maps.
struct Fnv(u64);

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn finish(&self) -> u64 {
        // The last bytes reach the high bits only by a further step.
        let mixed = (self.0 ^ (self.0 >> 32)).wrapping_mul(MIX_MULTIPLIER);
        mixed ^ (mixed >> 29)
    }
}
