//! Detection of responses whose length is wrong, by their value and by the bytes that follow.
//!
//! A node that writes a length that is too small leaves the rest of the value behind the frame. One that is too large
//! takes in the start of the next frame, or all of it. Neither is an error of the format, so the decoder can't see it.

use super::LENGTH_BYTES;
use super::inbound_frame::is_known_kind;

/// The length and the type of a frame.
const HEADER_BYTES: usize = LENGTH_BYTES + 1;

/// Returns whether a value contains the start of a frame. Its own frame was then too long, even if a valid frame
/// follows.
pub fn contains_frame_start(value: &[u8], max_frame_bytes: usize) -> bool {
    // The upper bytes of a length are zero.
    value.contains(&0) && find_frame_start(value, max_frame_bytes).is_some()
}

/// Returns whether the bytes that follow a response, which are not a valid frame, indicate that its length was wrong:
/// they complete the start of a frame at the end of the value, or they begin with what may be the rest of the value.
/// Otherwise they are noise, and the response is valid.
pub fn has_wrong_length(value: &[u8], following: &[u8], max_frame_bytes: usize) -> bool {
    ends_with_frame_start(value, following, max_frame_bytes)
        || may_begin_with_rest(value, following, max_frame_bytes)
}

/// Returns whether a frame starts in the value and continues in the bytes that follow.
fn ends_with_frame_start(value: &[u8], following: &[u8], max_frame_bytes: usize) -> bool {
    let tail = &value[value.len().saturating_sub(HEADER_BYTES - 1)..];
    let head = &following[..following.len().min(HEADER_BYTES - 1)];
    let start = find_frame_start(&[tail, head].concat(), max_frame_bytes);
    start.is_some_and(|position| position < tail.len())
}

/// Returns whether the bytes before the next frame, if there is one, may be the rest of the value. A value that is text
/// does not continue with control characters.
fn may_begin_with_rest(value: &[u8], following: &[u8], max_frame_bytes: usize) -> bool {
    let length = find_frame_start(following, max_frame_bytes).unwrap_or(following.len());
    let rest = &following[..length];
    let may_have_controls = value.iter().copied().any(is_control);
    !rest.is_empty()
        && is_incomplete_utf8(rest)
        && (may_have_controls || !rest.iter().copied().any(is_control))
}

/// Returns the position of the first bytes that may be the length and the type of a frame.
fn find_frame_start(bytes: &[u8], max_frame_bytes: usize) -> Option<usize> {
    bytes.windows(HEADER_BYTES).position(|header| {
        let Some((prefix, [kind])) = header.split_first_chunk::<LENGTH_BYTES>() else { return false };
        let length = u32::from_le_bytes(*prefix) as usize;
        (1..=max_frame_bytes).contains(&length) && is_known_kind(*kind)
    })
}

/// Returns whether bytes are UTF-8, except that the last character may be incomplete.
fn is_incomplete_utf8(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).err().is_none_or(|error| error.error_len().is_none())
}

/// Returns whether a byte is a control character other than white space.
fn is_control(byte: u8) -> bool {
    byte.is_ascii_control() && !byte.is_ascii_whitespace()
}

#[cfg(test)]
mod tests;
