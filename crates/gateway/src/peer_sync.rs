//! Teaching nodes that cannot read the store: a node connects to another one and
//! gets its copies of the topics as one frame.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_wire::knowledge::Knowledge;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::seq::SliceRandom;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::control::{Event, Handle};
use crate::server;

/// Longest time to connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for one node to teach another.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest frame in bytes: as much as the store gives in one answer.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

fn frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Teaches whoever connects.
pub async fn serve(listener: TcpListener, handle: Handle) {
    loop {
        let stream = server::accept(&listener).await;
        let handle = handle.clone();
        tokio::spawn(async move {
            let (reply, answer) = oneshot::channel();
            handle.send(Event::PeerSyncRequested(reply));
            let Ok(knowledge) = answer.await else { return };
            let frame = Bytes::from(knowledge.encode_to_vec());
            let sent = timeout(TRANSFER_TIMEOUT, frames(stream).send(frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                log::info!(result:? = sent; "another node was not taught");
            }
        });
    }
}

/// Asks nodes in random order until one teaches.
pub async fn fetch_from_any(handle: Handle, mut nodes: Vec<SocketAddr>) {
    nodes.shuffle(&mut rand::rng());
    for node in nodes {
        match timeout(TRANSFER_TIMEOUT, fetch(node)).await {
            Ok(Ok(knowledge)) => {
                log::info!(node:% = node, records = knowledge.operator.len(), endpoints = knowledge.endpoints.len(),
                    age_ms = knowledge.endpoints_age_ms; "taught by another node");
                handle.send(Event::PeerSyncReceived(Box::new(knowledge)));
                return;
            }
            Ok(Err(error)) => log::info!(node:% = node, error:% = error; "not taught by this node"),
            Err(_) => log::info!(node:% = node; "not taught by this node in time"),
        }
    }
}

async fn fetch(node: SocketAddr) -> std::io::Result<Knowledge> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(node)).await??;
    match frames(stream).next().await {
        Some(frame) => Ok(Knowledge::decode(frame?)?),
        None => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}
