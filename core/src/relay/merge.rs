//! Merges the records of several replies: [`greatest_records`].

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `wanted` greatest records of all parts in descending byte order. Duplicates are
/// kept, and trailing bytes that are shorter than a record are ignored.
pub fn greatest_records<'part>(parts: impl Iterator<Item = &'part [u8]>, wanted: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > wanted && wanted > 0 {
        records.select_nth_unstable_by(wanted - 1, |left, right| right.cmp(left));
    }
    records.truncate(wanted);
    records.sort_unstable_by(|left, right| right.cmp(left));
    records.concat()
}
