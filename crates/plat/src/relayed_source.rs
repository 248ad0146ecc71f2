//! Source that reads a key-value service through relays, or directly if there are none or they fail.

use crate::{
    item_cache::ItemCache,
    read_path::{ReadPath, choose_read_path},
    relay::Relay,
    relay_options::RelayOptions,
    relay_tree::RelayTree,
    source::{Changes, Freshness, Source, SourceError},
};
use base::Clock;
use std::{net::SocketAddr, slice, sync::Arc, time::Duration};

/// How long a relay is not asked after it failed.
const RELAY_BACKOFF_MS: u64 = 1_000;

/// How long the service is not called after it failed, if there are relays. They notice the end of an outage, and the
/// calls of a whole fleet during an outage cost as much as others.
const DIRECT_BACKOFF_MS: u64 = 1_000;

/// Timeout for an answer of a relay, in addition to the time that the call itself waits there.
const RELAY_ANSWER_MS: u64 = 300;

/// Wait of the direct watch that replaces one at a relay that failed. It is short, because the watch only has to return
/// the changes that the relay did not deliver.
const CATCH_UP_WAIT_MS: u64 = 1;

/// Timeout for a list of all items by a relay. Its client has a shorter one for each page.
const RELAY_LIST_MS: u64 = 4_000;

/// Pause of a daemon that reads from a relay, as a divisor of the one of a daemon that reads the service. The relay has
/// collected the changes already, and further ones come after its own pause. So two relays on the way of a change delay it
/// no more than one did that was read after a whole pause.
const RELAYED_BATCH_DIVISOR: u64 = 2;

/// Wait of a relay's watch at another relay, as a divisor of the wait of other watches. The ages of both copies add up.
const RELAYED_WAIT_DIVISOR: u64 = 2;

/// Reads a key-value service for one daemon, and records in a cache what it reads, so that the daemon can be a relay
/// for others.
///
/// Most daemons of a failure domain read from relays in this domain instead of the service, whose calls are limited
/// and paid for. If a relay fails or says that its items are outdated, the same watch continues directly at the
/// service, because eras and revisions are the same everywhere.
pub struct RelayedSource<S> {
    service: S,
    /// Creates a source that reads from the relay at an address.
    connect: Box<dyn Fn(SocketAddr) -> S + Send + Sync>,
    options: RelayOptions,
    cache: Arc<ItemCache>,
    clock: Clock,
    /// Source for the relay that was asked last.
    current: Option<(SocketAddr, S)>,
    /// Relays that failed, each with the time until which it is not asked.
    failed: Vec<(SocketAddr, u64)>,
    /// Time until which the service is not called.
    direct_after_ms: u64,
    /// Whether this daemon has had the latest items since its last list from the service. Until then it reads from the
    /// service: relays that have started at the same time would have to send all items again to bring an old list up to
    /// date. The pages of a list are not one snapshot, and relays do not remember keys that were written and removed
    /// while they listed themselves.
    has_caught_up: bool,
    /// Whether the last answer came from a relay.
    is_relayed: bool,
}

/// Why no relay has answered a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayError {
    /// There is no relay that has not failed recently.
    NoRelay,
    /// All relays that were asked failed.
    RelayFailed,
    /// A relay that was asked did not answer in time.
    Silent,
}

/// Call that is made at a relay or at the service.
#[derive(Clone, Copy)]
enum Read<'a> {
    List(&'a str, Freshness),
    Watch { prefix: &'a str, revision: u64, wait_ms: u64 },
}

impl Read<'_> {
    async fn send(self, source: &mut impl Source) -> Result<Changes, SourceError> {
        match self {
            Self::List(prefix, freshness) => source.list(prefix, freshness).await,
            Self::Watch { prefix, revision, wait_ms } => {
                source.watch(prefix, revision, wait_ms).await
            }
        }
    }

    /// The same call with a shorter wait, if it waits for longer than `max_ms`.
    fn with_wait_up_to(self, max_ms: u64) -> Self {
        match self {
            Self::List(..) => self,
            Self::Watch { prefix, revision, wait_ms } => {
                Self::Watch { prefix, revision, wait_ms: wait_ms.min(max_ms) }
            }
        }
    }

    /// Timeout of the call at a relay.
    fn timeout_ms(self) -> u64 {
        match self {
            Self::List(..) => RELAY_LIST_MS,
            Self::Watch { wait_ms, .. } => wait_ms + RELAY_ANSWER_MS,
        }
    }
}

