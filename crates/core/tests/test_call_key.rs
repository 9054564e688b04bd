//! Entry tokens and idempotency keys.

mod common;

use common::node;
use flamingolock_core::call_key::{KeyError, KeyKind, MAX_KEY_BYTES, parse_key};
use flamingolock_core::entry_token::{EntryToken, FleetKeys, TokenError};
use flamingolock_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn keys(secret: &[u8]) -> FleetKeys {
    FleetKeys::new(vec![secret.to_vec()]).unwrap()
}

fn token() -> EntryToken {
    EntryToken {
        owner: node("entry-1", 7),
        made_at: Millis(1_700_000_000_000),
        nonce: 99,
    }
}

fn parse(text: &str) -> Result<flamingolock_core::call_key::CallKey, KeyError> {
    parse_key(&keys(&[1; 32]), &WorkspaceId::from("acme"), text)
}

#[test]
fn a_token_comes_back_as_it_was_minted() {
    let keys = keys(&[1; 32]);
    let text = keys.mint(&token()).unwrap();
    assert_eq!(keys.verify(&text), Ok(token()));
}

#[test]
fn a_token_of_another_fleet_is_refused() {
    let text = keys(&[2; 32]).mint(&token()).unwrap();
    assert_eq!(keys(&[1; 32]).verify(&text), Err(TokenError::Forged));
}

#[test]
fn a_replaced_fleet_key_still_verifies() {
    let text = keys(&[2; 32]).mint(&token()).unwrap();
    let both = FleetKeys::new(vec![vec![1; 32], vec![2; 32]]).unwrap();
    assert_eq!(both.verify(&text), Ok(token()));
    assert!(FleetKeys::new(vec![]).is_err());
    assert!(FleetKeys::new(vec![vec![1; 15]]).is_err());
}

#[test]
fn keys_name_their_owner_and_time() {
    let text = keys(&[1; 32]).mint(&token()).unwrap();
    let entry = parse(&format!("e.{text}.order-1")).unwrap();
    let owner = token().owner;
    assert_eq!(
        entry.kind,
        KeyKind::Entry {
            owner: owner.clone()
        }
    );
    assert_eq!(entry.made_at, token().made_at);
    let journalled = parse(&format!("j.{text}.order-1")).unwrap();
    assert_eq!(journalled.kind, KeyKind::Journalled { owner });
    assert_ne!(entry.id, journalled.id);
    assert_ne!(entry.id, parse(&format!("e.{text}.order-2")).unwrap().id);
}

#[test]
fn plain_keys_carry_their_time() {
    let millis = Millis(1_700_000_000_123);
    let version7 = format!(
        "{:08x}-{:04x}-7abc-8def-0123456789ab",
        millis.0 >> 16,
        millis.0 & 0xffff
    );
    let ulid = ulid::Ulid::from_parts(millis.0, 5).to_string();
    for text in [version7, ulid, "1700000000123-order-5".to_owned()] {
        let key = parse(&text).unwrap();
        assert_eq!(key.kind, KeyKind::Plain, "{text}");
        assert_eq!(key.made_at, millis, "{text}");
    }
}

#[test]
fn undated_and_malformed_keys_are_refused() {
    let version4 = "018bcfe5-687b-4abc-8def-0123456789ab";
    for text in ["order-5", "170000000012-x", "1700000000123", version4] {
        assert_eq!(parse(text), Err(KeyError::Undated), "{text}");
    }
    let long = "x".repeat(MAX_KEY_BYTES + 1);
    for text in ["", "a b", "\u{e9}", &long] {
        assert_eq!(parse(text), Err(KeyError::Malformed), "{text}");
    }
    assert_eq!(
        parse("e.AAAA.x"),
        Err(KeyError::Token(TokenError::Malformed))
    );
}

#[test]
fn the_workspace_is_part_of_the_call() {
    let keys = keys(&[1; 32]);
    let id = |workspace: &str, text: &str| {
        parse_key(&keys, &WorkspaceId::from(workspace), text)
            .unwrap()
            .id
    };
    let key = "1700000000123-order-5";
    assert_ne!(id("acme", key), id("blue", key));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_changed_byte_breaks_the_signature(at in 0..200_usize, flip in 1..=255_u8) {
        let keys = keys(&[1; 32]);
        let text = keys.mint(&token()).unwrap();
        let mut bytes = text.into_bytes();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        if let Ok(text) = String::from_utf8(bytes) {
            prop_assert!(keys.verify(&text).is_err());
        }
    }

    #[test]
    fn any_text_is_read_without_panic(text in ".*") {
        let _ = keys(&[1; 32]).verify(&text);
        let _ = parse(&text);
    }
}
