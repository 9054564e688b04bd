//! With whom requests share cached prompt parts while workspaces become isolated and stop
//! being so.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::time::Duration;

use common::{Harness, placement_request};
use flamingolock_gateway::control::{Event, Grant};
use tokio::sync::oneshot;

/// A node with an engine and a configuration in which these workspaces are isolated; `all`
/// are there.
fn with_isolated(all: &[&str], isolated: &[&str]) -> Harness {
    let mut harness = Harness::with_engines(1, 0);
    isolate(&mut harness, 2, all, isolated);
    harness
}

fn isolate(harness: &mut Harness, version: u64, all: &[&str], isolated: &[&str]) {
    let shared = all.iter().filter(|name| !isolated.contains(name));
    let shared: Vec<&str> = shared.copied().collect();
    harness.workspaces(version, &shared, isolated, 5);
}

fn grant(harness: &mut Harness, workspace: Option<&str>) -> Grant {
    let placement = harness.place(placement_request(workspace, 1), 10);
    placement.expect("a decision").expect("a grant")
}

fn salt(harness: &mut Harness, workspace: &str) -> String {
    grant(harness, Some(workspace)).salt.expect("a salt")
}

#[test]
fn isolated_workspaces_have_separate_cache_salts() {
    let mut harness = with_isolated(&["a", "b", "one", "two"], &["one", "two"]);
    let shared = salt(&mut harness, "a");
    assert_eq!(salt(&mut harness, "b"), shared);
    assert_eq!(grant(&mut harness, None).salt, Some(shared.clone()));
    let (one, two) = (salt(&mut harness, "one"), salt(&mut harness, "two"));
    assert!(shared != one && one != two && shared != two);
}

/// Guards against shared memory of isolated workspaces: parts that the requests of a
/// workspace had made were used by others after it had become isolated, and those that
/// others made meanwhile once it was isolated again.
#[test]
fn parts_are_found_only_under_the_same_set_of_isolated_workspaces() {
    let all = ["a", "b", "c"];
    let sets: [&[&str]; 5] = [&[], &["a"], &["b"], &["a", "b"], &["c"]];
    let mut harness = with_isolated(&all, &[]);
    let mut salts = Vec::new();
    let mut version = 3;
    for _ in 0..2 {
        for isolated in sets {
            isolate(&mut harness, version, &all, isolated);
            version += 1;
            for workspace in all {
                let alone = isolated.contains(&workspace).then_some(workspace);
                let group = alone.map_or((isolated, ""), |workspace| (&[][..], workspace));
                salts.push((group, salt(&mut harness, workspace)));
            }
        }
    }
    for (group, salt) in &salts {
        for (other_group, other) in &salts {
            assert_eq!(
                group == other_group,
                salt == other,
                "{group:?}, {other_group:?}"
            );
        }
    }
}

#[test]
fn names_of_isolated_workspaces_do_not_run_together() {
    let all = ["a", "b", "ab", "c"];
    let mut one = with_isolated(&all, &["ab"]);
    let mut two = with_isolated(&all, &["a", "b"]);
    assert_ne!(salt(&mut one, "c"), salt(&mut two, "c"));
}

#[test]
fn parts_of_a_workspace_that_becomes_isolated_are_not_fetched_for_others() {
    let mut harness = Harness::with_engines(2, 0);
    harness.workspaces(2, &["a", "b"], &[], 5);
    let first = grant(&mut harness, Some("a"));
    let event = Event::FirstToken {
        endpoint: first.endpoint.key(),
        run_number: first.run_number,
        weights: Some(1),
        model: Some("m".to_owned()),
    };
    harness.control.handle(event, 20);
    let sources = |harness: &mut Harness| {
        let grants = (0..20).map(|_| grant(harness, Some("b")));
        grants.filter(|grant| grant.kv_source.is_some()).count()
    };
    assert!(sources(&mut harness) > 0, "b shares with a");
    isolate(&mut harness, 3, &["a", "b"], &["a"]);
    // Only what the requests of b themselves make from now on can be fetched.
    assert_eq!(grant(&mut harness, Some("b")).kv_source, None);
    assert_eq!(grant(&mut harness, Some("a")).kv_source, None);
}

#[test]
fn node_that_starts_uses_the_same_salts_as_the_others() {
    let all = ["a", "b", "c"];
    let mut old = with_isolated(&all, &["b"]);
    isolate(&mut old, 3, &all, &["a", "b"]);
    isolate(&mut old, 4, &all, &["a"]);
    let mut new = with_isolated(&["c", "b", "a"], &["a"]);
    for workspace in all {
        assert_eq!(salt(&mut old, workspace), salt(&mut new, workspace));
    }
}

/// Guards against a request that arrived while its workspace still shared, and leaves its
/// parts among those that the others share from now on.
#[test]
fn waiting_request_of_a_workspace_that_becomes_isolated_makes_its_parts_alone() {
    let mut harness = Harness::with_engines(0, 0);
    harness.workspaces(2, &["a", "b"], &[], 5);
    let (reply, mut answer) = oneshot::channel();
    let mut request = placement_request(Some("a"), 1);
    request.max_wait = Duration::from_secs(2);
    let event = Event::Place(Box::new(request), reply);
    harness.control.handle(event, 10);
    isolate(&mut harness, 3, &["a", "b"], &["a"]);
    harness.engine("e", 1, "ready", 20);
    harness.control.tick(30);
    let waited = answer.try_recv().expect("a decision").expect("a grant");
    assert_eq!(waited.salt, Some(salt(&mut harness, "a")));
    assert_ne!(waited.salt, Some(salt(&mut harness, "b")));
}

/// A workspace that was removed, or is not known yet, may be an isolated one.
#[test]
fn workspace_that_is_not_listed_shares_with_nobody() {
    let mut harness = with_isolated(&["a"], &[]);
    let unlisted = salt(&mut harness, "removed");
    assert_ne!(unlisted, salt(&mut harness, "a"));
    assert_ne!(unlisted, salt(&mut harness, "other"));
}

/// Guards against parts that anybody may find: streams of a service went on without a salt and
/// at any weights once the newest configuration no longer listed it.
#[test]
fn service_that_is_no_longer_listed_keeps_its_salts() {
    let mut harness = with_isolated(&["a", "b"], &["b"]);
    let salts = ["a", "b"].map(|workspace| salt(&mut harness, workspace));
    let workspaces = r#"{"Name":"a","ApiKeys":["a"]},{"Name":"b","ApiKeys":["b"],"Isolated":true}"#;
    for version in [3, 4] {
        harness.plain_catalog(version, workspaces, 20);
        for (workspace, before) in ["a", "b"].into_iter().zip(&salts) {
            let grant = grant(&mut harness, Some(workspace));
            assert_eq!(grant.salt.as_ref(), Some(before), "{workspace}");
            assert!(grant.weights.is_some(), "{workspace}");
        }
    }
}
