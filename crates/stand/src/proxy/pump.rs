//! Forwards the data of a connection in one direction.

use crate::proxy::{direction::Direction, faults::Faults};
use bytes::{Bytes, BytesMut};
use std::{io::Result as IoResult, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::{mpsc, watch},
    time::Instant,
};

/// Buffer space that is reserved for each read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Largest number of chunks that are read but not yet written, for example because of a delay.
const MAX_DELAYED_CHUNKS: usize = 256;

/// Forwards bytes in one direction and applies the active faults.
#[derive(Debug)]
pub(super) struct Pump {
    pub direction: Direction,
    pub number: u64,
    pub faults: watch::Receiver<Faults>,
}

/// Reason why forwarding in one direction ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PumpEnd {
    /// The sender closed its side, and the close was forwarded to the receiver.
    Closed,
    /// The fault `CutAfter` requires a reset of the connection.
    Cut,
}

/// Time at which a chunk may be written, and the chunk.
type DelayedChunk = (Instant, Bytes);

impl Pump {
    /// Forwards data until the sender closes its side or a fault resets the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if reading from the sender or writing to the receiver fails.
    pub async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> IoResult<PumpEnd> {
        let (sender, receiver) = mpsc::channel(MAX_DELAYED_CHUNKS);
        let writer = Writer {
            direction: self.direction,
            number: self.number,
            faults: self.faults.clone(),
            receiver,
        };
        let (read, written) = tokio::join!(self.read(from, sender), writer.run(to));
        read?;
        written
    }

    async fn read(
        mut self,
        mut from: ReadHalf<'_>,
        sender: mpsc::Sender<DelayedChunk>,
    ) -> IoResult<()> {
        let mut buffer = BytesMut::new();
        loop {
            let direction = self.direction;
            let _ = self.faults.wait_for(|faults| !faults.is_stalled(direction)).await;
            buffer.reserve(READ_BUFFER_BYTES);
            let size_bytes = tokio::select! {
                size_bytes = from.read_buf(&mut buffer) => size_bytes?,
                () = sender.closed() => return Ok(()),
            };
            if size_bytes == 0 {
                return Ok(());
            }
            let delay = Duration::from_millis(self.faults.borrow().delay_ms);
            let chunk = buffer.split().freeze();
            if sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return Ok(());
            }
        }
    }
}

/// Writes chunks when they are due and applies silence, stalls and `CutAfter`.
#[derive(Debug)]
struct Writer {
    direction: Direction,
    number: u64,
    faults: watch::Receiver<Faults>,
    receiver: mpsc::Receiver<DelayedChunk>,
}

impl Writer {
    async fn run(mut self, mut to: WriteHalf<'_>) -> IoResult<PumpEnd> {
        let mut forwarded_bytes = 0;
        while let Some((due, mut chunk)) = self.receiver.recv().await {
            tokio::time::sleep_until(due).await;
            let direction = self.direction;
            let _ = self.faults.wait_for(|faults| !faults.is_stalled(direction)).await;
            let faults = *self.faults.borrow();
            if faults.is_silent(self.number) {
                continue;
            }
            let is_counted = self.direction == Direction::ToClient;
            let remaining_bytes = match faults.cut_after_bytes {
                Some(limit_bytes) if is_counted => limit_bytes.saturating_sub(forwarded_bytes),
                _ => u64::MAX,
            };
            let is_cut = remaining_bytes <= chunk.len() as u64;
            if is_cut {
                chunk.truncate(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
            }
            to.write_all(&chunk).await?;
            forwarded_bytes += chunk.len() as u64;
            if is_cut {
                return Ok(PumpEnd::Cut);
            }
        }
        // A silent connection does not forward the close either.
        if self.faults.borrow().is_silent(self.number) {
            return std::future::pending().await;
        }
        to.shutdown().await?;
        Ok(PumpEnd::Closed)
    }
}
