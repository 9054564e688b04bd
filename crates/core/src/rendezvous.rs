//! Rendezvous (highest random weight) hashing.
//!
//! For each key, candidates are ranked by a hash of key and candidate. A candidate that
//! is added or removed moves only the keys for which it ranks first.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `candidate` for `key`; the candidate with the largest weight ranks first.
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Hashes a textual key to the number that [`weight`] expects.
pub fn key(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Returns the `count` best candidates for `key`, best first. Ties are broken by name.
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
