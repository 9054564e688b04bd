//! Start of a node.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use flamingolock_gateway::node;
use flamingolock_gateway::settings::Settings;
use flamingolock_platform::DIALECT;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn start_error(settings: Settings) -> String {
    let started = node::run(settings, &DIALECT, || Ok(()));
    started.expect_err("a port is taken").to_string()
}

#[test]
fn node_names_the_address_that_it_cannot_listen_on() {
    let taken = UdpSocket::bind(SocketAddr::from(ANY_PORT)).expect("a port is free");
    let address = taken.local_addr().expect("it is bound");
    let mut settings = common::settings();
    settings.gossip = address;
    let error = start_error(settings.clone());
    assert!(error.contains(&address.to_string()), "{error}");

    let taken = TcpListener::bind(SocketAddr::from(ANY_PORT)).expect("a port is free");
    let address = taken.local_addr().expect("it is bound");
    settings.gossip = ANY_PORT.into();
    settings.callers = address;
    let error = start_error(settings);
    assert!(error.contains(&address.to_string()), "{error}");
}
