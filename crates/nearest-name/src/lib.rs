//! Finds the known name that is most similar to an unknown one. Error messages about unknown keys suggest this name,
//! because most unknown keys are misspelled.
//!
//! ```
//! let known = ["services", "installation"];
//! assert_eq!(nearest_name::nearest_name("servise", known), Some("services"));
//! ```

#![warn(missing_docs)]

/// Scales similarities, which are from 0 to 1, to integers: floating-point numbers have no total order.
const SIMILARITY_SCALE: f64 = 1e6;

/// Returns the item of `known` with the highest Jaro-Winkler similarity to `name`, or `None` if `known` is empty.
///
/// Of several equally similar items, the last is returned.
pub fn nearest_name<T: AsRef<str>>(name: &str, known: impl IntoIterator<Item = T>) -> Option<T> {
    let similarity = |other: &T| (strsim::jaro_winkler(name, other.as_ref()) * SIMILARITY_SCALE) as u64;
    known.into_iter().max_by_key(similarity)
}
