//! Callers that send as much as the daemon takes and read nothing, or little.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

/// What each caller sends on its connection.
#[derive(Clone, Debug)]
pub enum Sending {
    /// Repeats the text, up to this number of bytes in all.
    Repeated(String, usize),
    /// Sends the text once.
    Once(String),
    /// Begins with the text, and goes on with one byte every 100 ms.
    Dribbled(String),
}

/// Connections that are open until the value is dropped.
pub struct SilentCallers {
    is_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Caller {
    stream: TcpStream,
    sent_bytes: usize,
}

impl SilentCallers {
    /// Opens `count` connections to `addr` and sends on them from then on. A connection that is closed or cannot be opened
    /// is not opened again.
    pub fn start(addr: SocketAddr, count: usize, sending: Sending) -> Self {
        Self::start_reading(addr, count, sending, 0)
    }

    /// Like `start`, with callers that read up to `read_bytes` every few milliseconds.
    pub fn start_reading(
        addr: SocketAddr,
        count: usize,
        sending: Sending,
        read_bytes: usize,
    ) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let thread_ended = Arc::clone(&is_ended);
        // The kernel repeats an attempt that found the daemon's backlog full after a second.
        let open = || TcpStream::connect_timeout(&addr, Duration::from_millis(1_500)).ok();
        let streams: Vec<_> = (0..count).filter_map(|_| open()).collect();
        let thread = std::thread::spawn(move || {
            let mut callers: Vec<_> =
                streams.into_iter().map(|stream| Caller { stream, sent_bytes: 0 }).collect();
            for caller in &callers {
                caller.stream.set_nonblocking(true).unwrap();
            }
            let mut buffer = vec![0; read_bytes];
            while !thread_ended.load(Ordering::Relaxed) {
                for caller in &mut callers {
                    caller.send(&sending);
                    let _ = caller.stream.read(&mut buffer);
                }
                std::thread::sleep(match sending {
                    Sending::Dribbled(_) => Duration::from_millis(100),
                    _ => Duration::from_millis(5),
                });
            }
        });
        Self { is_ended, thread: Some(thread) }
    }
}

impl Drop for SilentCallers {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Caller {
    /// Sends what the connection takes now.
    fn send(&mut self, sending: &Sending) {
        match sending {
            Sending::Dribbled(text) if self.sent_bytes >= text.len() => {
                let _ = self.stream.write(b"x");
            }
            Sending::Dribbled(text) | Sending::Once(text) => {
                let _ = self.write(text, text.len());
            }
            Sending::Repeated(text, limit) => while self.write(text, *limit) {},
        }
    }

    /// Writes the rest of the text that has begun, unless `limit` bytes were sent. Returns whether all of it was taken.
    fn write(&mut self, text: &str, limit: usize) -> bool {
        if self.sent_bytes >= limit {
            return false;
        }
        let rest = &text.as_bytes()[self.sent_bytes % text.len()..];
        match self.stream.write(rest) {
            Ok(size) => {
                self.sent_bytes += size;
                size == rest.len()
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => false,
            // A closed connection sends no more.
            Err(_) => {
                self.sent_bytes = usize::MAX / 2;
                false
            }
        }
    }
}
