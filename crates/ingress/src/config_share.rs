//! Configuration that daemons ask each other for after a start, because a restored store may hold an older one.

use crate::{
    config::Config,
    core::Core,
    peer_message::{ConfigPart, PeerMessage},
    peer_socket::PeerSocket,
};
use base::lock;
use bytes::Bytes;
use futures::future::join_all;
use std::{
    fmt::{Debug, Formatter, Result as FmtResult},
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Bytes of the configuration in one message.
const PART_BYTES: usize = 1_200;

/// Number of parts that are asked for at a time.
const PARTS_AT_A_TIME: usize = 8;

/// Number of times that a part is asked for.
const PART_ATTEMPTS: usize = 3;

/// Largest configuration that is taken from another daemon. The store holds values of up to one megabyte.
const MAX_CONFIG_BYTES: usize = 2 * 1024 * 1024;

/// Number of daemons that are asked before the daemon is ready. If half of the fleet was lost with the store's history,
/// one in 256 daemons asks only lost ones.
const FIRST_ASKED: usize = 8;

/// Number of times that these daemons are asked if none of them answers. A datagram may be lost, and a daemon may be busy.
const FIRST_ATTEMPTS: usize = 3;

/// Further rounds of questions. A new VM is answered once the others have read that it is listed.
const LATER_ROUNDS: usize = 10;

/// Number of daemons that are asked in a later round.
const LATER_ASKED: usize = 3;

/// Time between two rounds.
const ROUND_MS: u64 = 500;

/// Longest time for which a transfer delays that the daemon is ready.
const TRANSFER_WAIT_MS: u64 = 2_000;

/// Decodes a configuration; `None` if it cannot be read.
type Decode = Box<dyn Fn(&[u8]) -> Option<Config> + Send + Sync>;

/// Text of the active configuration, for other daemons, and the questions for a newer one after a start.
#[derive(Default)]
pub(crate) struct ConfigShare {
    /// Version and text of the active configuration; `None` before the first one.
    active: Mutex<Option<(u64, Bytes)>>,
    decode: OnceLock<Decode>,
    has_asked: AtomicBool,
}

impl ConfigShare {
    /// Sets the decoder of configurations. Only the first call has an effect.
    pub fn set_decoder(&self, decode: impl Fn(&[u8]) -> Option<Config> + Send + Sync + 'static) {
        // A follower that was started again has the same decoder.
        let _ = self.decode.set(Box::new(decode));
    }

    /// Records the text of a configuration, unless a newer one is active.
    pub fn record(&self, version: u64, text: Bytes) {
        let mut active = lock(&self.active);
        if active.as_ref().is_none_or(|(before, _)| *before < version) {
            *active = Some((version, text));
        }
    }

    /// Part of the active configuration from `offset` on; `None` if its version is not higher than `above`, or if there is
    /// no such part.
    pub fn part(&self, above: u64, offset: u32) -> Option<ConfigPart> {
        let active = lock(&self.active);
        let (version, text) = active.as_ref().filter(|(version, _)| *version > above)?;
        let rest = text.get(offset as usize..).filter(|rest| !rest.is_empty())?;
        let bytes = rest[..rest.len().min(PART_BYTES)].to_vec();
        Some(ConfigPart {
            version: *version,
            size_bytes: u32::try_from(text.len()).ok()?,
            offset,
            bytes,
        })
    }

    fn version(&self) -> u64 {
        lock(&self.active).as_ref().map_or(0, |(version, _)| *version)
    }
}

impl Debug for ConfigShare {
    /// Leaves out the text, which holds keys of client accounts.
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.debug_struct("ConfigShare").field("version", &self.version()).finish_non_exhaustive()
    }
}

