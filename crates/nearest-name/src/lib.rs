//! Finds the known name that is most similar to an unknown one, for error messages: whoever reads that a key is
//! unknown has most often misspelt one.
//!
//! ```
//! let known = ["services", "installation"];
//! assert_eq!(nearest_name::nearest_name("servise", known), Some("services"));
//! ```

#![warn(missing_docs)]

/// Scales a similarity from 0 to 1 to a whole number, which has a total order.
const SIMILARITY_SCALE: f64 = 1e6;

/// The known name that is most similar to this one, by the Jaro-Winkler similarity; of equally similar ones the
/// last. `None` where there is no known name.
pub fn nearest_name<T: AsRef<str>>(name: &str, known: impl IntoIterator<Item = T>) -> Option<T> {
    let similarity = |other: &T| (strsim::jaro_winkler(name, other.as_ref()) * SIMILARITY_SCALE) as u64;
    known.into_iter().max_by_key(similarity)
}
