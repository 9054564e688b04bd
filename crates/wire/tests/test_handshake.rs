//! Handshake: which peers are accepted, and what refused ones receive.

use std::time::Duration;

use flamingolock_core::ids::Incarnation;
use flamingolock_wire::codec::PeerCodec;
use flamingolock_wire::handshake::{
    FleetKey, HandshakeError, Identity, KeyTooShort, Refusal, Role, handshake,
};
use flamingolock_wire::message::{InstancesRequest, Payload, PeerFrame};
use futures_util::{SinkExt, StreamExt};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::timeout;
use tokio_util::codec::Framed;

fn key(byte: u8) -> FleetKey {
    FleetKey::new(&[byte; 32]).unwrap()
}

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        incarnation: Incarnation(7),
    }
}

/// Copies data in both directions between two streams and returns what the dialer sent.
async fn relay(dialer: DuplexStream, acceptor: DuplexStream) -> Vec<u8> {
    let (mut from_dialer, mut to_dialer) = tokio::io::split(dialer);
    let (mut from_acceptor, mut to_acceptor) = tokio::io::split(acceptor);
    let back = tokio::spawn(async move {
        tokio::io::copy(&mut from_acceptor, &mut to_dialer)
            .await
            .ok();
        to_dialer.shutdown().await.ok();
    });
    let mut sent = Vec::new();
    let mut piece = [0; 1024];
    while let Ok(count) = from_dialer.read(&mut piece).await {
        if count == 0 || to_acceptor.write_all(&piece[..count]).await.is_err() {
            break;
        }
        sent.extend_from_slice(&piece[..count]);
    }
    to_acceptor.shutdown().await.ok();
    back.await.unwrap();
    sent
}

/// Runs an acceptor on input that was written before it started. Returns its error and
/// the bytes that it sent.
async fn accept_bytes(bytes: &[u8]) -> (HandshakeError, Vec<u8>) {
    let (mut client, mut acceptor) = duplex(64 * 1024);
    client.write_all(bytes).await.unwrap();
    client.shutdown().await.unwrap();
    let (name, secret) = (identity("b"), key(1));
    let error = handshake(&mut acceptor, Role::Acceptor, &name, &secret)
        .await
        .unwrap_err();
    drop(acceptor);
    let mut reply = Vec::new();
    client.read_to_end(&mut reply).await.unwrap();
    (error, reply)
}

#[tokio::test]
async fn both_sides_learn_the_other_and_frames_follow() {
    let (mut left, mut right) = duplex(64 * 1024);
    let (a, b, secret) = (identity("a"), identity("b"), key(1));
    let (dialed, accepted) = tokio::join!(
        handshake(&mut left, Role::Dialer, &a, &secret),
        handshake(&mut right, Role::Acceptor, &b, &secret),
    );
    let (dialed, accepted) = (dialed.unwrap(), accepted.unwrap());
    assert_eq!(
        (dialed.name.as_str(), dialed.incarnation),
        ("b", Incarnation(7))
    );
    assert_eq!(
        (accepted.name.as_str(), accepted.incarnation),
        ("a", Incarnation(7))
    );

    let mut left = Framed::new(left, PeerCodec::new());
    let mut right = Framed::new(right, PeerCodec::new());
    let frame = PeerFrame::from(Payload::InstancesRequest(InstancesRequest::default()));
    left.send(frame.clone()).await.unwrap();
    assert_eq!(right.next().await.unwrap().unwrap(), frame);
}

#[tokio::test]
async fn another_key_is_refused_and_both_sides_know_why() {
    let (mut left, mut right) = duplex(64 * 1024);
    let (a, b) = (identity("a"), identity("b"));
    let (ours, theirs) = (key(1), key(2));
    let (dialed, accepted) = tokio::join!(
        handshake(&mut left, Role::Dialer, &a, &ours),
        handshake(&mut right, Role::Acceptor, &b, &theirs),
    );
    assert!(
        matches!(dialed, Err(HandshakeError::WrongKey)),
        "{dialed:?}"
    );
    assert!(
        matches!(accepted, Err(HandshakeError::Refused(Refusal::WrongKey))),
        "{accepted:?}"
    );
}

#[tokio::test]
async fn a_replayed_handshake_is_refused() {
    let (mut left, first) = duplex(64 * 1024);
    let (second, mut right) = duplex(64 * 1024);
    let (a, b, secret) = (identity("a"), identity("b"), key(1));
    let relay = tokio::spawn(relay(first, second));
    let (dialed, accepted) = tokio::join!(
        handshake(&mut left, Role::Dialer, &a, &secret),
        handshake(&mut right, Role::Acceptor, &b, &secret),
    );
    dialed.unwrap();
    accepted.unwrap();
    drop((left, right));
    let recorded = relay.await.unwrap();

    let (error, _) = accept_bytes(&recorded).await;
    assert!(matches!(error, HandshakeError::WrongKey), "{error:?}");
}

