//! The thread that runs the control state.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use common::settings;
use flamingolock_gateway::control::{self, Effect, Event};
use flamingolock_wire::gossip::{Gossip, NodeState, Run};
use flamingolock_wire::topic_copies::CopiesRequest;
use prost::Message;
use tokio::sync::{mpsc, oneshot};

/// Number of datagrams that wait, more than a node handles in a round.
const DATAGRAMS: usize = 50_000;

#[test]
fn flood_of_datagrams_does_not_put_off_what_is_due() {
    let (sender, mut effects) = mpsc::unbounded_channel();
    let dialect = &flamingolock_platform::DIALECT;
    let handle = control::start(settings(), dialect, Arc::default(), sender).expect("a thread");
    let sender = NodeState {
        incarnation: 9,
        callers: "10.0.0.9:80".to_owned(),
        ..NodeState::default()
    };
    let gossip = Gossip {
        sender: Some(sender),
        runs: vec![Run::default(); 24],
        ..Gossip::default()
    };
    let bytes = Bytes::from(gossip.encode_to_vec());
    let from = SocketAddr::from(([10, 0, 0, 9], 7_000));
    // The store came back from a copy, so that the node has to register again.
    handle.send(Event::StoreEra(1));
    handle.send(Event::StoreEra(2));
    for _ in 0..DATAGRAMS {
        handle.send(Event::Datagram(from, bytes.clone()));
    }
    let (reply, mut last) = oneshot::channel();
    handle.send(Event::PeerSyncRequested(CopiesRequest::default(), reply));
    let registers = |effect| matches!(effect, Effect::Register);
    while !registers(effects.blocking_recv().expect("an effect")) {}
    assert!(last.try_recv().is_err(), "handled all before the next tick");
}
