//! Stand-ins over real connections: what they answer, count, refuse and record.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use yuccalift_standins::leaf::options::CRASH_MARK;
use yuccalift_standins::leaf::{DrainSign, RunEnd, RunKind};
use yuccalift_standins::{
    LeafCommand, LeafFleet, LeafOptions, LeafStandin, PlatformMode, PlatformOptions,
    PlatformStandin,
};
use yuccalift_wire::leaf::{LeafCancel, LeafRefusal, LeafRefusalCode, LeafReply, LeafRequest};
use yuccalift_wire::platform::ValueChanges;

/// Longer than any answer of these tests takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a test waits to see that nothing comes.
const SILENCE: Duration = Duration::from_millis(200);

type LeafAnswer = Result<LeafReply, LeafRefusal>;

fn client() -> Client {
    Client::builder().timeout(CALL_TIMEOUT).finish()
}

fn request(attempt: u64, text: &str) -> LeafRequest {
    LeafRequest {
        request: format!("r{attempt}").into(),
        query: 7,
        attempt,
        sender: "test".into(),
        shard: 0,
        epoch: 1,
        version: 1,
        text: text.into(),
        limit: 2,
        time_left_ms: 5_000,
    }
}

async fn send(
    client: &Client,
    address: SocketAddr,
    path: &str,
    request: &LeafRequest,
) -> Result<LeafAnswer, SendRequestError> {
    let url = format!("http://{address}/{path}");
    let mut response = client.post(url).send_json(request).await?;
    let body = response.body().await.expect("a body follows its head");
    if response.status().is_success() {
        Ok(Ok(serde_json::from_slice(&body).expect("a reply is typed")))
    } else {
        let refusal = serde_json::from_slice(&body).expect("a refusal is typed");
        Ok(Err(refusal))
    }
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

fn quick_leaf() -> LeafOptions {
    LeafOptions {
        service_time: Duration::from_millis(1),
        connect_cost: Duration::ZERO,
        ..LeafOptions::default()
    }
}

fn slow_leaf() -> LeafOptions {
    LeafOptions {
        service_time: Duration::from_secs(1),
        service_sigma: 0.0,
        ..quick_leaf()
    }
}

fn leaf_answers_and_records() {
    let leaf = LeafStandin::start(quick_leaf()).expect("the leaf starts");
    run(async {
        let client = client();
        let search = send(&client, leaf.address(), "search", &request(1, "tag")).await;
        let reply = search.expect("it answers").expect("it runs");
        assert_eq!(&*reply.hits[0].key, "0/1/0/tag", "a hit names its request");
        assert_eq!(reply.hits.len(), 2, "the limit holds");
        let execute = send(&client, leaf.address(), "execute", &request(2, "tag")).await;
        assert!(execute.expect("it answers").is_ok(), "it runs");
    });
    let kinds: Vec<_> = leaf.runs().iter().map(|run| (run.kind, run.end)).collect();
    let expected = vec![
        (RunKind::Search, RunEnd::Done),
        (RunKind::Execute, RunEnd::Done),
    ];
    assert_eq!(kinds, expected, "each run is recorded once");
}

fn leaf_refuses(command: LeafCommand, change: fn(&mut LeafRequest), code: LeafRefusalCode) {
    let leaf = LeafStandin::start(quick_leaf()).expect("the leaf starts");
    leaf.command(command);
    run(async {
        let mut request = request(1, "tag");
        change(&mut request);
        let answer = send(&client(), leaf.address(), "search", &request).await;
        let refusal = answer.expect("it answers").expect_err("it refuses");
        assert_eq!(refusal.code, code, "it says why");
        assert!(!refusal.ran, "it has not run");
    });
    assert!(leaf.runs().is_empty(), "a refused request leaves no run");
}

fn leaf_sheds() {
    let options = LeafOptions {
        slots: 1,
        queue_limit: 1,
        ..slow_leaf()
    };
    let leaf = LeafStandin::start(options).expect("the leaf starts");
    run(async {
        let client = client();
        let address = leaf.address();
        let sends = (1..=6).map(|attempt| {
            let client = client.clone();
            async move { send(&client, address, "search", &request(attempt, "tag")).await }
        });
        let answers = futures_util::future::join_all(sends).await;
        let shed = answers
            .iter()
            .filter(|answer| matches!(answer, Ok(Err(refusal)) if refusal.code == LeafRefusalCode::Shed))
            .count();
        assert_eq!(shed, 4, "one runs, one waits, the others are shed");
    });
}

fn leaf_cancels() {
    let leaf = LeafStandin::start(slow_leaf()).expect("the leaf starts");
    run(async {
        let client = client();
        let address = leaf.address();
        let searching = actix_rt::spawn({
            let client = client.clone();
            async move { send(&client, address, "search", &request(1, "tag")).await }
        });
        while leaf.counts().running == 0 {
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        let cancel = LeafCancel {
            sender: "test".into(),
            attempt: 1,
        };
        let url = format!("http://{address}/cancel");
        client
            .post(url)
            .send_json(&cancel)
            .await
            .expect("it takes a cancel");
        let answer = searching.await.expect("the call ends").expect("it answers");
        let refusal = answer.expect_err("it was cancelled");
        assert_eq!(refusal.code, LeafRefusalCode::Cancelled, "it says so");
        assert!(refusal.ran, "it had begun");
    });
    assert_eq!(leaf.runs()[0].end, RunEnd::Cancelled, "the record says so");
}

fn leaf_limits_connections() {
    let options = LeafOptions {
        connections: 2,
        ..slow_leaf()
    };
    let leaf = LeafStandin::start(options).expect("the leaf starts");
    run(async {
        let sends = (1..=4).map(|attempt| {
            let address = leaf.address();
            async move { send(&client(), address, "search", &request(attempt, "tag")).await }
        });
        let answers = futures_util::future::join_all(sends).await;
        let answered = answers.iter().filter(|answer| answer.is_ok()).count();
        assert_eq!(answered, 2, "connections beyond the limit are closed");
    });
    let counts = leaf.connections();
    assert!(counts.peak > 2, "the peak shows that the limit was passed");
    assert!(counts.refused >= 2, "the refused ones are counted");
}

fn leaf_crashes_and_returns() {
    let options = LeafOptions {
        crash_downtime: Duration::from_millis(1_500),
        ..quick_leaf()
    };
    let leaf = LeafStandin::start(options).expect("the leaf starts");
    run(async {
        let client = client();
        let marked = request(1, CRASH_MARK);
        let answer = send(&client, leaf.address(), "search", &marked).await;
        assert!(answer.is_err(), "a crash answers nothing");
        let refused = send(&client, leaf.address(), "search", &request(2, "tag")).await;
        assert!(refused.is_err(), "it is down");
        let mut tries = 0;
        while send(&client, leaf.address(), "search", &request(3, "tag"))
            .await
            .is_err()
        {
            tries += 1;
            assert!(tries < 500, "it comes back");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert_eq!(
        leaf.runs()[0].end,
        RunEnd::Open,
        "the crashing run never ended"
    );
}

fn leaf_goes_silent() {
    let leaf = LeafStandin::start(quick_leaf()).expect("the leaf starts");
    run(async {
        let old = client();
        let answer = send(&old, leaf.address(), "search", &request(1, "tag")).await;
        assert!(answer.is_ok(), "the connection works at first");
        leaf.command(LeafCommand::Silence);
        let again = request(2, "tag");
        let silent = send(&old, leaf.address(), "search", &again);
        let outcome = actix_rt::time::timeout(SILENCE, silent).await;
        assert!(outcome.is_err(), "the old connection never answers");
        let answer = send(&client(), leaf.address(), "search", &request(3, "tag")).await;
        assert!(answer.is_ok(), "a new connection works");
    });
    assert_eq!(
        leaf.runs().len(),
        2,
        "the silent connection's request did not arrive"
    );
}

fn fleet_serves_each_leaf() {
    let options = (0..20).map(|_| quick_leaf()).collect();
    let fleet = LeafFleet::start(options, 2).expect("the fleet starts");
    run(async {
        let client = client();
        for leaf in fleet.leafs() {
            let answer = send(&client, leaf.address(), "search", &request(1, "tag")).await;
            assert!(answer.is_ok(), "each leaf answers");
        }
    });
    let runs = fleet.leafs().iter().map(|leaf| leaf.runs().len());
    assert!(runs.into_iter().all(|count| count == 1), "each ran its own");
}

async fn read_values(platform: &PlatformStandin, query: &str) -> (u16, Option<ValueChanges>) {
    let url = format!("http://{}/v1/values?{query}", platform.address());
    let mut response = client().get(url).send().await.expect("it answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("a body follows its head");
    (status, serde_json::from_slice(&body).ok())
}

fn platform_serves_changes() {
    let platform = PlatformStandin::start(PlatformOptions::default()).expect("it starts");
    run(async {
        platform.put_value("b", "1");
        platform.put_value("a", "1");
        platform.put_value("b", "2");
        let (_, changes) = read_values(&platform, "after=0").await;
        let changes = changes.expect("it serves values");
        assert_eq!(changes.version, 3, "each change makes a version");
        let versions: Vec<_> = changes.changes.iter().map(|value| value.version).collect();
        assert_eq!(
            versions,
            vec![2, 3],
            "the newest of each key, sorted by key"
        );
        let (_, later) = read_values(&platform, "after=2").await;
        assert_eq!(
            later.expect("it serves values").changes.len(),
            1,
            "only what is newer"
        );
        platform.set_mode(PlatformMode::Stale(1));
        let (_, stale) = read_values(&platform, "after=0").await;
        assert_eq!(
            stale.expect("it serves values").version,
            1,
            "an old version is served"
        );
        platform.set_mode(PlatformMode::Down);
        let (status, _) = read_values(&platform, "after=0").await;
        assert_eq!(status, 503, "a platform that is down serves nothing");
    });
    assert_eq!(platform.calls().total, 4, "each call is counted");
}

fn platform_watch_waits() {
    let platform = PlatformStandin::start(PlatformOptions::default()).expect("it starts");
    run(async {
        let watch = read_values(&platform, "after=0&wait_ms=4000");
        let change = async {
            while platform.calls().waiting == 0 {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
            }
            platform.put_value("a", "1");
        };
        let ((_, changes), ()) = futures_util::future::join(watch, change).await;
        assert_eq!(
            changes.expect("it serves values").version,
            1,
            "the watch sees the change"
        );
    });
    assert_eq!(
        platform.calls().total,
        1,
        "a waiting watch counts as one call"
    );
}

fn platform_limits_calls() {
    let options = PlatformOptions {
        calls_per_second: 3,
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::start(options).expect("it starts");
    run(async {
        let reads = (0..8).map(|_| read_values(&platform, "after=0"));
        let answers = futures_util::future::join_all(reads).await;
        let refused = answers.iter().filter(|(status, _)| *status == 429).count();
        assert!(refused >= 2, "calls beyond the limit are refused");
    });
    assert!(platform.calls().refused >= 2, "and counted");
}

yuccalift_testkit::cases! {
    a_leaf_answers_and_records: leaf_answers_and_records();
    a_leaf_sheds_beyond_its_queue: leaf_sheds();
    a_leaf_cancels_a_run: leaf_cancels();
    a_leaf_limits_connections: leaf_limits_connections();
    a_leaf_crashes_and_returns: leaf_crashes_and_returns();
    a_leaf_goes_silent: leaf_goes_silent();
    a_draining_leaf_refuses:
        leaf_refuses(LeafCommand::Drain(DrainSign::Refusal), |_| {}, LeafRefusalCode::Draining);
    a_leaf_refuses_a_version_that_it_lacks:
        leaf_refuses(LeafCommand::Hold(vec![2]), |_| {}, LeafRefusalCode::WrongVersion);
    a_leaf_refuses_a_shard_that_it_lacks:
        leaf_refuses(LeafCommand::Host(vec![5]), |_| {}, LeafRefusalCode::NotHosted);
    a_leaf_refuses_what_has_expired:
        leaf_refuses(LeafCommand::Undrain, |it| it.time_left_ms = 0, LeafRefusalCode::Expired);
    a_fleet_serves_each_leaf: fleet_serves_each_leaf();
    the_platform_serves_changes: platform_serves_changes();
    the_platform_keeps_a_watch_waiting: platform_watch_waits();
    the_platform_limits_calls: platform_limits_calls();
}
