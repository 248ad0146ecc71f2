//! Tests of the limits on connections, and of the choice of those that are closed. Load addressed: callers that pipeline
//! requests and read nothing, beside ordinary ones.

use quickcheck::{Arbitrary, Gen, quickcheck};
use web::{Candidate, ConnectionLimits, Need, Standing, choose};

const MB: usize = 1024 * 1024;

#[derive(Clone, Debug)]
struct Candidates(Vec<Candidate>);

impl Arbitrary for Candidates {
    fn arbitrary(g: &mut Gen) -> Self {
        let standings = [
            Standing::Blocked,
            Standing::Unsent,
            Standing::Pipelined,
            Standing::Unfinished,
            Standing::Unused,
            Standing::Idle,
        ];
        let ids = 0..u64::from(u8::arbitrary(g));
        let candidates = ids.map(|id| Candidate {
            id,
            standing: *g.choose(&standings).unwrap(),
            held_bytes: usize::from(u16::arbitrary(g)) + 1,
            age_ms: u64::from(u16::arbitrary(g)),
        });
        Self(candidates.collect())
    }
}

quickcheck! {
    /// Guards against closing more connections than needed, or fewer although there are some.
    fn as_many_connections_are_closed_as_needed(candidates: Candidates, bytes: u16) -> bool {
        let bytes = usize::from(bytes);
        let closed = choose(candidates.0.clone(), Need::Bytes(bytes));
        let sum = |closed: &[Candidate]| closed.iter().map(|one| one.held_bytes).sum::<usize>();
        let is_enough = sum(&closed) >= bytes || closed.len() == candidates.0.len();
        let is_minimal = closed.is_empty() || sum(&closed[..closed.len() - 1]) < bytes;
        let count = choose(candidates.0.clone(), Need::Connections(3)).len();
        is_enough && is_minimal && count == candidates.0.len().min(3)
    }

    /// Guards against closing a connection while one that is a worse case, or holds more and reads less, stays open.
    fn the_worst_connections_are_closed_first(candidates: Candidates, count: u8) -> bool {
        let closed = choose(candidates.0.clone(), Need::Connections(usize::from(count)));
        let is_closed = |one: &Candidate| closed.iter().any(|other| other.id == one.id);
        let is_worse = |one: &Candidate, other: &Candidate| {
            one.standing < other.standing
                || one.standing == other.standing
                    && one.held_bytes > other.held_bytes
                    && one.age_ms > other.age_ms
        };
        let open: Vec<_> = candidates.0.iter().filter(|one| !is_closed(one)).collect();
        closed.iter().all(|closed| !open.iter().any(|open| is_worse(open, closed)))
    }
}

/// Guards against limits that differ from the arithmetic in `docs/settings.md`, and against more memory or descriptors
/// than the VM has when every connection holds the most.
#[test]
fn the_limits_follow_the_vm() {
    let limits = ConnectionLimits::for_vm(120 * MB, 3_075);
    assert_eq!((limits.callers, limits.relay, limits.probes), (960, 287, 64));
    let limits = ConnectionLimits::for_vm(512 * MB, 8_192);
    assert_eq!((limits.callers, limits.relay, limits.probes), (3_196, 799, 64));
    for (memory_mb, descriptors) in
        [(32, 256), (64, 700), (110, 3_075), (120, 10_250), (512, 8_192)]
    {
        let limits = ConnectionLimits::for_vm(memory_mb * MB, descriptors);
        let all = limits.callers + limits.relay + 2 * limits.probes;
        assert!(limits.account_bytes <= memory_mb * MB / 2);
        assert!(all <= descriptors - 56, "{memory_mb} MB, {descriptors} descriptors: {limits:?}");
        // Receive buffers are not in the account.
        assert!(limits.callers * 32 * 1024 <= memory_mb * MB / 3, "{limits:?}");
    }
}
