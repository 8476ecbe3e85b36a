//! Finds the line number of a section or a key in an INI file, for error messages. The INI parser in use does not
//! record line numbers.
//!
//! ```
//! let text = "[log]\n\nformat = json\n";
//! assert_eq!(ini_lines::section_line(text, "log"), Some(1));
//! assert_eq!(ini_lines::key_line(text, "log", "format"), Some(3));
//! assert_eq!(ini_lines::key_line(text, "log", "level"), None);
//! ```

#![warn(missing_docs)]

/// Returns the line number of the first header of `section`, counted from 1, or `None` if the text has no such
/// section.
pub fn section_line(text: &str, section: &str) -> Option<usize> {
    let mut numbered = numbered_lines(text);
    numbered.find(|(_, line)| section_name(line) == Some(section)).map(|(number, _)| number)
}

/// Returns the line number of the first occurrence of `key` in `section`, counted from 1, or `None` if the section
/// does not contain the key.
///
/// A section with several headers is searched as one. Keys before the first header are never found.
pub fn key_line(text: &str, section: &str, key: &str) -> Option<usize> {
    let mut is_in_section = false;
    for (number, line) in numbered_lines(text) {
        if let Some(name) = section_name(line) {
            is_in_section = name == section;
        } else if is_in_section && key_name(line) == Some(key) {
            return Some(number);
        }
    }
    None
}

fn numbered_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().map(|(index, line)| (index + 1, line.trim()))
}

fn section_name(line: &str) -> Option<&str> {
    line.strip_prefix('[')?.strip_suffix(']').map(str::trim)
}

fn key_name(line: &str) -> Option<&str> {
    line.split(['=', ':']).next().map(str::trim)
}
