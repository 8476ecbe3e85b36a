use super::{ClassYield, ClassYields};
use crate::ids::ClassId;
use rstest::rstest;

#[rstest]
fn yields_are_priority_weight_for_each_shard_request() {
    let class_yield = ClassYield::of(2.0, 0.5, 4, 10);
    assert_eq!(class_yield, ClassYield { at_min_coverage: 0.25, at_full_coverage: 0.2 });
    let empty = ClassYield::of(2.0, 0.5, 0, 0);
    assert_eq!(empty, ClassYield { at_min_coverage: 1.0, at_full_coverage: 2.0 });
}

#[rstest]
fn new_samples_have_a_weight_of_a_quarter() {
    let mut yields = ClassYields::default();
    yields.record(ClassId(0), ClassYield { at_min_coverage: 1.0, at_full_coverage: 2.0 });
    yields.record(ClassId(0), ClassYield { at_min_coverage: 2.0, at_full_coverage: 6.0 });
    assert_eq!(yields.best_at_min_coverage(0.0), 1.25);
    assert_eq!(yields.best_at_full_coverage(0.0), 3.0);
}

#[rstest]
fn best_yield_is_at_least_the_own_and_never_zero() {
    let mut yields = ClassYields::default();
    assert!(yields.best_at_min_coverage(0.0) > 0.0);
    yields.record(ClassId(0), ClassYield { at_min_coverage: 1.0, at_full_coverage: 1.0 });
    assert_eq!(yields.best_at_min_coverage(3.0), 3.0);
    yields.retain(|class| class != ClassId(0));
    assert_eq!(yields.best_at_full_coverage(0.5), 0.5);
}
