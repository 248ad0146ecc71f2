//! One direction of one connection.

use crate::proxy::{direction::Direction, faults::Faults};
use bytes::{Bytes, BytesMut};
use std::{io::Result as IoResult, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::{mpsc, watch},
    time::Instant,
};

/// Largest number of bytes that are read at a time.
const CHUNK_SIZE_BYTES: usize = 16 * 1024;

/// Chunks that may wait for their delay to pass.
const DELAYED_CHUNKS: usize = 256;

/// Copies bytes in one direction, as the faults allow.
#[derive(Debug)]
pub(super) struct Pump {
    pub direction: Direction,
    pub number: u64,
    pub faults: watch::Receiver<Faults>,
}

/// How a direction ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PumpEnd {
    /// The sender closed it, and the receiver was told.
    Closed,
    /// The connection must be reset.
    Cut,
}

/// Bytes on their way, and the time at which they may go on.
type Delayed = (Instant, Bytes);

impl Pump {
    /// Runs until the direction ends.
    ///
    /// # Errors
    ///
    /// A side failed.
    pub async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> IoResult<PumpEnd> {
        let (sender, receiver) = mpsc::channel(DELAYED_CHUNKS);
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

    async fn read(mut self, mut from: ReadHalf<'_>, sender: mpsc::Sender<Delayed>) -> IoResult<()> {
        let mut buffer = BytesMut::new();
        loop {
            let direction = self.direction;
            let _ = self.faults.wait_for(|faults| !faults.is_stalled(direction)).await;
            buffer.reserve(CHUNK_SIZE_BYTES);
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

/// Writing side of a pump.
#[derive(Debug)]
struct Writer {
    direction: Direction,
    number: u64,
    faults: watch::Receiver<Faults>,
    receiver: mpsc::Receiver<Delayed>,
}

impl Writer {
    async fn run(mut self, mut to: WriteHalf<'_>) -> IoResult<PumpEnd> {
        let mut passed_bytes = 0;
        while let Some((at, mut chunk)) = self.receiver.recv().await {
            tokio::time::sleep_until(at).await;
            let direction = self.direction;
            let _ = self.faults.wait_for(|faults| !faults.is_stalled(direction)).await;
            let faults = *self.faults.borrow();
            if faults.is_silent(self.number) {
                continue;
            }
            let is_counted = self.direction == Direction::ToClient;
            let left_bytes = match faults.cut_after_bytes {
                Some(limit_bytes) if is_counted => limit_bytes.saturating_sub(passed_bytes),
                _ => u64::MAX,
            };
            let is_cut = left_bytes <= chunk.len() as u64;
            if is_cut {
                chunk.truncate(usize::try_from(left_bytes).unwrap_or(usize::MAX));
            }
            to.write_all(&chunk).await?;
            passed_bytes += chunk.len() as u64;
            if is_cut {
                return Ok(PumpEnd::Cut);
            }
        }
        // The end of a silent connection is dropped as well.
        if self.faults.borrow().is_silent(self.number) {
            return std::future::pending().await;
        }
        to.shutdown().await?;
        Ok(PumpEnd::Closed)
    }
}
