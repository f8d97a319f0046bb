//! Test macro of the workspace: gives each case its own name, so that a failure names the case.

/// Generates one test function for each line of a table of named cases.
///
/// Each line is `name: function(arguments);` and becomes a `#[test]` function of that name that
/// calls `function` with the arguments. The test runner's filter can select cases by name.
///
/// ```
/// fn doubles(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected, "the input is doubled");
/// }
/// yuccalift_testkit::cases! {
///     one_doubles: doubles(1, 2);
///     two_doubles: doubles(2, 4);
/// }
/// # fn main() {}
/// ```
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident : $function:ident ( $($argument:expr),* $(,)? );)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $function($($argument),*);
            }
        )+
    };
}
