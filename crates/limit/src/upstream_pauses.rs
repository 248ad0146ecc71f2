//! Times for which upstreams want no requests from this daemon.

use base::HashMap;

/// Longest pause in milliseconds that an upstream can ask for. A longer one is as good as a mistake: callers do not wait
/// that long, and the upstream can refuse the next request as well.
const MAX_PAUSE_MS: u64 = 120_000;

/// Largest number of pauses that are remembered. Those that end first are forgotten first.
const MAX_PAUSES: usize = 4_096;

/// Pauses of the upstreams that have turned this daemon away for some time.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPauses {
    /// Pauses of the processes of each upstream.
    pauses: HashMap<Box<str>, Vec<UpstreamPause>>,
}

/// Pause of one process of an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamPause {
    /// Start time of the process in milliseconds since the Unix epoch; a later process wants requests.
    started_unix_ms: Option<u64>,
    until_ms: u64,
}

impl UpstreamPauses {
    /// Whether no upstream has asked for a pause that lasts longer than `now_ms`.
    pub fn is_empty(&self, now_ms: u64) -> bool {
        self.pauses.values().flatten().all(|pause| pause.until_ms <= now_ms)
    }

    /// Records that `instance` wants no requests for `pause_ms`. The later one of two ends counts, because answers may
    /// arrive in another order than they were sent. Returns whether the end has changed.
    pub fn record(
        &mut self,
        instance: &str,
        started_unix_ms: Option<u64>,
        pause_ms: u64,
        now_ms: u64,
    ) -> bool {
        let until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
        if until_ms <= now_ms + self.wait_ms(instance, started_unix_ms, now_ms) {
            return false;
        }
        self.forget(now_ms);
        let known = self.pauses.entry(instance.into()).or_default();
        known.retain(|pause| pause.started_unix_ms != started_unix_ms);
        known.push(UpstreamPause { started_unix_ms, until_ms });
        true
    }

    /// Forgets the pauses that have ended. An upstream that is not listed keeps its pause until then, because the same
    /// process may be listed again.
    pub fn forget(&mut self, now_ms: u64) {
        self.pauses.retain(|_, known| {
            known.retain(|pause| pause.until_ms > now_ms);
            !known.is_empty()
        });
        while self.pauses.values().map(Vec::len).sum::<usize>() >= MAX_PAUSES {
            let until_ms = |known: &Vec<UpstreamPause>| known.iter().map(|p| p.until_ms).min();
            let first = self.pauses.iter().min_by_key(|(id, known)| (until_ms(known), *id));
            let Some(first) = first.map(|(id, _)| id.clone()) else { break };
            self.pauses.remove(&first);
        }
    }

    /// Time until `instance` wants requests again; 0 if it wants them now.
    pub fn wait_ms(&self, instance: &str, started_unix_ms: Option<u64>, now_ms: u64) -> u64 {
        let known = self.pauses.get(instance).map_or(&[][..], Vec::as_slice);
        let pause = known.iter().find(|pause| pause.started_unix_ms == started_unix_ms);
        pause.map_or(0, |pause| pause.until_ms.saturating_sub(now_ms))
    }
}
