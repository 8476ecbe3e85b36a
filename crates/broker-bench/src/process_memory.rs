//! Memory of the bench's own process, as the kernel counts it.

/// The most memory that was resident so far, in kilobytes (`VmHWM`); 0 where the kernel has no `/proc`.
pub fn peak_memory_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
