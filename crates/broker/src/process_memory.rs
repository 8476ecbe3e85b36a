//! The memory that the operating system counts for this process.

const BYTES_PER_KIB: usize = 1024;

/// Returns the resident memory of the process in bytes, or `None` if the operating system does not report it.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = resident.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
