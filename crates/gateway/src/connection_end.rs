//! How a server left a connection whose sending side it has ended.
//!
//! A response without a marked end looks the same at its end whether its server has sent all of
//! it or has given up while it still had to read the request. What became of the connection
//! tells the two apart: TCP resets it at once if it is closed with bytes unread, and otherwise
//! in answer to the first bytes that arrive after it was closed (RFC 9293, 3.6.1).

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{SendFlags, send};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};

/// Time within which the reset of a connection that its server closes right after its response
/// arrives. A reset that comes just as the empty line is sent looks like the reply to it, so the
/// line must not be sent when resets are likely.
const RESET_TIME: Duration = Duration::from_millis(1);

/// What is sent to learn whether the server has closed the connection. Servers ignore an empty
/// line before a request (RFC 9112, 2.2).
const EMPTY_LINE: &[u8] = b"\r\n";

/// Timeout for the reply of the server's system to it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which the state of the connection is read until then.
const STATE_INTERVAL: Duration = Duration::from_millis(1);

/// How a server left a connection whose sending side it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It closed the connection and had read all that was sent to it.
    Closed,
    /// It closed the connection before it had read all that was sent to it.
    Reset,
    /// It has not closed the connection. What was sent to it may be unread.
    HalfOpen,
    /// Its system did not reply in time.
    Unknown,
}

impl ConnectionEnd {
    /// String form for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Reset => "reset",
            Self::HalfOpen => "half_open",
            Self::Unknown => "unknown",
        }
    }
}

/// A connection whose server has ended its side.
#[derive(Debug)]
pub struct EndedConnection {
    stream: TcpStream,
    ended_at: Instant,
}

impl EndedConnection {
    /// The connection behind a stream whose end was read just now.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ended_at: Instant::now(),
        }
    }

    /// Finds out how the server left the connection.
    ///
    /// A server that closes the connection with bytes unread just as the empty line is under way
    /// is taken for one that had closed it before.
    pub async fn left(self) -> ConnectionEnd {
        sleep_until(self.ended_at + RESET_TIME).await;
        let socket = SockRef::from(&self.stream);
        if reset(&socket).is_ok() {
            return ConnectionEnd::Reset;
        }
        if !is_sent(&self.stream) {
            return ConnectionEnd::HalfOpen;
        }
        // The line waits for the end of this side, so both leave as one: a reset until then is
        // no reply to it. Its system acknowledges the end at once.
        let sent = send(&self.stream, EMPTY_LINE, SendFlags::MORE);
        if sent.is_err() || socket.shutdown(Shutdown::Write).is_err() {
            return ConnectionEnd::Reset;
        }
        reply(&self.stream).await
    }
}

/// Waits until the server's system has replied to the empty line and to the end of this side.
async fn reply(stream: &TcpStream) -> ConnectionEnd {
    let socket = SockRef::from(stream);
    let deadline = Instant::now() + REPLY_TIMEOUT;
    while Instant::now() < deadline {
        // Read before the reset, which ends the connection as well.
        let is_over = stream.peer_addr().is_err();
        if reset(&socket).is_ok() {
            return ConnectionEnd::Closed;
        }
        if is_over {
            return ConnectionEnd::HalfOpen;
        }
        let reset = stream.async_io(Interest::ERROR, || reset(&socket));
        if timeout(STATE_INTERVAL, reset).await.is_ok() {
            return ConnectionEnd::Closed;
        }
    }
    ConnectionEnd::Unknown
}

/// Succeeds if the connection has been reset since this was last asked.
fn reset(socket: &SockRef) -> io::Result<()> {
    match socket.take_error() {
        Ok(None) => Err(io::ErrorKind::WouldBlock.into()),
        Ok(Some(_)) | Err(_) => Ok(()),
    }
}

/// True if all has been sent, which waits while the server's buffer has no room.
fn is_sent(stream: &TcpStream) -> bool {
    // With this limit, a connection is writable only while there is no unsent byte.
    if let Err(error) = SockRef::from(stream).set_tcp_notsent_lowat(1) {
        log::debug!(error:% = error; "cannot set TCP_NOTSENT_LOWAT");
    }
    let mut fds = [PollFd::new(stream, PollFlags::OUT)];
    match poll(&mut fds, Some(&Timespec::default())) {
        Ok(_) => fds[0].revents().contains(PollFlags::OUT),
        Err(_) => false,
    }
}
