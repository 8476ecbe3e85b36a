//! The length of values in JSON.

/// The length of an escape with four hexadecimal digits, such as `\u0001`.
const UNICODE_ESCAPE_LENGTH: usize = 6;
/// The length of an escape with one letter, such as `\n`.
const SHORT_ESCAPE_LENGTH: usize = 2;

/// Returns the length of a UTF-8 text as the content of a JSON string, with its escapes and without its quotes.
pub fn json_string_length(text: &[u8]) -> usize {
    text.iter().copied().map(encoded_length).sum()
}

fn encoded_length(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => SHORT_ESCAPE_LENGTH,
        0..0x20 => UNICODE_ESCAPE_LENGTH,
        _ => 1,
    }
}

#[cfg(test)]
mod tests;
