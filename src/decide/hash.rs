//! Hash function by which all nodes agree on the engines for a text.

/// Hashes a text with FNV-1a and a final mix. The result must be the same at every node and in every version.
pub(super) fn hash(text: &str, salt: u64) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ byte as u64).wrapping_mul(0x0000_0100_0000_01b3);
    let seed = 0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = text.bytes().fold(seed, mix);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (hash >> 32)
}
