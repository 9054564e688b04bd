//! Validation of manifests and of changes to them.
//!
//! The same checks run before a change is published and again in the fold. A change
//! is checked with the help of an index, so that the cost depends on the size of the
//! change and not on that of the manifest.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::manifest::{Manifest, Model, RequestKind, Service, Target, Workspace};
use crate::manifest_fault::{Fault, LOOKUP_ID, MAX_NAME_BYTES, Problem};
use crate::manifest_index::{ManifestIndex, target_key};
use crate::prelude::*;
use crate::record::{Entry, EntryChange, EntryKey};

/// Number of hexadecimal digits of a key hash (SHA-256).
pub const KEY_HASH_DIGITS: usize = 64;

fn problem(path: impl fmt::Display, fault: Fault) -> Problem {
    Problem {
        path: path.to_string(),
        fault,
    }
}

/// True when the manifest has an entry under `key`.
pub fn has_entry(manifest: &Manifest, key: &EntryKey) -> bool {
    match key {
        EntryKey::Workspace(name) => manifest.workspaces.contains_key(name),
        EntryKey::Kind(name) => manifest.kinds.contains_key(name),
        EntryKey::Model(name) => manifest.models.contains_key(name),
        EntryKey::Service(name) => manifest.services.contains_key(name),
        EntryKey::Engine(name) => manifest.engines.contains_key(name),
    }
}

/// Decodes a manifest entry by entry, so that every entry that cannot be decoded is
/// reported. The result is not validated.
///
/// # Errors
///
/// Returns a problem for every section and entry that cannot be decoded.
pub fn read_manifest(value: &Value) -> Result<Manifest, Vec<Problem>> {
    let Some(sections) = value.as_object() else {
        let fault = Fault::Unreadable("expected a table of sections".to_owned());
        return Err(vec![problem("manifest", fault)]);
    };
    let mut problems = Vec::new();
    let mut manifest = Manifest::default();
    for (section, entries) in sections {
        match section.as_str() {
            "workspaces" => manifest.workspaces = read_section(section, entries, &mut problems),
            "kinds" => manifest.kinds = read_section(section, entries, &mut problems),
            "models" => manifest.models = read_section(section, entries, &mut problems),
            "services" => manifest.services = read_section(section, entries, &mut problems),
            "engines" => manifest.engines = read_section(section, entries, &mut problems),
            _ => problems.push(problem(section, Fault::UnknownSection)),
        }
    }
    if problems.is_empty() {
        Ok(manifest)
    } else {
        Err(problems)
    }
}

fn read_section<K, V>(section: &str, entries: &Value, problems: &mut Vec<Problem>) -> BTreeMap<K, V>
where
    K: Ord + for<'a> From<&'a str>,
    V: DeserializeOwned,
{
    let mut read = BTreeMap::new();
    let Some(entries) = entries.as_object() else {
        let fault = Fault::Unreadable("expected a table of entries".to_owned());
        problems.push(problem(section, fault));
        return read;
    };
    for (name, value) in entries {
        match V::deserialize(value) {
            Ok(value) => {
                read.insert(K::from(name.as_str()), value);
            }
            Err(err) => {
                let fault = Fault::Unreadable(err.to_string());
                problems.push(problem(format_args!("{section}.{name}"), fault));
            }
        }
    }
    read
}

/// Checks a whole manifest and returns its index.
///
/// # Errors
///
/// Returns all problems of the manifest.
pub fn check_manifest(manifest: &Manifest) -> Result<ManifestIndex, Vec<Problem>> {
    let entries: Vec<Entry> = entries(manifest).collect();
    let empty = Manifest::default();
    let mut index = ManifestIndex::default();
    let problems = check_entries(&empty, &index, &entries.iter().collect::<Vec<_>>());
    if !problems.is_empty() {
        return Err(problems);
    }
    for entry in &entries {
        index.replace(&empty, entry);
    }
    Ok(index)
}

