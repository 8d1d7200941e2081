use xxhash_rust::xxh3::xxh3_64;

/// Number of claim streams.
pub const PARTITIONS: u64 = 12;

/// The partition of a key; the log stream is `claims-<partition>`.
pub fn partition(key: &str) -> u64 {
    xxh3_64(key.as_bytes()) % PARTITIONS
}
