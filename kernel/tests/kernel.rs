//! Services are found by name and stop in reverse order of their start; pauses are detected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use yuccalift_kernel::{Kernel, RegistryError, ServiceRegistry, detect_pause};
use yuccalift_testkit::cases;

const LIMIT: Duration = Duration::from_secs(5);

fn run<F: Future<Output = ()>>(future: F) {
    actix_rt::System::new().block_on(future);
}

fn check_stop_order() {
    run(async {
        let mut kernel = Kernel::new();
        for name in ["first", "second"] {
            let guard = kernel.start(name);
            actix_rt::spawn(async move { guard.token.cancelled().await });
        }
        let report = kernel.stop(LIMIT).await;
        assert_eq!(
            report.stopped,
            ["second", "first"],
            "the last started stops first"
        );
        assert!(report.overdue.is_empty(), "no service is overdue");
    });
}

fn overdue_service_is_reported() {
    run(async {
        let mut kernel = Kernel::new();
        let _held = kernel.start("stuck");
        let report = kernel.stop(Duration::from_millis(10)).await;
        assert_eq!(
            report.overdue,
            ["stuck"],
            "a service that holds its guard is overdue"
        );
    });
}

/// A service that uses only the guard's token still holds the whole guard until the service ends.
fn kernel_waits_for_work_after_cancellation() {
    run(async {
        let mut kernel = Kernel::new();
        let done = Arc::new(AtomicBool::new(false));
        let guard = kernel.start("finishing");
        let finished = Arc::clone(&done);
        actix_rt::spawn(async move {
            guard.token.cancelled().await;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            finished.store(true, Ordering::Release);
        });
        let report = kernel.stop(LIMIT).await;
        assert_eq!(report.stopped, ["finishing"], "the service stops in time");
        assert!(
            done.load(Ordering::Acquire),
            "the kernel waited until the service had ended"
        );
    });
}

/// A pause is detected if either clock shows a late wake-up.
fn pause_is_detected(monotonic_ms: u64, wall_ms: u64, expected_ms: Option<u64>) {
    let elapsed = Duration::from_millis;
    let pause = detect_pause(elapsed(monotonic_ms), elapsed(wall_ms));
    assert_eq!(pause, expected_ms.map(Duration::from_millis));
}

fn check_registry_lookup() {
    let registry = ServiceRegistry::new();
    registry.publish("number", 7_u32).expect("the name is free");
    assert_eq!(registry.find::<u32>("number"), Ok(7));
    assert_eq!(
        registry.publish("number", 8_u32),
        Err(RegistryError::Taken { name: "number" })
    );
    assert_eq!(
        registry.find::<u32>("other"),
        Err(RegistryError::Missing { name: "other" })
    );
    let wrong = registry.find::<u64>("number");
    assert!(
        matches!(wrong, Err(RegistryError::WrongType { .. })),
        "a wrong type is an error"
    );
}

cases! {
    the_last_started_stops_first: check_stop_order();
    an_overdue_service_is_named: overdue_service_is_reported();
    the_kernel_waits_for_work_after_cancellation: kernel_waits_for_work_after_cancellation();
    an_on_time_wake_up_is_not_a_pause: pause_is_detected(100, 100, None);
    a_late_wake_up_is_a_pause: pause_is_detected(5_100, 5_100, Some(5_000));
    a_suspended_machine_is_a_pause: pause_is_detected(100, 60_100, Some(60_000));
    services_are_found_by_name_and_type: check_registry_lookup();
}