/// Checks a change against the manifest that it would apply to.
pub fn check_change(
    manifest: &Manifest,
    index: &ManifestIndex,
    changes: &[EntryChange],
) -> Vec<Problem> {
    if changes.is_empty() {
        return vec![problem("change", Fault::Empty)];
    }
    let entries: Vec<&Entry> = changes.iter().map(|change| &change.entry).collect();
    check_entries(manifest, index, &entries)
}

/// Every entry of a manifest, section by section.
pub fn entries(manifest: &Manifest) -> impl Iterator<Item = Entry> + '_ {
    let workspaces = manifest.workspaces.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), Some(value.clone()));
        Entry::Workspace { name, value }
    });
    let kinds = manifest.kinds.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), Some(value.clone()));
        Entry::Kind { name, value }
    });
    let models = manifest.models.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), Some(value.clone()));
        Entry::Model { name, value }
    });
    let services = manifest.services.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), Some(value.clone()));
        Entry::Service { name, value }
    });
    let engines = manifest.engines.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), Some(value.clone()));
        Entry::Engine { name, value }
    });
    workspaces
        .chain(models)
        .chain(services)
        .chain(kinds)
        .chain(engines)
}

fn check_entries(manifest: &Manifest, index: &ManifestIndex, entries: &[&Entry]) -> Vec<Problem> {
    let mut touched: BTreeMap<EntryKey, bool> = BTreeMap::new();
    let mut problems = Vec::new();
    for entry in entries {
        let key = entry.key();
        if entry.is_removal() && !has_entry(manifest, &key) {
            problems.push(problem(&key, Fault::Absent));
        }
        if touched.insert(key.clone(), !entry.is_removal()).is_some() {
            problems.push(problem(&key, Fault::Repeated));
        }
    }
    let mut added = BTreeMap::new();
    for entry in entries {
        check_entry(entry, &mut problems);
        check_hashes(index, &touched, entry, &mut added, &mut problems);
        check_target(manifest, &touched, entry, &mut problems);
        check_users(index, &touched, entry, &mut problems);
    }
    problems
}

fn check_entry(entry: &Entry, problems: &mut Vec<Problem>) {
    let key = entry.key();
    check_name(&key, problems);
    match entry {
        Entry::Workspace { value, .. } => {
            if let Some(value) = value {
                check_workspace(&key, value, problems);
            }
        }
        Entry::Kind { value, .. } => {
            if let Some(value) = value {
                check_kind(&key, value, problems);
            }
        }
        Entry::Model { value, .. } => {
            if let Some(value) = value {
                check_model(&key, value, problems);
            }
        }
        Entry::Service { value, .. } => {
            if let Some(value) = value {
                check_service(&key, value, problems);
            }
        }
        Entry::Engine { .. } => {}
    }
}

fn check_name(key: &EntryKey, problems: &mut Vec<Problem>) {
    let name = match key {
        EntryKey::Workspace(name) => name.as_str(),
        EntryKey::Kind(name) => name.as_str(),
        EntryKey::Model(name) => name.as_str(),
        EntryKey::Service(name) => name.as_str(),
        EntryKey::Engine(name) => name.as_str(),
    };
    let printable = name.chars().all(|c| !c.is_whitespace() && !c.is_control());
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !printable {
        problems.push(problem(key, Fault::BadName));
    }
}

fn positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn check_workspace(key: &EntryKey, value: &Workspace, problems: &mut Vec<Problem>) {
    if !positive(value.weight) {
        problems.push(problem(format_args!("{key}.weight"), Fault::NotPositive));
    }
    if value.request_rate.is_some_and(|rate| !positive(rate)) {
        problems.push(problem(
            format_args!("{key}.request_rate"),
            Fault::NotPositive,
        ));
    }
    if value.max_inflight == Some(0) {
        problems.push(problem(
            format_args!("{key}.max_inflight"),
            Fault::NotPositive,
        ));
    }
    for hash in value.key_hashes.iter().filter(|hash| !is_hash(hash)) {
        let fault = Fault::BadHash(hash.clone());
        problems.push(problem(format_args!("{key}.key_hashes"), fault));
    }
}

