//! Answers, refusals, counters and records of the stand-ins over real connections.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_standins::leaf::{DrainSignal, RunKind, RunStatus};
use yuccalift_standins::{
    LeafCommand, LeafFleet, LeafOptions, LeafStandin, PlatformMode, PlatformOptions,
    PlatformStandin,
};
use yuccalift_wire::leaf::{LeafCancel, LeafRefusal, LeafRefusalCode, LeafReply, LeafRequest};
use yuccalift_wire::platform::ValueChanges;

/// Time limit of a call; longer than any answer takes in these tests.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an answer after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

type LeafAnswer = Result<LeafReply, LeafRefusal>;

fn client() -> Client {
    Client::builder().timeout(CLIENT_TIMEOUT).finish()
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
    let body = response.body().await.expect("the response has a body");
    if response.status().is_success() {
        Ok(Ok(
            serde_json::from_slice(&body).expect("the body is a reply")
        ))
    } else {
        let refusal = serde_json::from_slice(&body).expect("the body is a refusal");
        Ok(Err(refusal))
    }
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

fn quick_leaf() -> LeafOptions {
    LeafOptions {
        service_time: Duration::from_millis(1),
        connect_delay: Duration::ZERO,
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
        let reply = search
            .expect("the stand-in answers")
            .expect("the search runs");
        assert_eq!(&*reply.hits[0].key, "0/1/0/tag", "a hit names its request");
        assert_eq!(reply.hits.len(), 2, "the number of hits is limited");
        let execute = send(&client, leaf.address(), "execute", &request(2, "tag")).await;
        assert!(
            execute.expect("the stand-in answers").is_ok(),
            "the request runs"
        );
    });
    let kinds: Vec<_> = leaf.runs().iter().map(|run| (run.kind, run.end)).collect();
    let expected = vec![
        (RunKind::Search, RunStatus::Done),
        (RunKind::Execute, RunStatus::Done),
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
        let refusal = answer
            .expect("the stand-in answers")
            .expect_err("the leaf refuses");
        assert_eq!(refusal.code, code, "the refusal states its cause");
        assert!(!refusal.ran, "the request has not run");
    });
    assert!(
        leaf.runs().is_empty(),
        "a refused request is not recorded as a run"
    );
}

fn leaf_sheds_beyond_queue() {
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
        assert_eq!(shed, 4, "one search runs, one waits, the others are shed");
    });
}

fn leaf_cancels() {
    let options = LeafOptions {
        // Longer than the cancellation takes on a busy machine.
        service_time: Duration::from_secs(30),
        ..slow_leaf()
    };
    let leaf = LeafStandin::start(options).expect("the leaf starts");
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
            .expect("the leaf accepts the cancellation");
        let answer = searching
            .await
            .expect("the call ends")
            .expect("the stand-in answers");
        let refusal = answer.expect_err("the search was cancelled");
        assert_eq!(
            refusal.code,
            LeafRefusalCode::Cancelled,
            "the refusal states the cancellation"
        );
        assert!(refusal.ran, "the search had started");
    });
    assert_eq!(
        leaf.runs()[0].end,
        RunStatus::Cancelled,
        "the run is recorded as cancelled"
    );
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
    assert!(counts.peak > 2, "the peak includes refused connections");
    assert!(counts.refused >= 2, "refused connections are counted");
}

