//! Sizes of the kernel's buffers of sockets.

use socket2::SockRef;
use std::{io::Result as IoResult, net::SocketAddr};
use tokio::net::TcpSocket;

/// Largest segment. If a segment is larger than a buffer, as on loopback, each one waits for a delayed acknowledgement:
/// answers of 4 MiB took 2,500 ms in place of 4 ms.
const MAX_SEGMENT_BYTES: u32 = 8 * 1024;

/// Creates a socket for connections with `addr` whose buffers in each direction have a fixed size. The kernel would
/// otherwise let them grow to megabytes.
///
/// # Errors
///
/// Fails if the socket cannot be created or an option cannot be set.
pub(crate) fn socket_with_buffers(addr: SocketAddr, buffer_bytes: usize) -> IoResult<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The kernel doubles the sizes that are set.
    let size = (buffer_bytes / 2) as u32;
    socket.set_recv_buffer_size(size)?;
    socket.set_send_buffer_size(size)?;
    SockRef::from(&socket).set_tcp_mss(MAX_SEGMENT_BYTES)?;
    Ok(socket)
}
