//! `steady`: no faults; measures the overhead of the policy.

use super::{default_load, default_shape, no_faults, no_fields, no_load};
use crate::experiment::case::CaseSpec;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "steady",
    summary: "load of two fifths of the capacity, no faults",
    compares_baseline: true,
    allows_refusals: false,
    seconds: 5,
    shape: default_shape,
    load: default_load,
    additional_load: no_load,
    faults: no_faults,
    fields: no_fields,
    plot: None,
};
