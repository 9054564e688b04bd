//! Framing: round trips, size limits and invalid input.

use bytes::{Bytes, BytesMut};
use flamingolock_core::prelude::*;
use flamingolock_wire::codec::{CodecError, LENGTH_BYTES, MAX_FRAME_BYTES, PeerCodec};
use flamingolock_wire::convert::{block_hashes, hash_values, millis_u32, prefix_chain};
use flamingolock_wire::message::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn report(name: String, incarnation: u64, counter: u32, standing: i32) -> MemberReport {
    MemberReport {
        instance: name,
        incarnation,
        counter,
        standing,
    }
}

fn heartbeat() -> impl Strategy<Value = Payload> {
    let reports =
        prop::collection::vec(("[a-z0-9-]{0,20}", any::<u64>(), any::<u32>(), 0..4), 0..6);
    (
        any::<u64>(),
        any::<u32>(),
        any::<bool>(),
        any::<u64>(),
        reports,
    )
        .prop_map(|(incarnation, counter, leaving, digest, reports)| {
            let reports = reports
                .into_iter()
                .map(|(name, incarnation, counter, standing)| {
                    report(name, incarnation, counter, standing)
                })
                .collect();
            Payload::Heartbeat(Heartbeat {
                incarnation,
                counter,
                leaving,
                digest,
                control_offset: digest / 2,
                claims_offset: incarnation / 2,
                reports,
                wants_answer: !leaving,
                check: String::new(),
            })
        })
}

fn probes() -> impl Strategy<Value = Payload> {
    let probe = (
        any::<u32>(),
        "\\PC{0,20}",
        prop::collection::vec(any::<u64>(), 0..40),
    );
    prop::collection::vec(probe, 0..5).prop_map(|probes| {
        let probes = probes
            .into_iter()
            .map(|(id, engine, blocks)| Probe {
                id,
                engine,
                workspace: "qasr".to_owned(),
                priority: id % 7,
                tokens: id / 3,
                lengths: blocks.iter().map(|block| *block as u32).collect(),
                blocks,
                cost: id / 2,
            })
            .collect();
        Payload::ProbeBatch(ProbeBatch { probes })
    })
}

fn records() -> impl Strategy<Value = Payload> {
    let record = (
        any::<u64>(),
        "\\PC{0,30}",
        prop::collection::vec(any::<u8>(), 0..200),
    );
    (any::<u64>(), prop::collection::vec(record, 0..10)).prop_map(|(first, records)| {
        let records = records
            .into_iter()
            .map(|(offset, id, body)| LogRecord {
                offset,
                id,
                time_ms: offset / 7,
                body: Bytes::from(body),
            })
            .collect();
        Payload::Records(Records {
            stream: "control".to_owned(),
            first,
            records,
        })
    })
}

fn calls() -> impl Strategy<Value = Payload> {
    (
        any::<u32>(),
        "\\PC{0,30}",
        prop::collection::vec(any::<u8>(), 0..300),
        0..3,
    )
        .prop_map(|(status, call, body, outcome)| {
            Payload::CallAnswer(CallAnswer {
                call,
                status,
                headers: vec![Header {
                    name: "x-call-id".to_owned(),
                    value: Bytes::from(body.clone()),
                }],
                body: Bytes::from(body),
                outcome,
                refused: status % 2 == 0,
            })
        })
}

fn frame() -> impl Strategy<Value = PeerFrame> {
    let payload = prop_oneof![heartbeat(), probes(), records(), calls()];
    (any::<bool>(), prop::option::of(payload))
        .prop_map(|(leaving, payload)| PeerFrame { leaving, payload })
}

fn encoded(frames: &[PeerFrame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        PeerCodec::new().encode(frame, &mut bytes).unwrap();
    }
    bytes
}

