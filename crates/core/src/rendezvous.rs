//! Rendezvous (highest random weight) hashing.
//!
//! Each key ranks all candidates by a hash of the pair. A candidate that comes
//! or goes moves only the keys that it wins.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `candidate` for `key`; the largest wins.
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Turns a textual key into the number that [`weight`] takes.
pub fn key(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// The `count` best candidates for `key`, best first. Ties break by name.
pub fn top<'a, I>(key: u64, candidates: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|name| (weight(key, name), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name).collect()
}
