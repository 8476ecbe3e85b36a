//! Reads the memory usage of this process.

/// Returns the peak resident memory of this process so far, in kilobytes (`VmHWM`), or 0 on systems without `/proc`.
pub fn peak_memory_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