impl<S: Source> RelayedSource<S> {
    /// Creates a source that calls `service`, and that creates sources for relays by `connect`.
    pub fn new(
        service: S,
        connect: impl Fn(SocketAddr) -> S + Send + Sync + 'static,
        options: RelayOptions,
        cache: Arc<ItemCache>,
    ) -> Self {
        Self {
            service,
            connect: Box::new(connect),
            options,
            cache,
            clock: Clock::start(),
            current: None,
            failed: Vec::new(),
            direct_after_ms: 0,
            has_caught_up: false,
            is_relayed: false,
        }
    }

    /// The daemons that announce themselves in the service.
    fn daemons(&self) -> Vec<Relay> {
        let prefix = self.options.prefix;
        let items = self.cache.values(prefix);
        let daemons =
            items.iter().filter_map(|(key, item)| Relay::decode(key.strip_prefix(prefix)?, item));
        daemons.collect()
    }

    /// Decides where to read from.
    fn read_path(&self) -> ReadPath {
        choose_read_path(&self.daemons(), &self.options.domain, &self.options.own_name)
    }

    /// Whether the answer of a relay is older than the items that this daemon has. Such a list would bring back what was
    /// removed, and changes of an earlier era do not continue the items.
    fn is_behind(&self, read: Read<'_>, answer: &Changes) -> bool {
        let era = self.cache.era();
        let is_older_list = matches!(read, Read::List(..))
            && answer.era == era
            && answer.revision < self.cache.revision();
        answer.era < era || is_older_list
    }

    /// Makes a call at the first of the relays that has not failed recently and answers. The error `Compacted` is an
    /// answer: the relay works, but has to be asked for all items.
    ///
    /// # Errors
    ///
    /// `NoRelay` if there is no such relay, `RelayFailed` if one failed in this call, `Silent` if one did not answer.
    async fn read_from_relay(
        &mut self,
        relays: &[Relay],
        read: Read<'_>,
    ) -> Result<Result<Changes, SourceError>, RelayError> {
        let now_ms = self.clock.now_ms();
        self.failed.retain(|(_, until_ms)| now_ms < *until_ms);
        let mut outcome = RelayError::NoRelay;
        for addr in relays.iter().map(|relay| relay.addr) {
            if self.failed.iter().any(|(failed, _)| *failed == addr) {
                continue;
            }
            if self.current.as_ref().is_none_or(|(current, _)| *current != addr) {
                log::info!("plat: reads from the relay at {addr}");
            }
            let current = self.current.take().filter(|(current, _)| *current == addr);
            let mut source = current.map_or_else(|| (self.connect)(addr), |(_, source)| source);
            let timeout = Duration::from_millis(read.timeout_ms());
            let answer = tokio::time::timeout(timeout, read.send(&mut source)).await;
            let has_timed_out = answer.is_err();
            let err = match answer {
                Ok(Ok(answer)) if self.is_behind(read, &answer) => "it is behind".to_owned(),
                Ok(answer @ (Ok(_) | Err(SourceError::Compacted))) => {
                    self.current = Some((addr, source));
                    return Ok(answer);
                }
                Ok(Err(err)) => err.to_string(),
                Err(_) => format!("no answer in {} ms", timeout.as_millis()),
            };
            log::info!("plat: the relay at {addr} failed: {err}");
            metrics::counter!("relay_failures_total").increment(1);
            self.failed.push((addr, self.clock.now_ms() + RELAY_BACKOFF_MS));
            outcome = RelayError::RelayFailed;
            // A relay that does not answer has taken too much time to ask another one.
            if has_timed_out {
                return Err(RelayError::Silent);
            }
        }
        Err(outcome)
    }

    /// Brings the items that this daemon has up to date at a relay, and returns them in place of a list, which would take
    /// hundreds of times as many bytes. Returns `None` if no relay has all changes since then.
    ///
    /// # Errors
    ///
    /// `Silent` if a relay did not answer.
    async fn resume_list(
        &mut self,
        relays: &[Relay],
        prefix: &str,
    ) -> Result<Option<Changes>, RelayError> {
        let (era, revision) = (self.cache.era(), self.cache.revision());
        if revision == 0 {
            return Ok(None);
        }
        let read = Read::Watch { prefix, revision, wait_ms: CATCH_UP_WAIT_MS };
        for relay in relays {
            match self.read_from_relay(slice::from_ref(relay), read).await {
                Ok(Ok(changes)) if changes.era == era && changes.revision >= revision => {
                    metrics::counter!("relay_resumed_lists_total").increment(1);
                    self.cache.apply(&changes);
                    return Ok(self.cache.list(u64::MAX).ok());
                }
                Err(RelayError::Silent) => return Err(RelayError::Silent),
                Ok(_) | Err(_) => {}
            }
        }
        Ok(None)
    }

