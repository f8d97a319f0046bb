//! Services are found by name and stop in the reverse order of their start.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use yuccalift_kernel::{Kernel, RegistryError, ServiceRegistry};
use yuccalift_testkit::cases;

const LIMIT: Duration = Duration::from_secs(5);

fn run<F: Future<Output = ()>>(future: F) {
    actix_rt::System::new().block_on(future);
}

fn stops_last_first() {
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

/// Starts a service that uses only its guard's token, as most do, and takes a while to finish.
fn start_busy(kernel: &mut Kernel, done: &Rc<Cell<bool>>) {
    let guard = kernel.start("busy");
    let finished = Rc::clone(done);
    actix_rt::spawn(async move {
        guard.token.cancelled().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        finished.set(true);
    });
}

fn waits_for_what_a_service_has_left() {
    run(async {
        let mut kernel = Kernel::new();
        let done = Rc::new(Cell::new(false));
        start_busy(&mut kernel, &done);
        let report = kernel.stop(LIMIT).await;
        assert!(done.get(), "the stop waits until the service has finished");
        assert_eq!(report.stopped, ["busy"], "and names it as stopped");
    });
}

fn names_the_overdue() {
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

fn finds_by_name_and_type() {
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
    the_last_started_stops_first: stops_last_first();
    a_busy_service_is_waited_for: waits_for_what_a_service_has_left();
    an_overdue_service_is_named: names_the_overdue();
    services_are_found_by_name_and_type: finds_by_name_and_type();
}
