//! Release gate of a streamed answer. It sends a token to the caller only after another daemon, the replica holder, has
//! acknowledged the token in a view that this entry owns, or after replication was given up.

use crate::{
    accepted_batch::AcceptedBatch, finish::Finish, job::Job, render::Renderer,
    replica_holder::ReplicaHolder, shared::Shared,
};
use bytes::Bytes;
use metrics::Histogram;
use recovery::{Append, AppendStatus, Cursor, Journal, Replica, ReplicaHeader, View, ViewId};
use std::{sync::Arc, time::Instant};
use tokio::sync::mpsc;

/// Largest number of attempts to replicate a batch. After these, its tokens are released without a replica.
const MAX_HOLDER_ATTEMPTS: usize = 4;

/// Largest number of batches of accepted tokens that are queued in front of the gate.
const MAX_QUEUED_BATCHES: usize = 64;

/// Why a release gate was closed before the end of its answer. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReleaseGateClosed {
    /// The caller has disconnected.
    CallerGone,
    /// Another entry has claimed the journal, so the view of this entry is superseded.
    Superseded,
}

/// Replicates the accepted tokens of one streamed answer and sends them to the caller.
#[derive(Debug)]
pub(crate) struct ReleaseGate {
    shared: Arc<Shared>,
    job: Job,
    /// Current view: a period in which one entry owns the journal and has at most one replica holder.
    view: ViewId,
    /// Whether a replica holder was chosen in the current view. If so, another holder needs a new view.
    view_has_holder: bool,
    /// Current replica holder; `None` before one is chosen, and after the last one has failed.
    holder: Option<ReplicaHolder>,
    /// Whether the holder has a replica of the journal in the current view.
    is_installed: bool,
    renderer: Renderer,
    sender: mpsc::Sender<Bytes>,
    /// Number of tokens that were sent to the caller, including those sent before the caller reconnected.
    released: u32,
    /// Handle of the metric `release_wait_seconds`. It is looked up only once, because a lookup costs more than
    /// recording a value.
    release_wait: Histogram,
}

impl ReleaseGate {
    /// Creates the release gate of a new generation, which begins with view 1, and opens its journal.
    pub fn new(shared: Arc<Shared>, job: Job, sender: mpsc::Sender<Bytes>) -> Self {
        let view =
            ViewId { number: 1, nonce: rand::random(), owner: shared.peers.own_id().clone() };
        let header = ReplicaHeader {
            account: job.account.clone(),
            // A job consists of strings and numbers, so its serialization cannot fail.
            request: serde_json::to_vec(&job).unwrap_or_default().into(),
            views: vec![View { id: view.clone(), first_index: 0 }],
        };
        let replica = Replica::new(header, Journal::default(), None);
        shared.journals.open(&job.generation_id, replica);
        Self::with_view(shared, job, view, None, sender)
    }

    /// Creates the release gate of a generation whose journal was claimed. `holder` is the peer at which the journal
    /// was claimed and which holds the replica in `view`; `None` if the journal was claimed at this entry. The first
    /// `released` tokens were already sent to the caller.
    pub fn resumed(
        shared: Arc<Shared>,
        job: Job,
        view: ViewId,
        holder: Option<ReplicaHolder>,
        released: u32,
        sender: mpsc::Sender<Bytes>,
    ) -> Self {
        let mut gate = Self::with_view(shared, job, view, holder, sender);
        gate.released = released;
        gate
    }

    fn with_view(
        shared: Arc<Shared>,
        job: Job,
        view: ViewId,
        holder: Option<ReplicaHolder>,
        sender: mpsc::Sender<Bytes>,
    ) -> Self {
        let renderer = renderer(&job, &view, holder.as_ref());
        let (is_installed, view_has_holder) = (holder.is_some(), holder.is_some());
        Self {
            shared,
            job,
            view,
            view_has_holder,
            holder,
            is_installed,
            renderer,
            sender,
            released: 0,
            release_wait: metrics::histogram!("release_wait_seconds"),
        }
    }

    /// Creates the channel that carries batches of accepted tokens to a gate.
    pub fn channel() -> (mpsc::Sender<AcceptedBatch>, mpsc::Receiver<AcceptedBatch>) {
        mpsc::channel(MAX_QUEUED_BATCHES)
    }

    /// Releases `backlog`, the journaled tokens after the caller's cursor, and then the batches from `accepted`, until
    /// the channel ends or the gate is closed.
    pub async fn run(mut self, backlog: Journal, mut accepted: mpsc::Receiver<AcceptedBatch>) {
        if let Err(closed) = self.forward(backlog, &mut accepted).await {
            if closed == ReleaseGateClosed::Superseded {
                metrics::counter!("generations_superseded_total").increment(1);
            }
            log::info!(
                "gate: the release gate of generation {} was closed: {closed:?}",
                self.job.generation_id
            );
        }
    }

    async fn forward(
        &mut self,
        backlog: Journal,
        accepted: &mut mpsc::Receiver<AcceptedBatch>,
    ) -> Result<(), ReleaseGateClosed> {
        if !backlog.is_empty() {
            self.replicate(None).await?;
            self.release(&AcceptedBatch { tokens: backlog, ..AcceptedBatch::default() }).await?;
        }
        loop {
            let next = tokio::select! {
                next = accepted.recv() => next,
                () = self.sender.closed() => return Err(ReleaseGateClosed::CallerGone),
            };
            let Some(mut batch) = next else { return Ok(()) };
            // Batches that arrived while the previous one was being replicated are merged.
            while let Ok(later) = accepted.try_recv() {
                batch.merge(later);
            }
            self.process(batch).await?;
        }
    }

