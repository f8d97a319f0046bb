//! `steady`: nothing is wrong; shows what the policy costs.

use super::{no_faults, no_fields, no_load, usual_load, usual_shape};
use crate::experiment::case::CaseSpec;

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "steady",
    about: "two fifths of the capacity, and nothing wrong",
    compared: true,
    allows_refusals: false,
    seconds: 5,
    shape: usual_shape,
    load: usual_load,
    side_load: no_load,
    faults: no_faults,
    fields: no_fields,
    plot: None,
};
