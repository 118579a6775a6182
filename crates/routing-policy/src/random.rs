//! Deterministic draws from a hash.

/// A number above 0 and below 1, spread evenly over `x`.
pub(crate) fn uniform(x: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = (mix(x) >> (u64::BITS - MANTISSA_BITS)) as f64;
    (mantissa + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}

/// A number that depends on each bit of `x`: the finalizer of SplitMix64.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
