//! Round trips between core types and messages, and rejection of invalid messages.

use bytes::Bytes;
use flamingolock_core::heartbeat;
use flamingolock_core::members::{Instance, MemberState, Report, Standing};
use flamingolock_core::prelude::*;
use flamingolock_core::tail::Record;
use flamingolock_wire::convert::{
    ConversionError, Offsets, heartbeat_from_message, heartbeat_message,
};
use flamingolock_wire::message::{InstanceRow, LogRecord, MemberReport, Snapshot};
use flamingolock_wire::snapshot::{MAX_PARTS, PART_BYTES, SnapshotAssembler, split};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn state(standing: Standing) -> impl Strategy<Value = MemberState> {
    (any::<u64>(), any::<u32>()).prop_map(move |(incarnation, counter)| MemberState {
        incarnation: Incarnation(incarnation),
        counter,
        standing,
    })
}

fn any_standing() -> impl Strategy<Value = Standing> {
    prop::sample::select(vec![Standing::Live, Standing::Suspected, Standing::Leaving])
}

fn report() -> impl Strategy<Value = Report> {
    ("[a-z0-9-]{1,20}", any_standing().prop_flat_map(state)).prop_map(|(name, state)| Report {
        instance: name.into(),
        state,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn heartbeats_round_trip(
        leaving in any::<bool>(),
        own in state(Standing::Live),
        digest in any::<u64>(),
        reports in prop::collection::vec(report(), 0..5),
        wants_answer in any::<bool>(),
        check in prop::option::of("[a-z]{1,9}"),
        control in any::<u64>(),
        claims in any::<u64>(),
    ) {
        let standing = if leaving { Standing::Leaving } else { Standing::Live };
        let sent = heartbeat::Heartbeat {
            state: MemberState { standing, ..own },
            digest,
            reports,
            wants_answer,
            check: check.map(Into::into),
        };
        let offsets = Offsets { control: Offset(control), claims: Offset(claims) };
        let message = heartbeat_message(&sent, offsets);
        prop_assert_eq!(heartbeat_from_message(message), (sent, offsets));
    }

    #[test]
    fn records_round_trip(offset in any::<u64>(), time in any::<u64>(), id in "\\PC*", body in "\\PC*") {
        let record = Record {
            offset: Offset(offset),
            time: Millis(time),
            id: id.into(),
            body: body.into(),
        };
        let message = LogRecord::from(&record);
        prop_assert_eq!(Record::try_from(message).unwrap(), record);
    }

    #[test]
    fn snapshots_round_trip(length in 0usize..(3 * PART_BYTES), offset in any::<u64>()) {
        let bytes: Bytes = (0..length).map(|index| (index / 7) as u8).collect();
        let mut assembler = SnapshotAssembler::default();
        let parts = split("control", Offset(offset), &bytes);
        let (last, first) = parts.split_last().unwrap();
        for part in first {
            prop_assert_eq!(assembler.push(part), None);
        }
        prop_assert_eq!(assembler.push(last), Some((Offset(offset), bytes)));
    }
}

#[test]
fn an_unknown_standing_decodes_as_live() {
    let message = MemberReport {
        instance: "a".to_owned(),
        incarnation: 1,
        counter: 2,
        standing: 99,
    };
    assert_eq!(Report::from(message).state.standing, Standing::Live);
}

#[test]
fn instance_rows_round_trip_and_invalid_ones_are_rejected() {
    let instance = Instance {
        name: "node-1".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        peer_address: "[fd00::1]:81".parse().unwrap(),
        zone: "a".into(),
        leaving: true,
    };
    let row = InstanceRow::from(&instance);
    assert_eq!(Instance::try_from(row.clone()).unwrap(), instance);
    let bad = InstanceRow {
        peer_address: "node-1".to_owned(),
        ..row
    };
    let result = Instance::try_from(bad);
    assert!(
        matches!(result, Err(ConversionError::Address(_))),
        "{result:?}"
    );
    let binary = LogRecord {
        body: Bytes::from_static(&[0xff]),
        ..LogRecord::default()
    };
    let result = Record::try_from(binary);
    assert!(
        matches!(result, Err(ConversionError::NotText(_))),
        "{result:?}"
    );
}

#[test]
fn parts_out_of_order_give_no_snapshot() {
    let bytes = Bytes::from(vec![1; 3 * PART_BYTES]);
    let parts = split("control", Offset(7), &bytes);
    let mut assembler = SnapshotAssembler::default();
    for index in [0, 2, 1, 2] {
        assert_eq!(assembler.push(&parts[index]), None);
    }
    // Parts of different snapshots are not combined.
    let newer = split("control", Offset(8), &bytes);
    assert_eq!(assembler.push(&parts[0]), None);
    assert_eq!(assembler.push(&newer[1]), None);
    assert_eq!(assembler.push(&parts[2]), None);
    // Part 0 starts a new snapshot at any time.
    assert_eq!(assembler.push(&newer[0]), None);
    assert_eq!(assembler.push(&newer[1]), None);
    assert_eq!(assembler.push(&newer[2]), Some((Offset(8), bytes)));
}

#[test]
fn a_snapshot_of_too_many_or_too_long_parts_is_refused() {
    let part = |part, parts, length| Snapshot {
        stream: "control".to_owned(),
        offset: 1,
        part,
        parts,
        bytes: Bytes::from(vec![1; length]),
    };
    let mut assembler = SnapshotAssembler::default();
    let whole = (0..MAX_PARTS).filter_map(|index| assembler.push(&part(index, MAX_PARTS, 1)));
    assert_eq!(whole.count(), 1);
    let count = MAX_PARTS + 1;
    let whole = (0..count).filter_map(|index| assembler.push(&part(index, count, 1)));
    assert_eq!(whole.count(), 0);
    assert_eq!(assembler.push(&part(0, 1, PART_BYTES + 1)), None);
    assert_eq!(assembler.push(&part(0, 0, 1)), None);
}
