//! The test macro of the workspace: each case gets a name of its own, so that a failure names it.

/// Makes one test function a line from a table of named cases.
///
/// Each line is `name: function(arguments);` and becomes a `#[test]` of that name, which calls the
/// function with the arguments. A named case is found by the test runner's own filter.
///
/// ```
/// fn doubles(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected, "doubling keeps its result");
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
