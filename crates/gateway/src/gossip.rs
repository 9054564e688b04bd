//! Datagrams to and from other nodes, and execution of the control thread's effects.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::control::{Effect, Event, FollowedTopic, Handle, ReadRequest};
use crate::exchange::ProxyContext;
use crate::metrics::{DatagramStep, Metrics};
use crate::settings::Settings;
use crate::{link_probe, orders, peer_sync, store};

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Opens the UDP socket for datagrams.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}

/// Passes received datagrams to the control thread.
pub async fn receive(socket: Arc<UdpSocket>, handle: Handle, metrics: Arc<Metrics>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                metrics.count_datagrams(DatagramStep::Received, 1, length);
                let bytes = Bytes::copy_from_slice(&buffer[..length]);
                handle.send(Event::Datagram(from, bytes));
            }
            // The error is about an earlier datagram that was sent to a closed port;
            // receiving can continue.
            Err(error) => log::debug!(error:% = error; "error while receiving a datagram"),
        }
    }
}

fn send_datagram(socket: &UdpSocket, addresses: &[SocketAddr], bytes: &[u8], metrics: &Metrics) {
    let mut sent = 0;
    for address in addresses {
        // A send error is only logged, as datagrams may be lost in any case.
        match socket.try_send_to(bytes, *address) {
            Ok(_) => sent += 1,
            Err(error) => {
                log::debug!(address:% = address, error:% = error; "failed to send a datagram");
            }
        }
    }
    let not_sent = addresses.len() as u64 - sent;
    metrics.count_datagrams(DatagramStep::Sent, sent, bytes.len());
    metrics.count_datagrams(DatagramStep::NotSent, not_sent, bytes.len());
}

/// Passes a request to read a topic on to the task that reads it.
fn request_read(
    request: ReadRequest,
    operator: &UnboundedSender<ReadRequest>,
    endpoints: &UnboundedSender<ReadRequest>,
) {
    let reads = match request.topic {
        FollowedTopic::Operator => operator,
        FollowedTopic::Endpoints => endpoints,
    };
    if reads.send(request).is_err() {
        log::error!(topic:? = request.topic; "no task reads the topic");
    }
}

/// Executes the effects that the control thread requests. The senders pass on
/// requests to read the operator's records and the endpoints' entries, and to register
/// the node again.
pub async fn run_effects(
    socket: Arc<UdpSocket>,
    settings: Settings,
    context: ProxyContext,
    [operator, endpoints]: [UnboundedSender<ReadRequest>; 2],
    registrations: UnboundedSender<()>,
    mut effects: UnboundedReceiver<Effect>,
) {
    let ProxyContext {
        handle,
        dialect,
        pool,
        metrics,
        ..
    } = context;
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::SendDatagram(addresses, bytes) => {
                send_datagram(&socket, &addresses, &bytes, &metrics);
            }
            Effect::ReadTopic(request) => request_read(request, &operator, &endpoints),
            Effect::FetchCopies(fetch) => {
                tokio::spawn(peer_sync::fetch_from_any(handle.clone(), dialect, fetch));
            }
            Effect::Register => {
                if registrations.send(()).is_err() {
                    log::error!("no task registers the node");
                }
            }
            Effect::LeaseRead(from) => {
                tokio::spawn(store::read_lease(
                    settings.clone(),
                    dialect,
                    handle.clone(),
                    from,
                ));
            }
            Effect::LeaseAppend(at) => {
                tokio::spawn(store::append_lease(
                    settings.clone(),
                    dialect,
                    handle.clone(),
                    at,
                ));
            }
            Effect::RecordBuilds(history) => {
                tokio::spawn(store::replace_record(
                    settings.clone(),
                    dialect,
                    handle.clone(),
                    dialect.topics.builds,
                    history.encode_to_vec(),
                    Event::BuildsRecorded,
                ));
            }
            Effect::RecordStreams(streams) => {
                tokio::spawn(store::append_record(
                    settings.clone(),
                    dialect,
                    handle.clone(),
                    dialect.topics.streams,
                    streams.encode_to_vec(),
                    Event::StreamsRecorded,
                ));
            }
            Effect::RecordSuspects(parts) => {
                tokio::spawn(store::replace_record(
                    settings.clone(),
                    dialect,
                    handle.clone(),
                    dialect.topics.suspects,
                    parts.encode_to_vec(),
                    Event::SuspectsRecorded,
                ));
            }
            Effect::SendOrder(order) => {
                tokio::spawn(orders::send_order(dialect, handle.clone(), order));
            }
            Effect::ProbeEndpoint(endpoint, max_idle) => {
                tokio::spawn(link_probe::probe(
                    handle.clone(),
                    pool.clone(),
                    endpoint,
                    max_idle,
                ));
            }
            Effect::ListCache(address, endpoint) => {
                tokio::spawn(orders::fetch_cached_parts(
                    dialect,
                    handle.clone(),
                    address,
                    endpoint,
                ));
            }
            Effect::RequestReport(engine) => {
                tokio::spawn(orders::fetch_report(dialect, handle.clone(), engine));
            }
            Effect::AskLeaving(endpoint) => {
                tokio::spawn(orders::ask_leaving(dialect, handle.clone(), endpoint));
            }
        }
    }
}
