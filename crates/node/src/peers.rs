//! Connections to other nodes.
//!
//! Each node sends messages to a peer on a connection that it opens itself, and
//! receives messages on the connections that peers open. A message that cannot be
//! delivered immediately is dropped: the controllers repeat every message that must
//! arrive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use flamingolock_core::permit::EntryRef;
use flamingolock_core::prelude::*;
use flamingolock_wire::codec::PeerCodec;
use flamingolock_wire::handshake::{FleetKey, HandshakeError, Identity, Peer, Role, handshake};
use flamingolock_wire::message::{Payload, PeerFrame};
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::control::Event;

/// Timeout for connecting and for the handshake.
const CONNECT_MS: u64 = 1_000;

/// Time limit for a replaced connection to write its queued messages.
const FLUSH_TIMEOUT_MS: u64 = 1_000;

/// Capacity of the queue of messages to one peer.
const QUEUE_CAPACITY: usize = 4_096;

/// Largest number of messages per flush.
const MAX_BATCH: usize = 64;

/// Delay after a failed accept, which in most cases means too many open files.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Reason why a connection to or from a peer failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be established.
    #[error("connecting: {0}")]
    Connect(#[from] std::io::Error),
    /// The handshake failed.
    #[error("handshake: {0}")]
    Handshake(#[from] HandshakeError),
    /// The handshake did not complete in time.
    #[error("no handshake within {CONNECT_MS} ms")]
    Timeout,
    /// The address belongs to another node.
    #[error("expected node `{expected}`, found `{found}`")]
    UnexpectedNode {
        /// Name of the expected node.
        expected: InstanceId,
        /// Name of the node at the address.
        found: InstanceId,
    },
}

/// Commands of the control thread.
#[derive(Clone, Debug)]
pub enum PeerCommand {
    /// Sends a message.
    Send {
        /// Name of the peer.
        to: InstanceId,
        /// Message to send.
        frame: Box<PeerFrame>,
    },
    /// Replaces the addresses of the peers.
    Addresses(BTreeMap<InstanceId, SocketAddr>),
    /// Replaces the connection to a peer by a new one.
    Reconnect(InstanceId),
}

/// State of the connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// A new connection reached this incarnation of the peer.
    Up(Incarnation),
    /// A new connection could not be established.
    Failed,
    /// An open connection failed.
    Disconnected,
}

/// Sender of commands; cheap to clone.
pub type PeerSender = mpsc::UnboundedSender<PeerCommand>;

/// Identity and key that this node presents to its peers.
#[derive(Clone)]
pub struct LinkIdentity {
    /// Name and incarnation.
    pub identity: Identity,
    /// Shared key of the fleet.
    pub key: FleetKey,
}

/// Accepts connections of peers and reads their messages.
pub async fn accept(listener: TcpListener, me: Arc<LinkIdentity>, events: Sender<Event>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let (me, events) = (Arc::clone(&me), events.clone());
        tokio::spawn(async move {
            if let Err(error) = read_peer(stream, &me, &events).await {
                log::debug!("peer connection refused: {error}");
            }
        });
    }
}

async fn read_peer(
    mut stream: TcpStream,
    me: &LinkIdentity,
    events: &Sender<Event>,
) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let pending_handshake = handshake(&mut stream, Role::Acceptor, &me.identity, &me.key);
    let peer = timeout(Duration::from_millis(CONNECT_MS), pending_handshake)
        .await
        .map_err(|_| LinkError::Timeout)??;
    let from = EntryRef {
        instance: peer.name,
        incarnation: peer.incarnation,
    };
    let mut frames = Framed::new(stream, PeerCodec::new());
    while let Some(frame) = frames.next().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                log::debug!("peer {}: {error}", from.instance);
                return Ok(());
            }
        };
        let event = Event::Peer {
            from: from.clone(),
            frame: Box::new(frame),
        };
        if events.send(event).is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// Learns the names of the nodes at the seed addresses, for a node that starts while
/// the platform's instance list is unavailable.
pub async fn contact_seeds(seeds: Vec<SocketAddr>, me: Arc<LinkIdentity>, events: Sender<Event>) {
    for address in seeds {
        match identify(address, &me).await {
            Ok(peer) if peer.name != me.identity.name => {
                let _ = events.send(Event::SeedFound {
                    name: peer.name,
                    address,
                });
            }
            Ok(_) => {}
            Err(error) => log::info!("seed {address}: {error}"),
        }
    }
}

async fn identify(address: SocketAddr, me: &LinkIdentity) -> Result<Peer, LinkError> {
    let connecting = async {
        let mut stream = TcpStream::connect(address).await?;
        Ok(handshake(&mut stream, Role::Dialer, &me.identity, &me.key).await?)
    };
    timeout(Duration::from_millis(CONNECT_MS), connecting)
        .await
        .map_err(|_| LinkError::Timeout)?
}

