//! Transfer of topic copies between nodes: a node that lacks records connects to one
//! that has them, says which it has, and receives the others.
//!
//! Large values come compressed against the record of the same key that the asking node
//! has. The copies come as frames of limited size, so that a transfer may last as long as
//! it makes progress, however large it is and however slow the link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flamingolock_wire::topic_copies::{CopiesHead, CopiesRequest, TopicCopies};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::JoinError;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::clock::now;
use crate::control::{Event, Handle};
use crate::copies::{Copies, PackedValues, decode, encode};
use crate::dialect::{Dialect, KeyedRecord};

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a frame after which a transfer fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a whole transfer: the largest one at a tenth of the slowest link.
const WHOLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Size of the frames that carry the copies, in bytes.
const FRAME_BYTES: usize = 16 * 1024;

/// Maximum size of the copies in bytes; the same as the limit on a response of the store.
const MAX_COPIES_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of transfers that a node serves at the same time.
const MAX_TRANSFERS: usize = 8;

/// Maximum number of transfers in progress and waiting.
const MAX_WAITING: usize = 96;

/// Error of a transfer.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The connection failed or could not be opened.
    #[error("connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The other node stopped sending or reading.
    #[error("no progress")]
    Stalled,
    /// The transfer as a whole took too long.
    #[error("took too long")]
    TooLong,
    /// The other node serves as many transfers as it may.
    #[error("the node is busy")]
    Busy,
    /// The thread that compresses or restores a value failed.
    #[error("compression failed: {0}")]
    Compression(#[from] JoinError),
    /// The copies are larger than the limit, or their encoding is invalid.
    #[error("invalid copies: {0}")]
    Invalid(String),
}

impl From<prost::DecodeError> for TransferError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Invalid(error.to_string())
    }
}

/// A fetch of copies.
#[derive(Debug)]
pub struct Fetch {
    /// Control addresses of the nodes to ask in turn.
    pub sources: Vec<SocketAddr>,
    /// What to ask for.
    pub request: CopiesRequest,
    /// The records that the request names as known.
    pub bases: Vec<KeyedRecord>,
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Transfers to the nodes that ask for this node's copies of the topics, a few at a time.
#[derive(Clone, Debug)]
pub struct Transfers {
    handle: Handle,
    permits: Arc<Semaphore>,
    waiting: Arc<Semaphore>,
    packed: Arc<Mutex<PackedValues>>,
}

impl Transfers {
    /// State of a node without transfers.
    pub fn new(handle: Handle) -> Self {
        Self {
            handle,
            permits: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            waiting: Arc::new(Semaphore::new(MAX_WAITING)),
            packed: Arc::default(),
        }
    }

    /// Takes a place among the transfers in progress and waiting, if there is one.
    pub fn place(&self) -> Option<OwnedSemaphorePermit> {
        self.waiting.clone().try_acquire_owned().ok()
    }