fn leaf_crashes_and_restarts() {
    let options = LeafOptions {
        crash_downtime: Duration::from_millis(1_500),
        ..quick_leaf()
    };
    let leaf = LeafStandin::start(options).expect("the leaf starts");
    run(async {
        let client = client();
        let marked = request(1, CRASH_MARKER);
        let answer = send(&client, leaf.address(), "search", &marked).await;
        assert!(answer.is_err(), "a crash sends no answer");
        let refused = send(&client, leaf.address(), "search", &request(2, "tag")).await;
        assert!(refused.is_err(), "the leaf is down");
        let mut retries = 0;
        while send(&client, leaf.address(), "search", &request(3, "tag"))
            .await
            .is_err()
        {
            retries += 1;
            assert!(retries < 500, "the leaf restarts");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert_eq!(
        leaf.runs()[0].end,
        RunStatus::Open,
        "the crashing run never ended"
    );
}

fn leaf_goes_silent() {
    let leaf = LeafStandin::start(quick_leaf()).expect("the leaf starts");
    run(async {
        let old_client = client();
        let answer = send(&old_client, leaf.address(), "search", &request(1, "tag")).await;
        assert!(answer.is_ok(), "the connection works at first");
        leaf.command(LeafCommand::Silence);
        let second_request = request(2, "tag");
        let silent = send(&old_client, leaf.address(), "search", &second_request);
        let outcome = actix_rt::time::timeout(SILENCE_TIMEOUT, silent).await;
        assert!(outcome.is_err(), "the open connection stops answering");
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
    assert!(
        runs.into_iter().all(|count| count == 1),
        "each leaf ran one request"
    );
}

async fn read_values(platform: &PlatformStandin, query: &str) -> (u16, Option<ValueChanges>) {
    let url = format!("http://{}/v1/values?{query}", platform.address());
    let mut response = client()
        .get(url)
        .send()
        .await
        .expect("the stand-in answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the response has a body");
    (status, serde_json::from_slice(&body).ok())
}

fn platform_serves_changes() {
    let platform = PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
    run(async {
        platform.put_value("b", "1");
        platform.put_value("a", "1");
        platform.put_value("b", "2");
        let (_, changes) = read_values(&platform, "after=0").await;
        let changes = changes.expect("the platform serves values");
        assert_eq!(changes.version, 3, "each change creates a version");
        let versions: Vec<_> = changes.changes.iter().map(|value| value.version).collect();
        assert_eq!(
            versions,
            vec![2, 3],
            "the latest change of each key is served, sorted by key"
        );
        let (_, later) = read_values(&platform, "after=2").await;
        assert_eq!(
            later.expect("the platform serves values").changes.len(),
            1,
            "only later changes are served"
        );
        platform.set_mode(PlatformMode::Stale(1));
        let (_, stale) = read_values(&platform, "after=0").await;
        assert_eq!(
            stale.expect("the platform serves values").version,
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
    let platform = PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
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
            changes.expect("the platform serves values").version,
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
    let platform = PlatformStandin::start(options).expect("the platform starts");
    run(async {
        let reads = (0..8).map(|_| read_values(&platform, "after=0"));
        let answers = futures_util::future::join_all(reads).await;
        let refused = answers.iter().filter(|(status, _)| *status == 429).count();
        assert!(refused >= 2, "calls beyond the limit are refused");
    });
    assert!(platform.calls().refused >= 2, "refused calls are counted");
}

yuccalift_testkit::cases! {
    a_leaf_answers_and_records_its_runs: leaf_answers_and_records();
    a_leaf_sheds_beyond_its_queue: leaf_sheds_beyond_queue();
    a_leaf_cancels_a_run: leaf_cancels();
    a_leaf_limits_connections: leaf_limits_connections();
    a_leaf_crashes_and_restarts: leaf_crashes_and_restarts();
    silent_connections_stop_answering: leaf_goes_silent();
    a_draining_leaf_refuses:
        leaf_refuses(LeafCommand::Drain(DrainSignal::Refusal), |_| {}, LeafRefusalCode::Draining);
    a_leaf_refuses_a_version_that_it_does_not_hold:
        leaf_refuses(LeafCommand::SetVersions(vec![2]), |_| {}, LeafRefusalCode::WrongVersion);
    a_leaf_refuses_a_shard_that_it_does_not_host:
        leaf_refuses(LeafCommand::SetShards(vec![5]), |_| {}, LeafRefusalCode::NotHosted);
    a_leaf_refuses_expired_requests:
        leaf_refuses(LeafCommand::Undrain, |request| request.time_left_ms = 0, LeafRefusalCode::Expired);
    a_fleet_serves_each_leaf: fleet_serves_each_leaf();
    the_platform_serves_changes: platform_serves_changes();
    the_platform_keeps_a_watch_waiting: platform_watch_waits();
    the_platform_limits_calls: platform_limits_calls();
}