/// Executes commands until the control thread drops its sender.
pub async fn run(
    mut commands: mpsc::UnboundedReceiver<PeerCommand>,
    me: Arc<LinkIdentity>,
    events: Sender<Event>,
) {
    let mut links: BTreeMap<InstanceId, Link> = BTreeMap::new();
    let mut addresses: BTreeMap<InstanceId, SocketAddr> = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::Addresses(updated) => {
                links.retain(|name, link| updated.get(name) == Some(&link.address));
                addresses = updated;
            }
            PeerCommand::Reconnect(to) => {
                if let Some(link) = links.remove(&to) {
                    link.flush_and_close();
                }
                if let Some(address) = addresses.get(&to) {
                    let link = Link::open(&to, *address, Arc::clone(&me), events.clone());
                    links.insert(to, link);
                }
            }
            PeerCommand::Send { to, frame } => {
                let Some(address) = addresses.get(&to) else {
                    continue;
                };
                let link = links
                    .entry(to.clone())
                    .or_insert_with(|| Link::open(&to, *address, Arc::clone(&me), events.clone()));
                // A full queue means that the peer does not read: the message is
                // dropped.
                let _ = link.queue.try_send(*frame);
            }
        }
    }
}

/// A connection to one peer, reestablished when it fails. Dropping it closes the
/// connection immediately.
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<PeerFrame>,
    task: AbortOnDrop,
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    /// Writes the queued messages, within a time limit, and closes the connection. A
    /// forwarded call must not be lost because a new connection is tried.
    fn flush_and_close(self) {
        let Link {
            queue, mut task, ..
        } = self;
        drop(queue);
        tokio::spawn(async move {
            let _ = timeout(Duration::from_millis(FLUSH_TIMEOUT_MS), &mut task.0).await;
        });
    }

    fn open(
        to: &InstanceId,
        address: SocketAddr,
        me: Arc<LinkIdentity>,
        events: Sender<Event>,
    ) -> Self {
        let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
        let task = tokio::spawn(maintain_connection(to.clone(), address, me, frames, events));
        Self {
            address,
            queue,
            task: AbortOnDrop(task),
        }
    }
}

/// Writes queued messages to the peer and reconnects after a failure. Messages that
/// are queued when a connection attempt fails are dropped.
async fn maintain_connection(
    to: InstanceId,
    address: SocketAddr,
    me: Arc<LinkIdentity>,
    mut frames: mpsc::Receiver<PeerFrame>,
    events: Sender<Event>,
) {
    let mut first = None;
    loop {
        let state = match connect(&to, address, &me).await {
            Ok((mut stream, incarnation)) => {
                let _ = events.send(Event::PeerLink {
                    to: to.clone(),
                    state: LinkState::Up(incarnation),
                });
                if write_all(&mut stream, &mut frames, first.take())
                    .await
                    .is_none()
                {
                    return;
                }
                LinkState::Disconnected
            }
            Err(error) => {
                log::debug!("peer {to} at {address}: {error}");
                LinkState::Failed
            }
        };
        let _ = events.send(Event::PeerLink {
            to: to.clone(),
            state,
        });
        if state == LinkState::Failed {
            while frames.try_recv().is_ok() {}
        }
        // The next message triggers the next connection attempt.
        first = frames.recv().await;
        if first.is_none() {
            return;
        }
    }
}

/// Writes messages until the connection fails. Returns `None` if the queue is closed.
async fn write_all(
    stream: &mut Framed<TcpStream, PeerCodec>,
    frames: &mut mpsc::Receiver<PeerFrame>,
    first: Option<PeerFrame>,
) -> Option<()> {
    if let Some(frame) = first
        && stream.send(&frame).await.is_err()
    {
        return Some(());
    }
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            // The peer never sends on this connection: any read result means that it closed.
            _ = stream.next() => return Some(()),
            count = frames.recv_many(&mut batch, MAX_BATCH) => {
                if count == 0 {
                    return None;
                }
            }
        }
        for frame in &batch {
            if stream.feed(frame).await.is_err() {
                return Some(());
            }
        }
        if SinkExt::<&PeerFrame>::flush(stream).await.is_err() {
            return Some(());
        }
    }
}

async fn connect(
    to: &InstanceId,
    address: SocketAddr,
    me: &LinkIdentity,
) -> Result<(Framed<TcpStream, PeerCodec>, Incarnation), LinkError> {
    let connecting = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let peer = handshake(&mut stream, Role::Dialer, &me.identity, &me.key).await?;
        if peer.name != *to {
            return Err(LinkError::UnexpectedNode {
                expected: to.clone(),
                found: peer.name,
            });
        }
        Ok((Framed::new(stream, PeerCodec::new()), peer.incarnation))
    };
    timeout(Duration::from_millis(CONNECT_MS), connecting)
        .await
        .map_err(|_| LinkError::Timeout)?
}

/// Builds a frame; `leaving` tells the peer that this node is shutting down.
pub fn frame(payload: Payload, leaving: bool) -> Box<PeerFrame> {
    Box::new(PeerFrame {
        leaving,
        payload: Some(payload),
    })
}
