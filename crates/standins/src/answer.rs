//! The deterministic answer text of the stand-in engines.
//!
//! A load generator that knows the prompt can recompute every token, and so
//! check that an answer is whole, in order and belongs to its own request.

use xxhash_rust::xxh3::xxh3_64;

const CONSONANTS: &[u8; 16] = b"bdfghjklmnprstvz";
const VOWELS: &[u8; 4] = b"aeio";
const SYLLABLES: usize = 3;
/// Bits of hash that choose one syllable.
const SYLLABLE_BITS: usize = 6;

/// The answer that belongs to one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    seed: u64,
}

impl ExpectedAnswer {
    /// Hashes the prompt once, for any number of tokens.
    pub fn new(prompt: &[u8]) -> Self {
        Self {
            seed: xxh3_64(prompt),
        }
    }

    /// The token at `index`: a short word and a space.
    pub fn token(self, index: u32) -> String {
        let mut input = [0; 12];
        input[..8].copy_from_slice(&self.seed.to_be_bytes());
        input[8..].copy_from_slice(&index.to_be_bytes());
        let mut bits = xxh3_64(&input) as usize;
        let mut word = String::with_capacity(2 * SYLLABLES + 1);
        for _ in 0..SYLLABLES {
            word.push(char::from(CONSONANTS[bits % CONSONANTS.len()]));
            word.push(char::from(VOWELS[bits / CONSONANTS.len() % VOWELS.len()]));
            bits >>= SYLLABLE_BITS;
        }
        word.push(' ');
        word
    }

    /// The text of the first `count` tokens.
    pub fn text(self, count: u32) -> String {
        (0..count).map(|index| self.token(index)).collect()
    }
}

/// The token at `index` of the answer to `prompt`.
pub fn expected_token(prompt: &[u8], index: u32) -> String {
    ExpectedAnswer::new(prompt).token(index)
}
