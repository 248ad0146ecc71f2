//! Lends and borrows repeats of the retry budget.

use crate::{
    core::Core,
    retry_lending_message::{MESSAGE_SIZE_BYTES, RetryLendingMessage},
};
use base::{HashMap, ServiceName, lock};
use limit::Urgency;
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{net::UdpSocket, sync::oneshot};

/// Daemons that are asked, one after the other.
const ASKED_DAEMONS: usize = 3;

/// Longest wait for an answer. A datagram takes a millisecond inside the site; a daemon that has no processor time left
/// is not waited for.
const ANSWER_WAIT_MS: u64 = 20;

/// Asks other daemons for a repeat when the own budget is spent, and answers them.
///
/// The losses of a failure domain hit some daemons harder than others, while the bound holds for the fleet. A repeat
/// that is lent is taken from the lender's budget, so the sum never grows; an answer that is lost only wastes one.
#[derive(Debug)]
pub struct RetryLending {
    socket: UdpSocket,
    asked: Mutex<HashMap<u64, oneshot::Sender<bool>>>,
    last_number: AtomicU64,
}

impl RetryLending {
    /// Binds to an address.
    ///
    /// # Errors
    ///
    /// The error of `bind`.
    pub async fn bind(addr: SocketAddr) -> IoResult<Self> {
        Ok(Self {
            socket: UdpSocket::bind(addr).await?,
            asked: Mutex::default(),
            last_number: AtomicU64::new(0),
        })
    }

    /// The address that it is bound to.
    ///
    /// # Errors
    ///
    /// The error of `getsockname`.
    pub fn local_addr(&self) -> IoResult<SocketAddr> {
        self.socket.local_addr()
    }

    /// Answers other daemons, as long as the future is polled.
    pub async fn run(self: Arc<Self>, core: Arc<Core>) {
        let mut buffer = [0; MESSAGE_SIZE_BYTES];
        loop {
            let (size, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(err) => {
                    // A datagram to a daemon that has gone is reported here.
                    log::debug!("loan: {err}");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    continue;
                }
            };
            match RetryLendingMessage::decode(&buffer[..size]) {
                Some(RetryLendingMessage::Ask { number, service, urgency })
                    if core.is_peer(from) =>
                {
                    let is_granted = core.lend(&service, urgency);
                    self.send(&RetryLendingMessage::Answer { number, is_granted }, from).await;
                }
                Some(RetryLendingMessage::Answer { number, is_granted }) => {
                    if let Some(waiting) = self.asked().remove(&number) {
                        // The daemon that asked may have stopped waiting.
                        let _ = waiting.send(is_granted);
                    }
                }
                _ => log::info!("loan: a message from {from} is not valid"),
            }
        }
    }

    /// Borrows one repeat; whether a daemon lent it.
    pub(crate) async fn borrow(
        &self,
        core: &Core,
        service: &ServiceName,
        urgency: Urgency,
    ) -> bool {
        for peer in core.random_peers(ASKED_DAEMONS) {
            let number = self.last_number.fetch_add(1, Ordering::Relaxed);
            let (answer, waiting) = oneshot::channel();
            self.asked().insert(number, answer);
            let ask = RetryLendingMessage::Ask { number, service: service.clone(), urgency };
            self.send(&ask, peer).await;
            let wait = Duration::from_millis(ANSWER_WAIT_MS);
            let is_granted = matches!(tokio::time::timeout(wait, waiting).await, Ok(Ok(true)));
            self.asked().remove(&number);
            if is_granted {
                metrics::counter!("retry_budget_borrowed_total").increment(1);
                return true;
            }
        }
        false
    }

    async fn send(&self, message: &RetryLendingMessage, to: SocketAddr) {
        if let Err(err) = self.socket.send_to(&message.encode(), to).await {
            log::debug!("loan: nothing was sent to {to}: {err}");
        }
    }

    fn asked(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<bool>>> {
        lock(&self.asked)
    }
}