    async fn process(&mut self, batch: AcceptedBatch) -> Result<(), ReleaseGateClosed> {
        let is_journaled = !batch.tokens.is_empty() || batch.finish.is_some();
        if is_journaled {
            let append = Append {
                generation: self.job.generation_id.as_str().into(),
                view: self.view.clone(),
                first_index: self.released,
                tokens: batch.tokens.clone(),
                install: None,
                finish: batch.finish.map(encode_finish),
            };
            if self.shared.journals.append(&append) != AppendStatus::Accepted {
                return Err(ReleaseGateClosed::Superseded);
            }
            let started = Instant::now();
            self.replicate(Some(append)).await?;
            self.release_wait.record(started.elapsed().as_secs_f64());
        }
        self.release(&batch).await
    }

    /// Ensures that a replica holder has the journal including `append`, which this entry's own journal already
    /// contains. After `MAX_HOLDER_ATTEMPTS`, or without a usable daemon, this returns as well, so that the tokens of
    /// `append` are released without a replica; they are counted in a metric.
    ///
    /// # Errors
    ///
    /// Another entry has claimed the journal.
    async fn replicate(&mut self, append: Option<Append>) -> Result<(), ReleaseGateClosed> {
        for _ in 0..MAX_HOLDER_ATTEMPTS {
            if self.holder.is_none() && !self.choose_holder()? {
                break;
            }
            let Some(holder) = self.holder.clone() else { break };
            if self.is_installed && append.is_none() {
                return Ok(());
            }
            match self.send_append(&holder, append.clone()).await? {
                AppendStatus::Accepted => {
                    self.is_installed = true;
                    return Ok(());
                }
                AppendStatus::Superseded => return Err(ReleaseGateClosed::Superseded),
                // A holder that has restarted lacks the journal. It can receive the whole journal again in the
                // current view.
                AppendStatus::Unknown if self.is_installed => self.is_installed = false,
                AppendStatus::Full | AppendStatus::Unknown => {
                    self.shared.peers.mark_failed(&holder.id);
                    self.holder = None;
                }
            }
        }
        let tokens = append.map_or(0, |append| u64::from(append.tokens.len()));
        metrics::counter!("journal_uncopied_tokens_total").increment(tokens);
        Ok(())
    }

    /// Sends `append` to the holder, or the whole journal if `append` is `None` or the holder lacks the journal. A
    /// holder that gives no answer counts as `Full`, so that another holder is chosen.
    ///
    /// # Errors
    ///
    /// Another entry has claimed the journal.
    async fn send_append(
        &mut self,
        holder: &ReplicaHolder,
        append: Option<Append>,
    ) -> Result<AppendStatus, ReleaseGateClosed> {
        let append = match append {
            Some(append) if self.is_installed => append,
            _ => self
                .shared
                .journals
                .install_append(&self.job.generation_id, &self.view)
                .ok_or(ReleaseGateClosed::Superseded)?,
        };
        let Some(peers) = self.shared.peers.handle() else { return Ok(AppendStatus::Full) };
        match peers.append(holder.addr, append).await {
            Ok(status) => Ok(status),
            Err(err) => {
                log::warn!(
                    "gate: generation {} lost its replica holder, daemon {}: {err}",
                    self.job.generation_id,
                    holder.id
                );
                metrics::counter!("journal_holder_losses_total").increment(1);
                Ok(AppendStatus::Full)
            }
        }
    }

    /// Chooses a replica holder and returns whether there is one. A new view is begun if the current view had a holder,
    /// or if the new holder is chosen after tokens were released without a holder.
    ///
    /// # Errors
    ///
    /// Another entry has claimed the journal.
    fn choose_holder(&mut self) -> Result<bool, ReleaseGateClosed> {
        let chosen = self.shared.peers.choose_holder(&self.job.generation_id);
        if chosen.is_none() && !self.view_has_holder {
            return Ok(false);
        }
        if self.view_has_holder || (chosen.is_some() && self.released > 0) {
            let renewed = self.shared.journals.renew_view(&self.job.generation_id, &self.view);
            self.view = renewed.ok_or(ReleaseGateClosed::Superseded)?;
        }
        self.view_has_holder = chosen.is_some();
        self.is_installed = false;
        self.holder = chosen;
        self.renderer = renderer(&self.job, &self.view, self.holder.as_ref());
        Ok(self.holder.is_some())
    }

    /// Sends the events of a batch to the caller.
    async fn release(&mut self, batch: &AcceptedBatch) -> Result<(), ReleaseGateClosed> {
        let mut events = Vec::new();
        for index in 0..batch.tokens.len() {
            self.renderer.token(self.released, batch.tokens.text_at(index), &mut events);
            self.released += 1;
        }
        if let Some(Finish { reason, usage }) = batch.finish {
            self.renderer.finish(self.released, reason, usage, &mut events);
        }
        if let Some(error) = &batch.error {
            events.extend_from_slice(&Renderer::error(error));
        }
        // Events wait in the channel while the caller does not read.
        let mut held = self.shared.account.hold_none();
        held.resize_beyond_limit(events.len());
        let events = held.attach_to(events.into());
        self.sender.send(events).await.map_err(|_| ReleaseGateClosed::CallerGone)
    }
}

fn renderer(job: &Job, view: &ViewId, holder: Option<&ReplicaHolder>) -> Renderer {
    let cursor = Cursor {
        generation: job.generation_id.as_str().into(),
        view: view.clone(),
        holder: holder.map(|holder| holder.id.clone()),
        index: 0,
    };
    Renderer::new(job, cursor.prefix())
}

fn encode_finish(finish: Finish) -> Box<[u8]> {
    // A finish consists of names and numbers, so its serialization cannot fail.
    serde_json::to_vec(&finish).unwrap_or_default().into()
}