fn is_hash(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == KEY_HASH_DIGITS && text.bytes().all(digit)
}

fn check_kind(key: &EntryKey, value: &RequestKind, problems: &mut Vec<Problem>) {
    if value.deadline_ms == 0 {
        problems.push(problem(
            format_args!("{key}.deadline_ms"),
            Fault::NotPositive,
        ));
    }
    if !value.repeatable && matches!(value.target, Target::Model(_)) {
        problems.push(problem(
            format_args!("{key}.repeatable"),
            Fault::UnrepeatableModel,
        ));
    }
}

fn check_model(key: &EntryKey, value: &Model, problems: &mut Vec<Problem>) {
    if value.weights.as_str().is_empty() {
        problems.push(problem(format_args!("{key}.weights"), Fault::EmptyText));
    }
    if !value.recompute_price.is_finite() || value.recompute_price < 0.0 {
        problems.push(problem(
            format_args!("{key}.recompute_price"),
            Fault::Negative,
        ));
    }
    let mut seen = BTreeSet::new();
    for adapter in &value.adapters {
        let path = format_args!("{key}.adapters");
        if adapter.is_empty() {
            problems.push(problem(path, Fault::EmptyText));
        } else if !seen.insert(adapter) {
            problems.push(problem(path, Fault::RepeatedAdapter(adapter.clone())));
        }
    }
}

fn check_service(key: &EntryKey, value: &Service, problems: &mut Vec<Problem>) {
    let Some(path) = &value.lookup_path else {
        return;
    };
    if !path.starts_with('/') || !path.contains(LOOKUP_ID) {
        let fault = Fault::BadLookup(path.clone());
        problems.push(problem(format_args!("{key}.lookup_path"), fault));
    }
}

/// Checks that key hashes are unique over all workspaces, including those of the same
/// change.
fn check_hashes<'a>(
    index: &ManifestIndex,
    touched: &BTreeMap<EntryKey, bool>,
    entry: &'a Entry,
    added: &mut BTreeMap<&'a str, &'a WorkspaceId>,
    problems: &mut Vec<Problem>,
) {
    let Entry::Workspace {
        name,
        value: Some(value),
    } = entry
    else {
        return;
    };
    for hash in &value.key_hashes {
        // The change replaces all hashes of the workspaces that it touches.
        let kept = index
            .hash_owner(hash)
            .filter(|owner| !touched.contains_key(&EntryKey::Workspace((*owner).clone())));
        let other = added.insert(hash, name);
        if let Some(owner) = kept.or(other) {
            let fault = Fault::SharedHash {
                hash: hash.clone(),
                owner: owner.clone(),
            };
            problems.push(problem(format_args!("{}.key_hashes", entry.key()), fault));
        }
    }
}

/// Checks that the target of a kind exists once the change is applied.
fn check_target(
    manifest: &Manifest,
    touched: &BTreeMap<EntryKey, bool>,
    entry: &Entry,
    problems: &mut Vec<Problem>,
) {
    let Entry::Kind {
        value: Some(value), ..
    } = entry
    else {
        return;
    };
    let target = target_key(&value.target);
    let there = match touched.get(&target) {
        Some(kept) => *kept,
        None => has_entry(manifest, &target),
    };
    if !there {
        let fault = Fault::MissingTarget(target);
        problems.push(problem(format_args!("{}.target", entry.key()), fault));
    }
}

/// Checks that no kind outside the change refers to an entry that the change removes.
fn check_users(
    index: &ManifestIndex,
    touched: &BTreeMap<EntryKey, bool>,
    entry: &Entry,
    problems: &mut Vec<Problem>,
) {
    if !entry.is_removal() {
        return;
    }
    let key = entry.key();
    for kind in index
        .users(&key)
        .filter(|kind| !touched.contains_key(&EntryKey::Kind((*kind).clone())))
    {
        problems.push(problem(&key, Fault::StillUsed(kind.clone())));
    }
}