/// Marks the daemon as up to date, the first time after it has asked other daemons for a newer configuration than that of
/// the store. Call it each time the items of the store are up to date.
pub(crate) fn catch_up(core: &Arc<Core>) {
    let Some(socket) = core.peer_socket.get() else {
        core.mark_caught_up();
        return;
    };
    if core.config_share.has_asked.swap(true, Ordering::Relaxed) {
        return;
    }
    let peers = core.random_peers(FIRST_ASKED);
    let (core, socket) = (Arc::clone(core), Arc::clone(socket));
    tokio::spawn(async move {
        let wait = Duration::from_millis(TRANSFER_WAIT_MS);
        let first = async {
            let mut outcome = Outcome::Silent;
            for _ in 0..FIRST_ATTEMPTS {
                if outcome == Outcome::Silent && !peers.is_empty() {
                    outcome = ask(&core, &socket, &peers).await;
                }
            }
            outcome
        };
        let mut outcome = tokio::time::timeout(wait, first).await.unwrap_or(Outcome::Silent);
        core.mark_caught_up();
        for _ in 0..LATER_ROUNDS {
            if outcome == Outcome::Newer {
                return;
            }
            tokio::time::sleep(Duration::from_millis(ROUND_MS)).await;
            outcome = ask(&core, &socket, &core.random_peers(LATER_ASKED)).await;
        }
    });
}

/// What a round of questions has brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// A newer configuration is active.
    Newer,
    /// Daemons have answered, and none has a newer configuration that can be read.
    None,
    /// No daemon has answered.
    Silent,
}

/// Asks `peers` for a newer configuration, and installs the newest one that they have.
async fn ask(core: &Core, socket: &PeerSocket, peers: &[SocketAddr]) -> Outcome {
    let above = core.config_share.version();
    let questions = peers.iter().map(|peer| async move {
        let part = ask_for_part(core, socket, *peer, above, 0).await?;
        Some(part.map(|part| (part, *peer)))
    });
    let answers: Vec<_> = join_all(questions).await.into_iter().flatten().collect();
    if answers.is_empty() {
        return Outcome::Silent;
    }
    let newer = answers.into_iter().flatten().max_by_key(|(part, _)| part.version);
    let Some((first, peer)) = newer else { return Outcome::None };
    let version = first.version;
    let text = transfer(core, socket, peer, above, first).await;
    let decoded = text.as_ref().and_then(|text| core.config_share.decode.get()?(text));
    match (text, decoded) {
        (Some(text), Some(config)) if config.version == version => {
            log::info!(
                "config: version={version} comes from the daemon at {peer}, store={above} size_bytes={}",
                text.len()
            );
            metrics::counter!("config_transfers_total").increment(1);
            core.install(config);
            core.config_share.record(version, text.into());
            Outcome::Newer
        }
        _ => {
            log::warn!("config: version={version} could not be read from the daemon at {peer}");
            Outcome::None
        }
    }
}

/// Reads the rest of a configuration whose first part is known; `None` if a part is missing or of another version.
async fn transfer(
    core: &Core,
    socket: &PeerSocket,
    peer: SocketAddr,
    above: u64,
    first: ConfigPart,
) -> Option<Vec<u8>> {
    let size_bytes = first.size_bytes as usize;
    if size_bytes > MAX_CONFIG_BYTES {
        return None;
    }
    let mut text = first.bytes;
    while text.len() < size_bytes {
        let offsets = (text.len()..size_bytes).step_by(PART_BYTES).take(PARTS_AT_A_TIME);
        let parts = offsets.map(|offset| async move {
            for _ in 0..PART_ATTEMPTS {
                let answer = ask_for_part(core, socket, peer, above, offset as u32).await;
                if answer.is_some() {
                    return answer.flatten();
                }
            }
            None
        });
        for part in join_all(parts).await {
            let part = part?;
            let follows = part.version == first.version
                && part.size_bytes == first.size_bytes
                && part.offset as usize == text.len()
                && !part.bytes.is_empty();
            if !follows {
                return None;
            }
            text.extend_from_slice(&part.bytes);
        }
    }
    (text.len() == size_bytes).then_some(text)
}

/// Asks a daemon once for a part of its configuration; `None` if it gives no answer in time.
async fn ask_for_part(
    core: &Core,
    socket: &PeerSocket,
    peer: SocketAddr,
    above: u64,
    offset: u32,
) -> Option<Option<ConfigPart>> {
    let ask = |number| PeerMessage::AskConfig { number, above, offset };
    socket.ask_for_config_part(core, peer, ask).await
}
