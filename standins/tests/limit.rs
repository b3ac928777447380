//! Replicas that name how many requests a second they take, behind several gateway processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use standins::site::{SiteRequest, SiteResponse, TestSite};

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from which on the limit holds, after it was first named.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Longest time that a refusal may take.
const AT_ONCE: Duration = Duration::from_millis(400);

async fn start_site(name: &str, gateways: usize) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, gateways)
        .await
        .expect("the site should start")
}

/// Has replicas name a limit in all their answers from now on.
fn name_limit(site: &TestSite, replicas: &[SocketAddr], limits: &'static [&'static str]) {
    for replica in replicas {
        site.replicas
            .change(*replica, |state| state.limits = limits);
    }
}

/// A response and the time that it took, for a request to a plain service or a model.
struct TimedResponse {
    sent_at: Instant,
    took: Duration,
    response: SiteResponse,
}

/// Sends requests to the gateways in turn, at a constant rate and without waiting for their answers.
async fn send_at_rate(
    site: &TestSite,
    request: impl Fn(&str) -> SiteRequest,
    per_second: u32,
    length: Duration,
) -> Vec<TimedResponse> {
    let pause = Duration::from_secs(1) / per_second;
    let count = (length.as_millis() / pause.as_millis()) as usize;
    let sends = (0..count).map(|number| {
        let request = request(&format!("r{per_second}-{number}"));
        async move {
            tokio::time::sleep(pause * u32::try_from(number).unwrap()).await;
            let sent_at = Instant::now();
            let response = site.fetch(number % site.gateways.len(), &request).await;
            response.ok().map(|response| TimedResponse {
                sent_at,
                took: sent_at.elapsed(),
                response,
            })
        }
    });
    let responses = futures_util::future::join_all(sends).await;
    responses.into_iter().flatten().collect()
}

/// Most arrivals at a replica in any window that begins after `since`, and all of them.
fn arrivals(site: &TestSite, replica: SocketAddr, since: Instant) -> (usize, usize) {
    let times = site.replicas.state(replica).arrivals_at;
    let times = times.into_iter().map(|arrival| arrival.at);
    let times: Vec<Instant> = times.filter(|at| *at >= since).collect();
    let in_window = |from: &Instant| {
        let window = times
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        window.count()
    };
    (times.iter().map(in_window).max().unwrap_or(0), times.len())
}

/// Checks that each replica got at most what the limit allows in each window, and all of them
/// together at least half of their limits in `length`.
fn assert_limit_kept_and_used(
    site: &TestSite,
    replicas: &[SocketAddr],
    since: Instant,
    limit: f64,
    length: Duration,
) {
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
    let mut total = 0;
    for replica in replicas {
        let (most, all) = arrivals(site, *replica, since);
        assert!(
            most as f64 <= allowed,
            "{replica} got {most} in 4 s, {allowed} allowed"
        );
        total += all;
    }
    let owed = limit * length.as_secs_f64() * replicas.len() as f64;
    assert!(total as f64 >= 0.5 * owed, "{total} arrived, of {owed}");
}

