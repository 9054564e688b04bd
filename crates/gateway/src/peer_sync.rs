//! Transfer of topic copies to nodes that cannot read the store: a node connects to
//! another one and receives its copies of the topics in one frame.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_wire::topic_copies::TopicCopies;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::seq::SliceRandom;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::InspectReader;

use crate::control::{Event, Handle};
use crate::server;

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for a transfer; for the receiving node it includes the connect.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum frame size in bytes; the same as the limit on a response of the store.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Sends this node's copies of the topics to every node that connects.
pub async fn serve(listener: TcpListener, handle: Handle) {
    let open = Arc::new(());
    loop {
        let stream = server::accept(&listener).await;
        let handle = handle.clone();
        let open = open.clone();
        tokio::spawn(async move {
            let (reply, answer) = oneshot::channel();
            handle.send(Event::PeerSyncRequested(reply));
            let Ok(knowledge) = answer.await else { return };
            let frame = Bytes::from(knowledge.encode_to_vec());
            let (bytes, started) = (frame.len(), Instant::now());
            let sent = timeout(
                TRANSFER_TIMEOUT,
                FramedWrite::new(stream, codec()).send(frame),
            )
            .await;
            let took_ms = started.elapsed().as_millis() as u64;
            // One reference is that of the loop.
            let open = Arc::strong_count(&open) - 1;
            match sent {
                Ok(Ok(())) => {
                    log::info!(bytes, took_ms, open; "sent the topic copies to another node");
                }
                _ => {
                    log::info!(result:? = sent, bytes, took_ms, open; "failed to send the topic copies to another node");
                }
            }
        });
    }
}

/// Asks the nodes in random order until one returns its copies of the topics.
pub async fn fetch_from_any(handle: Handle, mut nodes: Vec<SocketAddr>) {
    nodes.shuffle(&mut rand::rng());
    for node in nodes {
        let started = Instant::now();
        let mut received = 0;
        let result = timeout(TRANSFER_TIMEOUT, fetch(node, &mut received)).await;
        let took_ms = started.elapsed().as_millis() as u64;
        match result {
            Ok(Ok(knowledge)) => {
                log::info!(node:% = node, records = knowledge.operator.len(), endpoints = knowledge.endpoints.len(),
                    age_ms = knowledge.endpoints_age_ms, bytes = received, took_ms; "received the topic copies of another node");
                handle.send(Event::PeerSyncReceived(Box::new(knowledge)));
                return;
            }
            Ok(Err(error)) => {
                log::info!(node:% = node, error:% = error, bytes = received, took_ms; "failed to fetch the topic copies of a node");
            }
            Err(_) => {
                log::info!(node:% = node, bytes = received, took_ms; "timed out fetching the topic copies of a node");
            }
        }
    }
}

/// Fetches the copies of one node and counts their bytes as they arrive.
async fn fetch(node: SocketAddr, received: &mut usize) -> std::io::Result<TopicCopies> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(node)).await??;
    let counted = InspectReader::new(stream, |bytes| *received += bytes.len());
    match FramedRead::new(counted, codec()).next().await {
        Some(frame) => Ok(TopicCopies::decode(frame?)?),
        None => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}
