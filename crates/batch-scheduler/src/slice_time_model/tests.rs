//! Tests of the model of slice times.

use super::*;

const BOUNDS: SliceBounds = SliceBounds {
    target: 100_000,
    initial_tokens: 500,
    min_tokens: 16,
    max_tokens: 100_000,
};

/// Records `slices` slices, each as large as the model allows. `time` returns the duration of a
/// slice from its tokens and index. Returns the tokens of the last slice.
fn serve_slices(model: &mut SliceTimeModel, slices: u32, time: impl Fn(u64, u32) -> Micros) -> u64 {
    let mut tokens = 0;
    for n in 0..slices {
        tokens = model.token_limit(BOUNDS);
        model.record_success(tokens, time(tokens, n));
    }
    tokens
}

#[test]
fn slices_grow_up_to_their_target_and_stay_within_it() {
    // A slice takes 20 ms plus 40 us per token, so the target of 100 ms allows 2,000 tokens.
    let time = |tokens: u64, n: u32| 20_000 + 40 * tokens as Micros + Micros::from(n % 3) * 1_000;
    let tokens = serve_slices(&mut SliceTimeModel::new(), 80, time);
    assert!((1_700..=2_000).contains(&tokens), "{tokens}");
    assert!(time(tokens, 2) <= 100_000);
}

#[test]
fn the_model_follows_endpoints_that_slow_down_and_recover() {
    let mut model = SliceTimeModel::new();
    let time = |tokens: u64, _| 5_000 + 40 * tokens as Micros;
    let before = serve_slices(&mut model, 60, time);
    let slow = serve_slices(&mut model, 60, |tokens, n| 5 * time(tokens, n));
    assert!(slow < before / 3, "{before} {slow}");
    let after = serve_slices(&mut model, 120, time);
    assert!(after > before * 3 / 4, "{before} {after}");
}

#[test]
fn failures_decrease_slices_within_the_bounds_and_outlying_times_are_tolerated() {
    let mut model = SliceTimeModel::new();
    let tokens = serve_slices(&mut model, 40, |tokens, _| 40 * tokens as Micros);
    for _ in 0..3 {
        model.record_failure();
    }
    assert!(model.token_limit(BOUNDS) < tokens * 6 / 10);
    for _ in 0..99 {
        model.record_failure();
    }
    let at_least_400 = SliceBounds {
        min_tokens: 400,
        ..BOUNDS
    };
    assert!(model.token_limit(at_least_400) >= 400);
    for time in [0, -5, Micros::MAX / 4] {
        model.record_success(10, time);
        let at_most_999 = SliceBounds {
            max_tokens: 999,
            ..BOUNDS
        };
        assert!((16..=999).contains(&model.token_limit(at_most_999)));
    }
}

#[test]
fn there_is_no_prediction_from_too_few_samples() {
    let mut model = SliceTimeModel::new();
    let bounds = SliceBounds {
        target: 1,
        max_tokens: 400,
        ..BOUNDS
    };
    assert_eq!((model.predict(10), model.token_limit(bounds)), (None, 400));
    for _ in 0..MIN_SAMPLES {
        model.record_success(100, 1_000);
    }
    assert_eq!(model.predict(200), Some(2_000));
}