    /// Makes a call at a relay. A list becomes a watch if a relay has all changes since the last read.
    ///
    /// # Errors
    ///
    /// As for `read_from_relay`.
    async fn read_relayed(
        &mut self,
        relays: &[Relay],
        read: Read<'_>,
    ) -> Result<Result<Changes, SourceError>, RelayError> {
        if let Read::List(prefix, Freshness::Latest) = read {
            // Relays of the second tier may be reading the same list just now, and have slower links. The first ones also
            // have the changes for a reader whose list is older than the one of its relay.
            let daemons = self.daemons();
            let tree = RelayTree::new(&daemons, &self.options.domain);
            let first_relays = tree.first_relays(&self.options.own_name);
            // Further relays may not know yet that the service was restored, and would bring the old items up to date.
            let mut asked: Vec<Relay> =
                relays.first().into_iter().chain(first_relays.first()).cloned().collect();
            asked.dedup();
            if let Some(list) = self.resume_list(&asked, prefix).await? {
                return Ok(Ok(list));
            }
            // Readers of this daemon list at the first relays as well, and not after it.
            self.cache.mark_superseded();
            return self.read_from_relay(&first_relays, read).await;
        }
        self.read_from_relay(relays, read).await
    }

    /// Makes a call at a relay, or at the service if there is no relay that works.
    async fn read(&mut self, read: Read<'_>) -> Result<Changes, SourceError> {
        let wait_ms = self.options.wait_ms;
        let (relays, read) = match self.read_path() {
            ReadPath::Direct => return self.read_service(read).await,
            ReadPath::AsRelay => return self.read_service(read.with_wait_up_to(wait_ms)).await,
            ReadPath::Through(relays) => (relays, read.with_wait_up_to(wait_ms)),
            ReadPath::ThroughAsRelay(relays) => {
                (relays, read.with_wait_up_to(wait_ms / RELAYED_WAIT_DIVISOR))
            }
        };
        if !self.has_caught_up {
            return self.read_service(read).await;
        }
        match self.read_relayed(&relays, read).await {
            Ok(answer) => {
                metrics::counter!("relay_reads_total").increment(1);
                self.is_relayed = true;
                answer
            }
            Err(_) if self.clock.now_ms() < self.direct_after_ms => Err(SourceError::Paused),
            Err(RelayError::NoRelay) => self.read_service(read).await,
            Err(RelayError::RelayFailed | RelayError::Silent) => {
                self.read_service(read.with_wait_up_to(CATCH_UP_WAIT_MS)).await
            }
        }
    }

    /// Makes a call at the service.
    async fn read_service(&mut self, read: Read<'_>) -> Result<Changes, SourceError> {
        metrics::counter!("store_reads_total").increment(1);
        self.is_relayed = false;
        let outcome = read.send(&mut self.service).await;
        let has_failed = match &outcome {
            Ok(_) | Err(SourceError::Compacted | SourceError::UnreadableEra) => false,
            Err(_) => true,
        };
        if has_failed {
            self.direct_after_ms = self.clock.now_ms() + DIRECT_BACKOFF_MS;
        }
        outcome
    }
}

impl<S: Source> Source for RelayedSource<S> {
    async fn list(&mut self, prefix: &str, freshness: Freshness) -> Result<Changes, SourceError> {
        let outcome = self.read(Read::List(prefix, freshness)).await;
        match &outcome {
            Ok(list) => {
                self.cache.replace(list, freshness == Freshness::Latest);
                // The pages of a list from the service are completed by a watch of the service.
                self.has_caught_up = self.is_relayed;
            }
            Err(_) => self.cache.mark_outage(),
        }
        outcome
    }

    async fn watch(
        &mut self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<Changes, SourceError> {
        let outcome = self.read(Read::Watch { prefix, revision, wait_ms }).await;
        match &outcome {
            Ok(read) => {
                self.cache.apply(read);
                self.has_caught_up |= read.era == self.cache.era();
            }
            Err(SourceError::Compacted | SourceError::UnreadableEra) => {}
            Err(_) => self.cache.mark_outage(),
        }
        outcome
    }

    fn batch_ms(&self, batch_ms: u64) -> u64 {
        match self.is_relayed {
            true => batch_ms / RELAYED_BATCH_DIVISOR,
            false => self.service.batch_ms(batch_ms),
        }
    }
}
