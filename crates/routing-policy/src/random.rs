//! Deterministic pseudorandom numbers from a hash.

/// Hashes `x` to a number above 0 and below 1; the numbers for different `x` are distributed
/// uniformly.
pub(crate) fn uniform(x: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = (mix(x) >> (u64::BITS - MANTISSA_BITS)) as f64;
    (mantissa + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}

/// Hashes `x` with the finalizer of SplitMix64, so that the result depends on each bit of `x`.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
