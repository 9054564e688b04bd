//! Compression of a record's value against an earlier value of the same key.

use std::io::{self, Read, Write};

use zstd::stream::{read, write};

/// Compression level of zstd: its default.
const LEVEL: i32 = 3;

/// Base-2 logarithms of the smallest and the largest window, in bytes.
const WINDOW_LOG: (u32, u32) = (17, 25);

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses a value; what it shares with `base` takes next to nothing.
///
/// # Errors
///
/// If the compressor cannot be set up.
pub fn pack(value: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    // The window has to reach back to the start of the base.
    let window = usize::BITS - (value.len() + base.len()).leading_zeros();
    encoder.window_log(window.clamp(WINDOW_LOG.0, WINDOW_LOG.1))?;
    encoder.long_distance_matching(true)?;
    encoder.include_checksum(true)?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// Restores a value that was compressed against `base`.
///
/// # Errors
///
/// If the bytes are damaged, were compressed against another base, or the value is larger
/// than [`MAX_VALUE_BYTES`].
pub fn unpack(packed: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = read::Decoder::with_ref_prefix(packed, base)?;
    decoder.window_log_max(WINDOW_LOG.1)?;
    let mut value = Vec::new();
    decoder.take(MAX_VALUE_BYTES + 1).read_to_end(&mut value)?;
    if value.len() as u64 > MAX_VALUE_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the value is too large",
        ));
    }
    Ok(value)
}
