//! What a process of this machine uses, as the system counts it.

const BYTES_PER_KIB: u64 = 1_024;

/// Returns the largest memory that a process has held, in bytes; `None` if it has ended.
pub fn peak_memory_bytes(process: u32) -> Option<u64> {
    status_bytes(process, "VmHWM:")
}

/// Returns the memory that a process holds now, in bytes; `None` if it has ended.
pub fn memory_bytes(process: u32) -> Option<u64> {
    status_bytes(process, "VmRSS:")
}

fn status_bytes(process: u32, key: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(key))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

/// Returns how many file descriptors a process has open; 0 if it has ended.
pub fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
