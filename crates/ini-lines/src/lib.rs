//! Finds the line of a section, or of a key in it, in an INI text, for error messages: the INI parser does not
//! record lines.
//!
//! ```
//! let text = "[log]\n\nformat = json\n";
//! assert_eq!(ini_lines::section_line(text, "log"), Some(1));
//! assert_eq!(ini_lines::key_line(text, "log", "format"), Some(3));
//! assert_eq!(ini_lines::key_line(text, "log", "level"), None);
//! ```

#![warn(missing_docs)]

/// The line of a section's first header, counted from 1; `None` where there is no such section.
pub fn section_line(text: &str, section: &str) -> Option<usize> {
    let mut numbered = numbered_lines(text);
    numbered.find(|(_, line)| section_name(line) == Some(section)).map(|(number, _)| number)
}

/// The line of the first occurrence of a key in a section, counted from 1; `None` where the section does not
/// have it. A key before the first section is not found.
pub fn key_line(text: &str, section: &str, key: &str) -> Option<usize> {
    let mut is_within = false;
    for (number, line) in numbered_lines(text) {
        if let Some(name) = section_name(line) {
            is_within = name == section;
        } else if is_within && key_name(line) == Some(key) {
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