fn assert_refused_at_once(responses: &[TimedResponse]) {
    let refused = responses
        .iter()
        .filter(|timed| timed.response.status != 200);
    let mut retry_afters = Vec::new();
    for timed in refused {
        let response = &timed.response;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(response.body.contains("not_run"), "{}", response.body);
        assert!(timed.took < AT_ONCE, "refused after {:?}", timed.took);
        let retry_after = response.headers["retry-after"].to_str().unwrap();
        retry_afters.push(retry_after.to_owned());
    }
    let count = retry_afters.len();
    retry_afters.sort_unstable();
    retry_afters.dedup();
    assert!(count > 20, "{count} were refused");
    assert!(
        2 * retry_afters.len() > count,
        "{count} callers were told {} different times",
        retry_afters.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_replicas_get_no_more_than_their_limit_from_all_gateways_together() {
    let site = start_site("limit-plain", 3).await;
    let replicas = site.plain_addresses.clone();
    name_limit(&site, &replicas, &["2.0"]);
    let settled = Instant::now() + CONTACT_TIME;
    let length = Duration::from_secs(9);
    let responses = send_at_rate(&site, SiteRequest::issue, 40, CONTACT_TIME + length).await;
    assert_limit_kept_and_used(&site, &replicas, settled, 2.0, length);
    let later = responses.into_iter();
    let later: Vec<TimedResponse> = later.filter(|timed| timed.sent_at > settled).collect();
    assert_refused_at_once(&later);
}

#[tokio::test(flavor = "multi_thread")]
async fn first_replicas_of_chains_get_no_more_than_their_limit() {
    let site = start_site("limit-chain", 3).await;
    let replicas = site.model_addresses.clone();
    name_limit(&site, &replicas, &["1.5"]);
    let settled = Instant::now() + CONTACT_TIME;
    let length = Duration::from_secs(9);
    let stream = |id: &str| SiteRequest::stream(id, 20);
    let responses = send_at_rate(&site, stream, 30, CONTACT_TIME + length).await;
    let firsts: Vec<SocketAddr> = replicas
        .into_iter()
        .filter(|replica| {
            let layers = site.replicas.state(*replica).layers;
            layers.0 == 0 && layers.1 > 0
        })
        .collect();
    assert!(!firsts.is_empty());
    assert_limit_kept_and_used(&site, &firsts, settled, 1.5, length);
    let later = responses.into_iter();
    let later: Vec<TimedResponse> = later.filter(|timed| timed.sent_at > settled).collect();
    assert_refused_at_once(&later);
}

/// Requests a second that replicas got from `since` on, for `length`.
fn arrival_rate(site: &TestSite, replicas: &[SocketAddr], since: Instant, length: Duration) -> f64 {
    let arrivals = replicas
        .iter()
        .flat_map(|replica| site.replicas.state(*replica).arrivals_at);
    let count = arrivals.filter(|arrival| arrival.at >= since && arrival.at < since + length);
    count.count() as f64 / length.as_secs_f64()
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_that_moves_is_garbled_or_ends_is_followed() {
    struct Phase {
        limits: &'static [&'static str],
        /// Requests a second at both replicas together, from which to which.
        rate: std::ops::Range<f64>,
    }
    let site = start_site("limit-moves", 3).await;
    let replicas = site.plain_addresses.clone();
    let phases = [
        Phase {
            limits: &["1"],
            rate: 1.0..3.5,
        },
        Phase {
            limits: &["6"],
            rate: 6.0..15.0,
        },
        Phase {
            limits: &["NaN", "-3"],
            rate: 6.0..15.0,
        },
        Phase {
            limits: &["0.75", "many"],
            rate: 0.75..3.0,
        },
        Phase {
            limits: &[],
            rate: 30.0..45.0,
        },
    ];
    let (settle, counted) = (Duration::from_secs(4), Duration::from_secs(4));
    let length = (settle + counted) * u32::try_from(phases.len()).unwrap();
    let change = async {
        for phase in &phases {
            name_limit(&site, &replicas, phase.limits);
            tokio::time::sleep(settle).await;
            let since = Instant::now();
            tokio::time::sleep(counted).await;
            let rate = arrival_rate(&site, &replicas, since, counted);
            let is_expected = phase.rate.contains(&rate);
            assert!(
                is_expected,
                "{rate} a second with limits {:?}",
                phase.limits
            );
        }
    };
    tokio::join!(send_at_rate(&site, SiteRequest::lookup, 40, length), change);
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_while_gateways_are_killed_and_restart() {
    let mut site = start_site("limit-restart", 3).await;
    let replicas = site.plain_addresses.clone();
    name_limit(&site, &replicas, &["2"]);
    let settled = Instant::now() + CONTACT_TIME;
    for round in 0..4 {
        let request = |id: &str| SiteRequest::issue(&format!("{round}-{id}"));
        send_at_rate(&site, request, 40, Duration::from_secs(4)).await;
        let killed = round % site.gateways.len();
        site.gateways[killed].process.kill().unwrap();
        site.restart_gateway(killed).unwrap();
    }
    let request = |id: &str| SiteRequest::issue(&format!("last-{id}"));
    send_at_rate(&site, request, 40, Duration::from_secs(4)).await;
    let length = Instant::now() - settled;
    assert_limit_kept_and_used(&site, &replicas, settled, 2.0, length);
}
