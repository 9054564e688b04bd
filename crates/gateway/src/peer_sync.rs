//! Transfer of topic copies to nodes that cannot read the store: a node connects to
//! another one and receives its copies of the topics in one frame.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_wire::topic_copies::TopicCopies;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::seq::SliceRandom;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::control::{Event, Handle};
use crate::server;

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for a transfer; for the receiving node it includes the connect.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum frame size in bytes; the same as the limit on a response of the store.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

fn frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Sends this node's copies of the topics to every node that connects.
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
                log::info!(result:? = sent; "failed to send the topic copies to another node");
            }
        });
    }
}

/// Asks the nodes in random order until one returns its copies of the topics.
pub async fn fetch_from_any(handle: Handle, mut nodes: Vec<SocketAddr>) {
    nodes.shuffle(&mut rand::rng());
    for node in nodes {
        match timeout(TRANSFER_TIMEOUT, fetch(node)).await {
            Ok(Ok(knowledge)) => {
                log::info!(node:% = node, records = knowledge.operator.len(), endpoints = knowledge.endpoints.len(),
                    age_ms = knowledge.endpoints_age_ms; "received the topic copies of another node");
                handle.send(Event::PeerSyncReceived(Box::new(knowledge)));
                return;
            }
            Ok(Err(error)) => {
                log::info!(node:% = node, error:% = error; "failed to fetch the topic copies of a node");
            }
            Err(_) => log::info!(node:% = node; "timed out fetching the topic copies of a node"),
        }
    }
}

async fn fetch(node: SocketAddr) -> std::io::Result<TopicCopies> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(node)).await??;
    match frames(stream).next().await {
        Some(frame) => Ok(TopicCopies::decode(frame?)?),
        None => Err(std::io::ErrorKind::UnexpectedEof.into()),
    }
}