/// Feeds `bytes` to a codec in chunks of `piece` bytes and returns the decoded frames.
fn decode_pieces(bytes: &[u8], piece: usize) -> Result<Vec<PeerFrame>, CodecError> {
    let mut codec = PeerCodec::new();
    let mut buffer = BytesMut::new();
    let mut frames = Vec::new();
    for part in bytes.chunks(piece.max(1)) {
        buffer.extend_from_slice(part);
        while let Some(frame) = codec.decode(&mut buffer)? {
            frames.push(frame);
        }
    }
    while let Some(frame) = codec.decode_eof(&mut buffer)? {
        frames.push(frame);
    }
    Ok(frames)
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn frames_round_trip_with_any_segmentation(frames in prop::collection::vec(frame(), 0..5), piece in 1usize..70) {
        let bytes = encoded(&frames);
        prop_assert_eq!(decode_pieces(&bytes, piece).unwrap(), frames);
    }

    #[test]
    fn an_incomplete_frame_is_reported_as_truncated(frame in frame(), cut in any::<prop::sample::Index>(), piece in 1usize..70) {
        let bytes = encoded(std::slice::from_ref(&frame));
        let cut = cut.index(bytes.len());
        let result = decode_pieces(&bytes[..cut], piece);
        if cut == 0 {
            prop_assert_eq!(result.unwrap(), vec![]);
        } else {
            prop_assert!(matches!(result, Err(CodecError::Truncated)), "{:?}", result);
        }
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), piece in 1usize..70) {
        let _ = decode_pieces(&bytes, piece);
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let _ = decode_pieces(&framed, piece);
    }

    #[test]
    fn hashes_round_trip(values in prop::collection::vec(any::<u64>(), 0..50)) {
        let chain = prefix_chain(&values, 7);
        prop_assert_eq!(hash_values(&chain.blocks), values.clone());
        prop_assert_eq!(chain.blocks, block_hashes(&values));
    }
}

#[test]
fn a_frame_above_the_limit_is_refused_on_both_sides() {
    let body = |bytes: usize| {
        PeerFrame::from(Payload::Snapshot(Snapshot {
            stream: "control".to_owned(),
            offset: 1,
            part: 0,
            parts: 1,
            bytes: Bytes::from(vec![7; bytes]),
        }))
    };
    let mut bytes = BytesMut::new();
    let result = PeerCodec::new().encode(&body(MAX_FRAME_BYTES), &mut bytes);
    assert!(matches!(result, Err(CodecError::TooLarge)), "{result:?}");
    assert!(bytes.is_empty(), "a refused frame writes no bytes");

    let fits = body(MAX_FRAME_BYTES - 100);
    let bytes = encoded(std::slice::from_ref(&fits));
    assert_eq!(decode_pieces(&bytes, 4096).unwrap(), vec![fits]);

    let length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let result = decode_pieces(&length, LENGTH_BYTES);
    assert!(matches!(result, Err(CodecError::TooLarge)), "{result:?}");
}

#[test]
fn a_valid_length_with_an_invalid_message_is_malformed() {
    let result = decode_pieces(&[0, 0, 0, 2, 0x12, 0x7f], 6);
    assert!(
        matches!(result, Err(CodecError::Malformed(_))),
        "{result:?}"
    );
}

#[test]
fn an_unknown_payload_or_field_is_ignored() {
    // Field 900 with one byte of content, as a newer version of the protocol might send.
    let unknown = [0xa2, 0x38, 0x01, 0x00];
    let mut bytes =
        PeerFrame::from(Payload::InstancesRequest(InstancesRequest::default())).encode_to_vec();
    bytes.extend_from_slice(&unknown);
    let frame = PeerFrame::decode(&bytes[..]).unwrap();
    assert!(matches!(frame.payload, Some(Payload::InstancesRequest(_))));

    let frame = PeerFrame::decode(&unknown[..]).unwrap();
    assert_eq!(frame, PeerFrame::default());
}

#[test]
fn an_unknown_enumeration_value_decodes_as_the_default() {
    let answer = CallAnswer {
        outcome: 77,
        ..CallAnswer::default()
    };
    assert_eq!(answer.outcome(), CallOutcome::Unknown);
    let refuse = PermitRefuse {
        reason: 77,
        ..PermitRefuse::default()
    };
    assert_eq!(refuse.reason(), RefusalReason::Unspecified);
}

#[test]
fn field_numbers_are_stable() {
    let probe = Probe {
        id: 1,
        engine: "e".to_owned(),
        workspace: "w".to_owned(),
        priority: 2,
        tokens: 3,
        blocks: vec![4],
        lengths: vec![5],
        cost: 6,
    };
    let batch = Payload::ProbeBatch(ProbeBatch {
        probes: vec![probe],
    });
    let frame = PeerFrame {
        leaving: true,
        payload: Some(batch),
    };
    let expected = [
        &[0x08, 1][..],            // leaving
        &[0x22, 29, 0x0a, 27],     // batch with one probe
        &[0x08, 1, 0x12, 1, b'e'], // id and engine
        &[0x1a, 1, b'w', 0x20, 2], // workspace and priority
        &[0x28, 3],                // tokens
        &[0x32, 8, 4, 0, 0, 0, 0, 0, 0, 0],
        &[0x3a, 1, 5, 0x40, 6], // lengths and cost
    ]
    .concat();
    assert_eq!(frame.encode_to_vec(), expected);
}

#[test]
fn long_durations_are_capped() {
    assert_eq!(millis_u32(Millis(5)), 5);
    assert_eq!(millis_u32(Millis(u64::MAX)), u32::MAX);
}
