//! Prompts with one part that crashes the replicas that answer them, sent to gateway processes: no
//! two of the requests are alike, and sound ones share everything else.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use standins::site::{SiteRequest, TestSite};

/// Crashes from which on a part has to be known to all gateways.
const MAX_CRASHES: usize = 5;
/// Time that the gateways have for that.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach replicas after that time.
const MAX_LATE_ARRIVALS: usize = 3;
/// Pause between two requests that crash replicas.
const CRASHING_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(100);

async fn start_site(name: &str, gateways: usize) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, gateways)
        .await
        .expect("the site should start")
}

fn crashing(number: usize) -> SiteRequest {
    SiteRequest {
        shared_parts: "a1,bad0",
        ..SiteRequest::stream(&format!("crashing-{number}"), 30)
    }
}

fn sound(number: usize) -> SiteRequest {
    SiteRequest {
        shared_parts: "a1,b2",
        ..SiteRequest::stream(&format!("sound-{number}"), 30)
    }
}

/// The status of a request whose answer came whole; zero else.
async fn status(site: &TestSite, gateway: usize, request: &SiteRequest) -> u16 {
    let answer = site.fetch(gateway % site.gateways.len(), request).await;
    answer.map_or(0, |answer| answer.status)
}

/// Sends requests with the part to the gateways in turn, without waiting for their answers. Returns
/// the last one's status.
async fn send_crashing(site: &TestSite, numbers: std::ops::Range<usize>) -> u16 {
    let sends = numbers.clone().map(|number| async move {
        let after = u32::try_from(number - numbers.start).unwrap();
        tokio::time::sleep(CRASHING_PAUSE * after).await;
        status(site, number, &crashing(number)).await
    });
    let statuses = futures_util::future::join_all(sends).await;
    statuses.last().copied().unwrap_or(0)
}

/// Sends sound requests to the gateways in turn. Returns when each was sent and its status.
async fn send_sound(site: &TestSite, count: usize) -> Vec<(Instant, u16)> {
    let sends = (0..count).map(|number| async move {
        tokio::time::sleep(SOUND_PAUSE * u32::try_from(number).unwrap()).await;
        (Instant::now(), status(site, number, &sound(number)).await)
    });
    futures_util::future::join_all(sends).await
}

fn assert_few_late_crashes(site: &TestSite) {
    let crashes = site.replicas.crashes();
    let Some(fifth) = crashes.get(MAX_CRASHES - 1) else {
        return;
    };
    let late = crashes.iter().filter(|at| **at > *fifth + CONTACT_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late arrivals, {} replicas crashed",
        crashes.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_replicas_is_not_sent_on_by_any_gateway() {
    let site = start_site("crashing-part", 3).await;
    let (last, sound) = tokio::join!(send_crashing(&site, 0..40), send_sound(&site, 160));
    assert!(!site.replicas.crashes().is_empty(), "no replica crashed");
    assert_few_late_crashes(&site);
    assert_eq!((last, site.run_count("crashing-39")), (503, 0));
    let known_at = site.replicas.crashes()[0] + 2 * CONTACT_TIME;
    let later: Vec<u16> = sound
        .into_iter()
        .filter(|(sent_at, _)| *sent_at > known_at)
        .map(|(_, status)| status)
        .collect();
    let served = later.iter().filter(|status| **status == 200).count();
    assert!(
        2 * served >= later.len() && later.len() >= 20,
        "{served} of {} sound requests were served",
        later.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashed_replicas_is_refused_after_all_gateways_restart() {
    let mut site = start_site("crashing-part-restart", 2).await;
    send_crashing(&site, 0..16).await;
    site.restart_all_gateways()
        .await
        .expect("the gateways should restart");
    let before = site.replicas.crashes().len();
    send_crashing(&site, 16..40).await;
    let crashes = site.replicas.crashes().len() - before;
    assert!(crashes <= MAX_LATE_ARRIVALS, "{crashes} more crashed");
    assert_few_late_crashes(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn part_whose_callers_leave_before_the_crash_is_not_sent_on_for_ever() {
    let site = start_site("crashing-part-leaving", 2).await;
    for number in 0..30 {
        let (leaving, staying) = (crashing(number), sound(number));
        let send = site.fetch(number % 2, &leaving);
        let _ = tokio::time::timeout(Duration::from_millis(45), send).await;
        let bystander = site.fetch((number + 1) % 2, &staying);
        let _ = tokio::time::timeout(CRASHING_PAUSE, bystander).await;
        tokio::time::sleep(CRASHING_PAUSE).await;
    }
    assert!(!site.replicas.crashes().is_empty(), "no replica crashed");
    assert_few_late_crashes(&site);
}
