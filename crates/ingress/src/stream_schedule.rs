//! What the scheduling knows of one stream: its class, its place among the streams that wait, and its search for an engine.

use crate::{
    config::{EngineConfig, ServiceConfig},
    core::Core,
    inbound::Inbound,
    probe::PREFILL_MS,
    stream_queues::QueueTicket,
};
use limit::{StreamAsk, StreamClass, StreamProgress, WaitingStream};
use std::sync::Arc;

/// Part of an engine's memory that a request takes whose size is not stated, as a divisor.
const USUAL_MEMORY_DIVISOR: u64 = 8;

/// Scheduling state of one stream.
#[derive(Debug)]
pub(crate) struct StreamSchedule {
    service: ServiceConfig,
    inbound: Arc<Inbound>,
    /// Place among the streams that wait for an engine; `None` while the stream looks for none.
    ticket: Option<QueueTicket>,
    /// When the stream began to look for an engine, since the last send.
    since_ms: Option<u64>,
    /// Whether the last search found an engine at which the stream would have been in time.
    was_in_time: bool,
}

impl StreamSchedule {
    /// Creates the state of a stream that has not looked for an engine.
    pub fn new(core: &Core, inbound: Arc<Inbound>) -> Self {
        let service = core.service_config(&inbound.service);
        Self { service, inbound, ticket: None, since_ms: None, was_in_time: false }
    }

    /// Properties of the service's engines; `None` if the configuration states none.
    pub fn engine_config(&self) -> Option<EngineConfig> {
        self.service.engine
    }

    /// Urgency level that the engine is told; `None` if all streams of the service have the same priority. It does not
    /// follow the progress of the stream: an engine preempts by this level, and each finer one costs prompts that are
    /// prefilled again.
    pub fn urgency_level(&self) -> Option<u8> {
        let levels = self.service.urgency_levels.as_ref();
        levels.map(|levels| levels.level(self.inbound.priority))
    }

    /// Begins or goes on to look for an engine. Returns the stream as the decision sees it; `None` if the service's
    /// streams are not scheduled. `is_new` tells whether the stream has no event and was not sent.
    pub fn search(
        &mut self,
        progress: StreamProgress,
        is_new: bool,
        now_ms: u64,
    ) -> Option<StreamAsk> {
        let engine = self.service.engine.filter(|_| self.service.schedules_streams())?;
        let inbound = &self.inbound;
        let usual_tokens = engine.kv_cache_tokens / USUAL_MEMORY_DIVISOR;
        let stated_tokens =
            inbound.prompt_tokens.map(|prompt| prompt.saturating_add(inbound.output_tokens));
        Some(StreamAsk {
            progress,
            urgency_level: self.urgency_level().unwrap_or(0),
            class: self.class(),
            is_refusable: is_new && !inbound.is_repeated,
            was_in_time: self.was_in_time,
            since_ms: *self.since_ms.get_or_insert(now_ms),
            target_latency_ms: inbound.first_event_target_ms() - inbound.arrived_ms,
            target_ms: inbound.first_event_target_ms(),
            tokens: stated_tokens.unwrap_or(usual_tokens),
        })
    }

    /// Enters the queue of the streams that look for an engine. Returns a future that waits for the stream's turn; `None`
    /// if the stream waits for none: of a service whose streams are not scheduled, only those wait that callers take up
    /// and that need a prefill at the engines of one version. `is_unconstrained` tells whether any engine of the service
    /// will do, `version_key` identifies the version if any of its engines will do.
    pub fn turn(
        &mut self,
        core: &Arc<Core>,
        ask: Option<&StreamAsk>,
        progress: StreamProgress,
        is_unconstrained: bool,
        version_key: Option<u64>,
    ) -> Option<impl Future<Output = ()> + Send + 'static> {
        let inbound = &self.inbound;
        let is_take_up = inbound.last_event_id.is_some();
        if ask.is_none() && !(is_take_up && version_key.is_some()) {
            return None;
        }
        // The callers of the streams that a lost daemon had come back at the same time. The one with the least time left
        // for the rest of its stream comes first.
        let target_ms = match ask {
            Some(ask) if !is_take_up => ask.target_ms,
            _ => inbound.deadline_ms,
        };
        let since_ms = *self.since_ms.get_or_insert(core.clock.now_ms());
        let level = self.urgency_level().unwrap_or(0);
        let ticket = self.ticket.get_or_insert_with(|| core.stream_queues.ticket(&inbound.service));
        ticket.enter(WaitingStream {
            number: ticket.number(),
            level,
            progress,
            latest_start_ms: target_ms.saturating_sub(PREFILL_MS),
            since_ms,
            is_unconstrained,
            version_key,
        });
        Some(ticket.turn(core))
    }

    /// Records that a search has found no engine with room. `is_in_time` tells whether the stream would have been in time
    /// at one of the engines.
    pub fn record_wait(&mut self, is_in_time: bool) {
        self.was_in_time = is_in_time;
    }

    /// Leaves the queue, because the stream looks for no engine for now.
    pub fn leave_queue(&mut self) {
        self.ticket = None;
    }

    /// Ends the search, because the stream is sent.
    pub fn end_search(&mut self) {
        self.ticket = None;
        self.since_ms = None;
    }

    /// Longest time of a reservation that the stream may take; 0 if it takes none. With several classes, a reservation of
    /// the least urgent one would be admitted before all others and could not give way to them.
    pub fn hold_ms(&self) -> u64 {
        let may_hold = self.class() != StreamClass::LeastUrgent;
        self.service.engine.filter(|_| may_hold).map_or(0, |engine| engine.hold_ms)
    }

    /// Refuses the stream, whose first event would be late by `late_ms`. Returns the time until the caller may return:
    /// that in which the engines work off what makes the stream late, as long as it can be in time after it.
    pub fn refuse(&self, core: &Core, late_ms: u64) -> u64 {
        let now_ms = core.clock.now_ms();
        let backlog_ms = match self.class() {
            StreamClass::Middle | StreamClass::MostUrgent => late_ms / 2,
            StreamClass::LeastUrgent | StreamClass::Only => late_ms,
        };
        let left_ms = self.inbound.first_event_target_ms().saturating_sub(now_ms);
        let retry_after_ms = backlog_ms.min(left_ms / 2) + core.stream_retry_after_ms();
        let level = self.urgency_level().unwrap_or(0);
        log::info!(
            "stream: id={} refused, reason=late urgency={level} late_ms={late_ms} waited_ms={} \
             retry_after_ms={retry_after_ms}",
            self.inbound.id_text(),
            now_ms.saturating_sub(self.inbound.arrived_ms),
        );
        metrics::counter!("streams_shed_total", "urgency" => level.to_string()).increment(1);
        retry_after_ms
    }

    /// Class of the stream among those of its service.
    fn class(&self) -> StreamClass {
        let levels = self.service.urgency_levels.as_ref();
        levels.map_or(StreamClass::Only, |levels| levels.class(self.inbound.priority))
    }
}
