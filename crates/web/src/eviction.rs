//! Choice of the connections that are closed when the account or the number of connections is exhausted.

/// Why a connection may be closed, in the order in which they are. A connection whose caller reads the answers and
/// completes its requests has no such reason.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Bytes of a response wait because the caller does not read.
    Blocked,
    /// The body of a request, for which bytes are held, arrives so slowly that it will not be complete in its time. If a
    /// connection is needed, also: the request waits for room for its body.
    Unsent,
    /// The caller sends requests before it has the answers to earlier ones.
    Pipelined,
    /// The head of a request is incomplete, or the caller goes on sending after the last response.
    Unfinished,
    /// No request has arrived.
    Unused,
    /// The connection has been idle for most of the idle timeout.
    Idle,
}

/// Connection that may be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    pub id: u64,
    pub standing: Standing,
    pub held_bytes: usize,
    /// How long it has been in its standing, in milliseconds.
    pub age_ms: u64,
}

/// What is to be freed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    Bytes(usize),
    Connections(usize),
}

/// Selects the connections to close: in the order of `Standing`, and among equals those that hold most and have read
/// least, by the product of the bytes held and the age.
pub fn choose(mut candidates: Vec<Candidate>, need: Need) -> Vec<Candidate> {
    let weight = |candidate: &Candidate| candidate.held_bytes as u64 * (candidate.age_ms + 1);
    candidates.sort_unstable_by_key(|candidate| {
        (candidate.standing, std::cmp::Reverse(weight(candidate)), candidate.id)
    });
    let count = match need {
        Need::Connections(count) => count,
        Need::Bytes(bytes) => {
            let mut freed_bytes = 0;
            let is_needed = |candidate: &&Candidate| {
                let is_needed = freed_bytes < bytes;
                freed_bytes += candidate.held_bytes;
                is_needed
            };
            candidates.iter().take_while(is_needed).count()
        }
    };
    candidates.truncate(count);
    candidates
}
