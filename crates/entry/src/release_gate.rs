//! Release gate: a token goes to the caller only after the holder has acknowledged it in the entry's own view.

use crate::{
    accepted_batch::AcceptedBatch, finish::Finish, job::Job, render::Renderer,
    replica_holder::ReplicaHolder, shared::Shared,
};
use bytes::Bytes;
use metrics::Histogram;
use recovery::{Append, AppendStatus, Cursor, Journal, Replica, ReplicaHeader, View, ViewId};
use std::{sync::Arc, time::Instant};
use tokio::sync::mpsc;

/// Holders that are tried before tokens are released without a copy.
const MAX_HOLDER_ATTEMPTS: usize = 4;

/// Batches of accepted tokens that may wait for the gate.
const MAX_QUEUED_BATCHES: usize = 64;

/// Why a gate ends early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReleaseGateClosed {
    /// The caller has gone.
    CallerGone,
    /// Another entry has claimed the journal.
    Superseded,
}

/// Release gate of one streamed answer.
#[derive(Debug)]
pub(crate) struct ReleaseGate {
    shared: Arc<Shared>,
    job: Job,
    view: ViewId,
    /// Whether a holder was chosen in the present view, so that another one needs another view.
    view_has_holder: bool,
    holder: Option<ReplicaHolder>,
    /// Whether the holder has the journal of the present view.
    is_installed: bool,
    renderer: Renderer,
    sender: mpsc::Sender<Bytes>,
    /// Tokens that were released.
    released: u32,
    /// Looked up once, because the lookup costs more than the record.
    release_wait: Histogram,
}

impl ReleaseGate {
    /// Release gate of a new generation, which begins with view 1.
    pub fn new(shared: Arc<Shared>, job: Job, sender: mpsc::Sender<Bytes>) -> Self {
        let view =
            ViewId { number: 1, nonce: rand::random(), owner: shared.peers.own_id().clone() };
        let install = ReplicaHeader {
            account: job.account.clone(),
            // A job of strings and numbers has a JSON form.
            request: serde_json::to_vec(&job).unwrap_or_default().into(),
            views: vec![View { id: view.clone(), first_index: 0 }],
        };
        let replica = Replica::new(install, Journal::default(), None);
        shared.journals.open(&job.generation_id, replica);
        Self::with_view(shared, job, view, None, sender)
    }

    /// Release gate of a generation whose journal was claimed; `site` is the peer where, which holds the copy in `view`. Tokens
    /// up to `released` were sent to the caller before.
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

    /// Channel into a gate.
    pub fn channel() -> (mpsc::Sender<AcceptedBatch>, mpsc::Receiver<AcceptedBatch>) {
        mpsc::channel(MAX_QUEUED_BATCHES)
    }

    /// Releases `backlog`, the known tokens after the caller's cursor, and then what `accepted` brings.
    pub async fn run(mut self, backlog: Journal, mut accepted: mpsc::Receiver<AcceptedBatch>) {
        if let Err(closed) = self.forward(backlog, &mut accepted).await {
            if closed == ReleaseGateClosed::Superseded {
                metrics::counter!("generations_superseded_total").increment(1);
            }
            log::info!("gate: {} was closed: {closed:?}", self.job.generation_id);
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
            // Tokens that arrived while the last batch was on its way go together.
            while let Ok(later) = accepted.try_recv() {
                batch.merge(later);
            }
            self.process(batch).await?;
        }
    }

    async fn process(&mut self, batch: AcceptedBatch) -> Result<(), ReleaseGateClosed> {
        let is_journal = !batch.tokens.is_empty() || batch.finish.is_some();
        if is_journal {
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

    /// Sees to it that the holder has the journal with `append`, which the own journal has already.
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
                // A holder that restarted lacks the journal and may get it again in the same view.
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

    /// Sends the append, or the whole journal if the holder lacks it. A holder that gives no answer counts as `Unknown`.
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
                .install(&self.job.generation_id, &self.view)
                .ok_or(ReleaseGateClosed::Superseded)?,
        };
        let Some(peers) = self.shared.peers.handle() else { return Ok(AppendStatus::Full) };
        match peers.append(holder.addr, append).await {
            Ok(status) => Ok(status),
            Err(err) => {
                log::warn!(
                    "gate: {} loses its holder {}: {err}",
                    self.job.generation_id,
                    holder.id
                );
                metrics::counter!("journal_holder_losses_total").increment(1);
                Ok(AppendStatus::Full)
            }
        }
    }

    /// Chooses a holder, under a new view if the present one had another; whether there is one.
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
        self.sender.send(events.into()).await.map_err(|_| ReleaseGateClosed::CallerGone)
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
    // A finish of names and numbers has a JSON form.
    serde_json::to_vec(&finish).unwrap_or_default().into()
}
