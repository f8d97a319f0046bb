//! Merging parts: [`greatest_records`].

/// The size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// The greatest records of several parts, greatest first, compared byte by byte; equal ones all
/// count, and a rest that is shorter than a record is none.
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