    /// Serves one connection of another node; refuses it if it has no place.
    pub async fn serve(self, stream: TcpStream, place: Option<OwnedSemaphorePermit>) {
        let open = MAX_WAITING - self.waiting.available_permits();
        let started = Instant::now();
        let mut sent = 0;
        let stream = frames(stream);
        let result = match &place {
            Some(_) => {
                within_limit(async {
                    let _permit = self.permits.acquire_owned().await;
                    send_copies(stream, &self.handle, &self.packed, &mut sent).await
                })
                .await
            }
            None => refuse(stream).await,
        };
        let took_ms = started.elapsed().as_millis() as u64;
        match result {
            Ok(()) => {
                log::info!(bytes = sent, took_ms, open; "sent the topic copies to another node");
            }
            Err(error) => {
                log::info!(error:% = error, bytes = sent, took_ms, open; "failed to send the topic copies to another node");
            }
        }
    }
}

async fn within_limit<T>(
    transfer: impl Future<Output = Result<T, TransferError>>,
) -> Result<T, TransferError> {
    timeout(WHOLE_TIMEOUT, transfer)
        .await
        .unwrap_or(Err(TransferError::TooLong))
}

async fn send_copies(
    mut stream: Frames,
    handle: &Handle,
    packed: &Mutex<PackedValues>,
    sent: &mut usize,
) -> Result<(), TransferError> {
    let request = CopiesRequest::decode(next_frame(&mut stream).await?)?;
    let (reply, answer) = oneshot::channel();
    handle.send(Event::PeerSyncRequested(request, reply));
    let offer = answer.await.map_err(|_| TransferError::Stalled)?;
    let copies = encode(offer, packed).await?;
    let mut rest = Bytes::from(copies.encode_to_vec());
    let head = CopiesHead {
        bytes: rest.len() as u64,
        busy: false,
    };
    send_frame(&mut stream, head.encode_to_vec().into()).await?;
    while !rest.is_empty() {
        let frame = rest.split_to(rest.len().min(FRAME_BYTES));
        let length = frame.len();
        send_frame(&mut stream, frame).await?;
        *sent += length;
    }
    Ok(())
}

async fn refuse(mut stream: Frames) -> Result<(), TransferError> {
    let head = CopiesHead {
        bytes: 0,
        busy: true,
    };
    send_frame(&mut stream, head.encode_to_vec().into()).await?;
    Err(TransferError::Busy)
}

async fn send_frame(stream: &mut Frames, frame: Bytes) -> Result<(), TransferError> {
    match timeout(STALL_TIMEOUT, stream.send(frame)).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(TransferError::Stalled),
    }
}

/// Asks the nodes in turn until one returns its copies of the topics.
pub async fn fetch_from_any(handle: Handle, dialect: &'static Dialect, fetch: Fetch) {
    for node in &fetch.sources {
        let started = Instant::now();
        let mut received = 0;
        let result = within_limit(fetch_from(*node, dialect, &fetch, &mut received)).await;
        let took_ms = started.elapsed().as_millis() as u64;
        match result {
            Ok(copies) => {
                log::info!(node:% = node, records = copies.operator.len(), endpoints = copies.endpoints.len(),
                    age_ms = copies.endpoints_age, bytes = received, took_ms; "received the topic copies of another node");
                handle.send(Event::PeerSyncReceived(Box::new(copies)));
                return;
            }
            Err(error) => {
                log::info!(node:% = node, error:% = error, bytes = received, took_ms; "failed to fetch the topic copies of a node");
            }
        }
    }
    handle.send(Event::PeerSyncFailed);
}

/// Fetches the copies of one node and counts their bytes as they arrive.
async fn fetch_from(
    node: SocketAddr,
    dialect: &'static Dialect,
    fetch: &Fetch,
    received: &mut usize,
) -> Result<Copies, TransferError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(node)).await;
    let mut stream = frames(connected.map_err(|_| TransferError::Stalled)??);
    let requested_at = now();
    send_frame(&mut stream, fetch.request.encode_to_vec().into()).await?;
    let head = CopiesHead::decode(next_frame(&mut stream).await?)?;
    if head.busy {
        return Err(TransferError::Busy);
    }
    if head.bytes > MAX_COPIES_BYTES as u64 {
        return Err(TransferError::Invalid(format!("{} bytes", head.bytes)));
    }
    let mut bytes = BytesMut::new();
    while (bytes.len() as u64) < head.bytes {
        bytes.extend_from_slice(&next_frame(&mut stream).await?);
        *received = bytes.len();
    }
    let copies = TopicCopies::decode(bytes.freeze())?;
    decode(dialect, copies, &fetch.bases, requested_at).await
}

async fn next_frame(stream: &mut Frames) -> Result<BytesMut, TransferError> {
    match timeout(STALL_TIMEOUT, stream.next()).await {
        Ok(Some(frame)) => Ok(frame?),
        Ok(None) => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into()),
        Err(_) => Err(TransferError::Stalled),
    }
}