#[tokio::test]
async fn a_reflected_handshake_is_refused() {
    for role in [Role::Dialer, Role::Acceptor] {
        let (mut left, mirror) = duplex(64 * 1024);
        let mirror = tokio::spawn(async move {
            let (mut reader, mut writer) = tokio::io::split(mirror);
            tokio::io::copy(&mut reader, &mut writer).await.ok();
        });
        let (name, secret) = (identity("a"), key(1));
        let outcome = handshake(&mut left, role, &name, &secret);
        let error = timeout(Duration::from_secs(5), outcome)
            .await
            .expect("the reflection is detected without a timeout")
            .unwrap_err();
        assert!(matches!(error, HandshakeError::Reflected), "{error:?}");
        drop(left);
        mirror.await.unwrap();
    }
}

/// Guards against reflection: a client without the key returns the acceptor's own proof.
#[tokio::test]
async fn an_echoed_proof_is_refused() {
    let (mut client, mut acceptor) = duplex(64 * 1024);
    let echo = tokio::spawn(async move {
        // A hello of version 1 with name "x" and a nonce of 32 bytes.
        let mut hello = vec![0, 0, 0, 41, 0x0a, 39, 0x08, 1, 0x12, 1, b'x', 0x22, 32];
        hello.extend_from_slice(&[5; 32]);
        client.write_all(&hello).await.unwrap();
        let length = client.read_u32().await.unwrap() as usize;
        let mut body = vec![0; length];
        client.read_exact(&mut body).await.unwrap();
        let mut proof = vec![0; 38];
        client.read_exact(&mut proof).await.unwrap();
        client.write_all(&proof).await.unwrap();
        client.read_u32().await.ok();
    });
    let (name, secret) = (identity("b"), key(1));
    let result = handshake(&mut acceptor, Role::Acceptor, &name, &secret).await;
    assert!(
        matches!(result, Err(HandshakeError::WrongKey)),
        "{result:?}"
    );
    drop(acceptor);
    echo.await.unwrap();
}

/// Guards against a relay between two acceptors with the same key, in which each one's
/// proof answers the other's challenge.
#[tokio::test]
async fn a_proof_of_one_role_is_invalid_for_the_other() {
    let (mut left, mut right) = duplex(64 * 1024);
    let (a, b, secret) = (identity("a"), identity("b"), key(1));
    let (first, second) = tokio::join!(
        handshake(&mut left, Role::Acceptor, &a, &secret),
        handshake(&mut right, Role::Acceptor, &b, &secret),
    );
    assert!(matches!(first, Err(HandshakeError::WrongKey)), "{first:?}");
    assert!(second.is_err(), "{second:?}");
}

#[tokio::test]
async fn a_version_mismatch_is_reported_to_both_sides() {
    // A hello of version 9 with name "x" and a nonce of 32 bytes.
    let mut hello = vec![0x08, 9, 0x12, 1, b'x', 0x22, 32];
    hello.extend_from_slice(&[5; 32]);
    let mut bytes = vec![0, 0, 0, hello.len() as u8 + 2, 0x0a, hello.len() as u8];
    bytes.extend_from_slice(&hello);
    let (error, reply) = accept_bytes(&bytes).await;
    assert!(
        matches!(error, HandshakeError::Version { theirs: 9 }),
        "{error:?}"
    );
    let refusal = [0, 0, 0, 2, 0x20, Refusal::Version as u8];
    assert!(reply.ends_with(&refusal), "{reply:?}");
}

#[tokio::test]
async fn bad_hellos_are_refused() {
    let (error, _) = accept_bytes(&[0, 0, 0x40, 0]).await;
    assert!(
        matches!(error, HandshakeError::TooLarge(0x4000)),
        "{error:?}"
    );

    let (error, _) = accept_bytes(&[0, 0, 0, 0]).await;
    assert!(matches!(error, HandshakeError::OutOfOrder), "{error:?}");

    let (error, _) = accept_bytes(&[0, 0, 0, 1, 0xff]).await;
    assert!(matches!(error, HandshakeError::Malformed(_)), "{error:?}");

    // Version 1, name "x", a nonce of one byte.
    let short = [0, 0, 0, 10, 0x0a, 8, 0x08, 1, 0x12, 1, b'x', 0x22, 1, 0];
    let (error, _) = accept_bytes(&short).await;
    assert!(matches!(error, HandshakeError::Nonce(1)), "{error:?}");

    let (error, _) = accept_bytes(&[]).await;
    assert!(matches!(error, HandshakeError::Io(_)), "{error:?}");
}

#[test]
fn a_short_key_is_refused_and_no_key_is_printed() {
    assert_eq!(FleetKey::new(&[0; 15]).unwrap_err(), KeyTooShort(15));
    assert_eq!(format!("{:?}", key(42)), "FleetKey(..)");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_are_never_accepted(bytes in prop::collection::vec(any::<u8>(), 0..200), framed in any::<bool>()) {
        let mut input = Vec::new();
        if framed {
            input.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        }
        input.extend_from_slice(&bytes);
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(accept_bytes(&input));
    }
}
