//! Entries of another writer among those of the endpoints: they name no endpoint to use,
//! and the others hold.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod entry_site;

use std::time::Duration;

use entry_site::{Node, PROMPT, Site, call, wait_for};
use flamingolock_platform_standin::{Engine, StoreMode};
use serde_json::{Value, json};

/// Ids that no header can name.
const UNNAMEABLE_IDS: [&str; 6] = ["a b", "d\u{e9}", "d\n", "d\u{7f}", " desk-1", ""];

const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Depth of the nested values.
const DEPTH: usize = 20_000;

/// Fields of an entry that must have a value of their own type.
const FIELDS: [&str; 9] = [
    "Service", "Address", "Zone", "Version", "Slots", "State", "Models", "Seq", "born",
];

/// Numbers that are none of the fields' values, as they stand in an entry.
const NUMBERS: [&str; 8] = [
    "-1",
    "0.5",
    "1e30",
    "-1e30",
    "1e400",
    "18446744073709551616",
    "340282366920938463463374607431768211456",
    "-9223372036854775809",
];

const PORTS: [&str; 7] = [
    "0",
    "65536",
    "-1",
    "1e30",
    "4294967296",
    "99999999999999999999",
    "",
];

/// A sound entry of `service` at an address, with `value` in place of a field's value.
fn entry_with(sound: &Value, field: &str, value: &str) -> Vec<u8> {
    let mut entry = sound.clone();
    entry[field] = json!("REPLACED");
    let text = entry.to_string();
    text.replace("\"REPLACED\"", value).into_bytes()
}

/// Values that are no entry of an endpoint, all made from a sound one.
fn odd_values(sound: &Value) -> Vec<Vec<u8>> {
    let open = |text: &str| text.repeat(DEPTH);
    let nested = format!("{}{}", open("["), open("]"));
    let nested_objects = format!("{}1{}", open("{\"a\":"), open("}"));
    let mut values: Vec<Vec<u8>> = vec![
        b"{".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        vec![0],
        vec![0xff, 0xfe, 0x80],
        b"{\"Service\":\"\\ud800\"}".to_vec(),
        open("[").into_bytes(),
        open("{\"a\":").into_bytes(),
        nested.clone().into_bytes(),
        nested_objects.clone().into_bytes(),
        entry_with(sound, "More", &nested),
        entry_with(sound, "Models", &nested_objects),
        entry_with(sound, "Models", "[{\"Name\":\"planner\",\"Version\":1e30}]"),
        entry_with(sound, "Models", "[{\"Name\":7,\"Version\":1}]"),
        entry_with(sound, "Models", "[[]]"),
        entry_with(sound, "Slots", "4294967296"),
        entry_with(sound, "State", "\"resting\""),
    ];
    for field in FIELDS {
        let numbers = NUMBERS.map(|number| entry_with(sound, field, number));
        let others = ["true", "{\"a\":[]}"].map(|value| entry_with(sound, field, value));
        values.extend(numbers.into_iter().chain(others));
    }
    for field in ["Address", "Slots", "State", "Models", "Seq", "born"] {
        values.push(entry_with(sound, field, "\"\\u0000\""));
    }
    let ip = "127.0.0.1";
    values.extend(PORTS.map(|port| entry_with(sound, "Address", &format!("\"{ip}:{port}\""))));
    for field in ["Service", "Address", "Zone", "Version", "Slots", "State"] {
        let mut entry = sound.clone();
        entry.as_object_mut().expect("an entry").remove(field);
        values.push(entry.to_string().into_bytes());
    }
    values
}

/// A sound entry that names the decoy as an endpoint of a service.
fn sound_entry(decoy: &Engine, service: &str) -> Value {
    let (_, value) = decoy.entry(service, "ready");
    serde_json::from_str(&value).expect("an entry")
}

/// Checks that the node still follows the entries: one that is new, and one that changes.
fn assert_follows(site: &Site, node: &Node, id: &str) {
    let late = Engine::start(id, 0, EVENT_INTERVAL);
    site.put_entry(&late, "desk", "ready");
    wait_for("the node to list a new server", || {
        is_logged(node, "endpoint listed", id)
    });
    site.put_entry(&late, "desk", "draining");
    wait_for("the node to see it leave", || {
        is_logged(node, "endpoint is leaving", id)
    });
}

fn is_logged(node: &Node, message: &str, id: &str) -> bool {
    let log = node.log();
    let id = format!("\"{id}\"");
    log.lines()
        .any(|line| line.contains(message) && line.contains(&id))
}

fn assert_serves(node: &Node, prefix: &str) {
    for number in 0..20 {
        let id = format!("{prefix}-{number}");
        assert_eq!(call(node, "/look/a", &id, &[]).status, 200, "{id}");
        let id = format!("{prefix}-d-{number}");
        assert_eq!(call(node, "/draft/a", &id, &PROMPT).status, 200, "{id}");
    }
}

#[test]
fn odd_entries_neither_end_nodes_nor_stop_them_from_following_the_others() {
    let site = Site::start(EVENT_INTERVAL);
    let decoy = Engine::start("decoy", 10, EVENT_INTERVAL);
    let mut first = site.node("node-1");
    let mut count = 0;
    for service in ["engines", "desk"] {
        for value in odd_values(&sound_entry(&decoy, service)) {
            count += 1;
            site.store
                .put_bytes("keyed.servers", &format!("servers/odd-{count}"), &value);
        }
    }
    let (_, ready) = decoy.entry("desk", "ready");
    for id in UNNAMEABLE_IDS {
        site.store
            .put("keyed.servers", &format!("servers/{id}"), &ready);
    }
    assert_follows(&site, &first, "late-1");
    assert_serves(&first, "a");
    // It finds them in the store when it starts.
    let mut second = site.node("node-2");
    assert_follows(&site, &second, "late-2");
    assert_serves(&second, "b");
    // It has the entries from the other nodes.
    site.store.set_mode(StoreMode::Refusing);
    let mut third = site.node("node-3");
    assert_serves(&third, "c");
    site.store.set_mode(StoreMode::Up);
    assert_follows(&site, &third, "late-3");
    for node in [&mut first, &mut second, &mut third] {
        assert!(!node.has_exited(), "{} ended", node.name);
        assert!(!node.log().contains("panicked"), "{}", node.name);
    }
    let arrivals = decoy.arrivals();
    assert!(arrivals.is_empty(), "an odd entry was used: {arrivals:?}");
}

#[test]
fn entries_behind_an_odd_key_are_not_lost_between_two_pages() {
    let site = Site::start(EVENT_INTERVAL);
    let decoy = Engine::start("decoy", 0, EVENT_INTERVAL);
    let (_, leaving) = decoy.entry("desk", "draining");
    for id in ["d&after=zz", "d#", "d%zz", "d+", "d=&", "~"] {
        site.store
            .put("keyed.servers", &format!("servers/{id}"), &leaving);
    }
    let (_, ready) = decoy.entry("desk", "ready");
    for id in UNNAMEABLE_IDS {
        site.store
            .put("keyed.servers", &format!("servers/{id}"), &ready);
    }
    site.store.set_mode(StoreMode::ShortPages);
    let node = site.node("node-1");
    assert_serves(&node, "a");
    assert_follows(&site, &node, "late-1");
    for id in ["engine-1", "engine-2", "desk-1", "desk-2", "~"] {
        assert!(is_logged(&node, "endpoint listed", id), "{id}");
    }
    let arrivals = decoy.arrivals();
    assert!(arrivals.is_empty(), "an odd entry was used: {arrivals:?}");
}
