//! Checks of manifests and of changes.

mod common;

use common::{based, booking, hash, put_kind, put_service, put_workspace, remove_workspace};
use flamingolock_core::fold::put_entry;
use flamingolock_core::manifest::{Manifest, Target};
use flamingolock_core::manifest_check::{check_change, check_manifest, read_manifest};
use flamingolock_core::manifest_fault::Fault;
use flamingolock_core::record::Entry;
use serde_json::json;

fn shop() -> Manifest {
    let mut manifest = Manifest::default();
    put_entry(&mut manifest, &put_service("desk"));
    put_entry(&mut manifest, &put_kind("order", booking("desk")));
    put_entry(&mut manifest, &put_workspace("acme", 2.0, &[1, 2]));
    manifest
}

fn faults(manifest: &Manifest, entries: Vec<Entry>) -> Vec<Fault> {
    let index = check_manifest(manifest).expect("the base is valid");
    let changes: Vec<_> = entries.into_iter().map(|e| based(e, None)).collect();
    let problems = check_change(manifest, &index, &changes);
    problems.into_iter().map(|p| p.fault).collect()
}

#[test]
fn reports_every_problem_with_path_and_remedy() {
    let mut manifest = shop();
    put_entry(&mut manifest, &put_workspace("bad", -1.0, &[2]));
    put_entry(&mut manifest, &put_workspace("worse", f64::NAN, &[]));
    let mut kind = booking("gone");
    kind.deadline_ms = 0;
    put_entry(&mut manifest, &put_kind("late", kind));
    let problems = check_manifest(&manifest).unwrap_err();
    let texts: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let owner = hash(2);
    assert_eq!(
        texts,
        vec![
            "workspaces.bad.weight must be a finite number above zero; \
             set a value above zero, or leave an optional limit out"
                .to_owned(),
            format!(
                "workspaces.bad.key_hashes has key hash {owner}, which workspace acme has too; \
                 give each workspace keys of its own"
            ),
            "workspaces.worse.weight must be a finite number above zero; \
             set a value above zero, or leave an optional limit out"
                .to_owned(),
            "kinds.late.deadline_ms must be a finite number above zero; \
             set a value above zero, or leave an optional limit out"
                .to_owned(),
            "kinds.late.target refers to services.gone, which is not in the manifest; \
             add the target in the same change, or correct its name"
                .to_owned(),
        ]
    );
}

#[test]
fn unrepeatable_kinds_go_to_services() {
    let mut kind = booking("desk");
    kind.target = Target::Model("large".into());
    let model = json!({"models": {"large": {"weights": "v1"}}});
    let mut manifest = read_manifest(&model).unwrap();
    manifest.kinds.insert("order".into(), kind);
    let problems = check_manifest(&manifest).unwrap_err();
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].path, "kinds.order.repeatable");
    assert_eq!(problems[0].fault, Fault::UnrepeatableModel);
}

#[test]
fn key_hashes_are_lower_case_sha256() {
    for bad in ["", "abc", &"A".repeat(64), &"g".repeat(64)] {
        let mut manifest = shop();
        let acme = manifest.workspaces.get_mut("acme").unwrap();
        acme.key_hashes = vec![bad.to_owned()];
        let problems = check_manifest(&manifest).unwrap_err();
        assert_eq!(problems[0].fault, Fault::BadHash(bad.to_owned()));
    }
}

#[test]
fn a_change_may_move_a_hash_but_not_share_it() {
    let steal = vec![put_workspace("other", 1.0, &[2])];
    assert!(matches!(
        faults(&shop(), steal)[..],
        [Fault::SharedHash { .. }]
    ));
    let swap = vec![
        put_workspace("other", 1.0, &[2]),
        put_workspace("acme", 1.0, &[1]),
    ];
    assert_eq!(faults(&shop(), swap), vec![]);
    let twice = vec![
        put_workspace("one", 1.0, &[7]),
        put_workspace("two", 1.0, &[7]),
    ];
    assert!(matches!(
        faults(&shop(), twice)[..],
        [Fault::SharedHash { .. }]
    ));
}

#[test]
fn the_index_follows_a_moved_hash_in_either_order() {
    let give = put_workspace("acme", 1.0, &[1]);
    let take = put_workspace("other", 1.0, &[2]);
    for entries in [[&give, &take], [&take, &give]] {
        let mut manifest = shop();
        let mut index = check_manifest(&manifest).unwrap();
        for entry in entries {
            index.replace(&manifest, entry);
            put_entry(&mut manifest, entry);
        }
        assert_eq!(index, check_manifest(&manifest).unwrap());
    }
}

#[test]
fn a_service_in_use_stays() {
    let removal = Entry::Service {
        name: "desk".into(),
        value: None,
    };
    let alone = faults(&shop(), vec![removal.clone()]);
    assert_eq!(alone, vec![Fault::StillUsed("order".into())]);
    let kind = Entry::Kind {
        name: "order".into(),
        value: None,
    };
    assert_eq!(faults(&shop(), vec![removal, kind]), vec![]);
}

#[test]
fn removals_need_an_existing_entry_and_entries_are_unique() {
    let absent = faults(&shop(), vec![remove_workspace("nobody")]);
    assert_eq!(absent, vec![Fault::Absent]);
    let twice = vec![
        put_workspace("acme", 1.0, &[]),
        put_workspace("acme", 2.0, &[]),
    ];
    assert_eq!(faults(&shop(), twice), vec![Fault::Repeated]);
    assert_eq!(faults(&shop(), vec![]), vec![Fault::Empty]);
}

#[test]
fn reading_names_every_unreadable_entry() {
    let text = json!({
        "workspaces": {"a": {"weight": "heavy"}, "b": {"wait": 1}, "c": {}},
        "kinds": {"k": {"target": {"service": "s"}}},
        "modles": {},
    });
    let problems = read_manifest(&text).unwrap_err();
    let mut paths: Vec<&str> = problems.iter().map(|p| p.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["kinds.k", "modles", "workspaces.a", "workspaces.b"]);
    let text: String = problems.iter().map(ToString::to_string).collect();
    assert!(text.contains("missing field `deadline_ms`"), "{text}");
}

#[test]
fn look_up_paths_hold_the_call_id() {
    for (path, valid) in [("/calls/{id}", true), ("/calls", false), ("x{id}", false)] {
        let value = json!({"services": {"desk": {"lookup_path": path}}});
        let manifest = read_manifest(&value).unwrap();
        assert_eq!(check_manifest(&manifest).is_ok(), valid, "{path}");
    }
}
