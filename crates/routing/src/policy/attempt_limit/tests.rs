use super::AttemptLimit;
use rstest::rstest;

#[rstest]
#[case::best_class_uses_all(3, 1.0, 1.0, 2, true)]
#[case::never_more_than_configured(3, 1.0, 1.0, 3, false)]
#[case::half_the_yield_gets_half_the_retries(3, 0.5, 1.0, 1, true)]
#[case::half_the_yield_gets_no_more(3, 0.5, 1.0, 2, false)]
#[case::rounded_down(3, 0.2, 1.0, 1, false)]
#[case::no_retries_configured(1, 1.0, 1.0, 1, false)]
#[case::zero_attempts_count_as_one(0, 1.0, 1.0, 0, true)]
fn allows_another(
    #[case] max_attempts: u32,
    #[case] own_yield: f64,
    #[case] best_yield: f64,
    #[case] attempts_made: usize,
    #[case] expected: bool,
) {
    let limit = AttemptLimit { max_attempts, own_yield, best_yield };
    assert_eq!(limit.allows_another(attempts_made), expected);
}
