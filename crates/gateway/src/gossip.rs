//! Datagrams to and from the other nodes, and other effects of the control thread.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::control::{Effect, Event, FollowedTopic, Handle};
use crate::dialect::Dialect;
use crate::settings::Settings;
use crate::{orders, peer_sync, store};

/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Opens the socket for datagrams.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    UdpSocket::bind(address).await.map(Arc::new)
}

/// Hands each datagram that arrives to the control thread.
pub async fn receive(socket: Arc<UdpSocket>, handle: Handle) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let bytes = Bytes::copy_from_slice(&buffer[..length]);
                handle.send(Event::Datagram(from, bytes));
            }
            // An earlier datagram met a closed port; the next one may arrive.
            Err(error) => log::debug!(error:% = error; "datagram not received"),
        }
    }
}

/// Carries out what the control thread wants. Two senders bring the wish to read
/// the operator's records and the endpoints' entries.
pub async fn run_effects(
    socket: Arc<UdpSocket>,
    settings: Settings,
    dialect: &'static Dialect,
    handle: Handle,
    [operator, endpoints]: [UnboundedSender<u64>; 2],
    mut effects: UnboundedReceiver<Effect>,
) {
    while let Some(effect) = effects.recv().await {
        match effect {
            Effect::SendDatagram(addresses, bytes) => {
                for address in addresses {
                    // Datagrams may be lost anyway.
                    if let Err(error) = socket.try_send_to(&bytes, address) {
                        log::debug!(address:% = address, error:% = error; "datagram not sent");
                    }
                }
            }
            Effect::ReadTopic(topic, wait_ms) => {
                let reads = match topic {
                    FollowedTopic::Operator => &operator,
                    FollowedTopic::Endpoints => &endpoints,
                };
                if reads.send(wait_ms).is_err() {
                    log::error!(topic:? = topic; "nobody reads the topic");
                }
            }
            Effect::SyncFromPeers(nodes) => {
                tokio::spawn(peer_sync::fetch_from_any(handle.clone(), nodes));
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
            Effect::SendOrder(order) => {
                tokio::spawn(orders::send_order(dialect, handle.clone(), order));
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
        }
    }
}
