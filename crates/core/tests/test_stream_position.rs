//! Signed stream positions, which callers present to resume a stream.

use flamingolock_core::entry_token::FleetKeys;
use flamingolock_core::prelude::*;
use flamingolock_core::stream_position::{PositionError, StreamPosition};

fn keys(secret: &str) -> FleetKeys {
    FleetKeys::new(vec![secret.as_bytes().to_vec()]).expect("the key is long enough")
}

fn position() -> StreamPosition {
    StreamPosition {
        attempt: "01J0.2".to_owned(),
        engine: EngineId::from("engine~1"),
        incarnation: Incarnation(7),
        index: 41,
    }
}

#[test]
fn position_returns_to_its_own_workspace_only() {
    let keys = keys("a-fleet-key-of-enough-bytes");
    let owner = WorkspaceId::from("qasr");
    let text = position().sign(&keys, &owner);
    assert_eq!(StreamPosition::verify(&keys, &owner, &text), Ok(position()));
    let other = WorkspaceId::from("kalup");
    let verified = StreamPosition::verify(&keys, &other, &text);
    assert_eq!(verified, Err(PositionError::Forged));
}

#[test]
fn changed_or_foreign_positions_are_refused() {
    let keys = keys("a-fleet-key-of-enough-bytes");
    let owner = WorkspaceId::from("qasr");
    let text = position().sign(&keys, &owner);
    let later = text.replacen("~41~", "~42~", 1);
    let verified = StreamPosition::verify(&keys, &owner, &later);
    assert_eq!(verified, Err(PositionError::Forged));
    let strangers = FleetKeys::new(vec![b"another-key-of-enough-bytes".to_vec()]);
    let foreign = position().sign(&strangers.expect("the key is long enough"), &owner);
    let verified = StreamPosition::verify(&keys, &owner, &foreign);
    assert_eq!(verified, Err(PositionError::Forged));
    for text in ["", "~", "1~x~7~a~e~00", "nonsense"] {
        let verified = StreamPosition::verify(&keys, &owner, text);
        assert_eq!(verified, Err(PositionError::Malformed), "{text}");
    }
}
