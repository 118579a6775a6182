//! Deterministic draws from a hash.

/// A number above 0 and below 1, spread evenly over `x`.
pub(crate) fn uniform(x: u64) -> f64 {
    ((mix(x) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// A number that hangs on each bit of `x`.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
