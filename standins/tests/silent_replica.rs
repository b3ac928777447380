//! Replicas that fall silent without a reset: sound ones, which go on after a second or so, and ones
//! that have gone dark.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lynxcart::fetch;
use standins::replica::DARKENS_FIRST;
use standins::site::{SiteRequest, SiteResponse, TestSite};

/// Silences of a sound replica, in milliseconds.
const SOUND_SILENCES_MS: [u64; 3] = [600, 1_000, 1_500];
/// Number of events of a stream, which takes longer than it takes to silence its chain.
const EVENT_COUNT: u64 = 60;
/// Time that gateways have to count a crash, from the third on.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Retries that may reach replicas after that time.
const MAX_LATE_RETRIES: usize = 3;
/// Time for which a replica goes on between two silences.
const WORK_TIME: Duration = Duration::from_millis(300);
/// Pause of a caller between two tries of a request.
const CALLER_PAUSE: Duration = Duration::from_millis(600);

async fn start_site(name: &str, gateways: usize) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, gateways)
        .await
        .expect("the site should start")
}

/// A stream whose callers all send the same body.
fn same_stream(id: &str) -> SiteRequest {
    SiteRequest {
        body: "the same for all callers",
        shared_parts: "a1",
        ..SiteRequest::stream(id, EVENT_COUNT)
    }
}

/// Whether an answer is the whole stream; the fault if it is not.
fn check_whole(answer: eyre::Result<SiteResponse>) -> Result<(), String> {
    let answer = answer.map_err(|error| format!("broke off: {error:#}"))?;
    let numbers = answer.body.lines();
    let numbers = numbers.filter_map(|line| line.strip_prefix("data: token ")?.parse().ok());
    let numbers: Vec<u64> = numbers.collect();
    match answer.status == 200 && numbers.iter().copied().eq(1..=EVENT_COUNT) {
        true => Ok(()),
        false => Err(format!("status {}, tokens {numbers:?}", answer.status)),
    }
}

/// Results of the requests of one test.
#[derive(Debug, Default)]
struct Tally {
    answered: usize,
    faults: Vec<String>,
}

impl Tally {
    fn record(&mut self, case: &str, result: Result<(), String>) {
        match result {
            Ok(()) => self.answered += 1,
            Err(fault) => self.faults.push(format!("{case}: {fault}")),
        }
    }

    async fn assert_sound(&self, site: &TestSite) {
        let mut crashes = 0;
        for gateway in 0..site.gateways.len() {
            let name = "lynxcart_crashes_under_requests_total ";
            crashes += metric(site, gateway, name).await;
        }
        assert!(
            self.faults.is_empty() && crashes == 0,
            "{} of {} requests failed and {crashes} crashes were counted: {:#?}",
            self.faults.len(),
            self.faults.len() + self.answered,
            self.faults
        );
    }
}

/// The value of a metric of a gateway.
async fn metric(site: &TestSite, gateway: usize, name: &str) -> u64 {
    let url = format!("http://{}/metrics", site.gateways[gateway].ready_address);
    let (_, body) = fetch::get(&fetch::unpooled_client(), &url)
        .await
        .expect("metrics should be readable");
    let text = String::from_utf8_lossy(&body);
    let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
    values
        .find_map(|value| value.trim().parse().ok())
        .unwrap_or_else(|| panic!("{name} is not among the metrics"))
}

/// Waits until a replica has gone on for some time after its last silence, if there was one.
async fn wait_until_it_goes_on(site: &TestSite, replica: SocketAddr) {
    let state = site.replicas.state(replica);
    if let Some(until) = state.silent_until {
        tokio::time::sleep_until((until + WORK_TIME).into()).await;
    }
}

fn silence_all(site: &TestSite, replicas: &[SocketAddr], length: Duration) {
    for replica in replicas {
        site.replicas.silence(*replica, length);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_are_silent_at_once_and_go_on_end_no_stream() {
    let site = start_site("silent-at-once", 1).await;
    let mut tally = Tally::default();
    for silence_ms in SOUND_SILENCES_MS {
        for round in 0..3 {
            let case = format!("{silence_ms} ms, round {round}");
            let ids = (0..8).map(|number| format!("s-{silence_ms}-{round}-{number}"));
            let ids: Vec<String> = ids.collect();
            let requests: Vec<SiteRequest> = ids.iter().map(|id| same_stream(id)).collect();
            let silence = async {
                for id in &ids {
                    site.wait_chain(id).await.expect("the stream should start");
                }
                let length = Duration::from_millis(silence_ms);
                silence_all(&site, &site.model_addresses, length);
            };
            let fetches = requests.iter().map(|request| site.fetch(0, request));
            let (answers, ()) = tokio::join!(futures_util::future::join_all(fetches), silence);
            for answer in answers {
                tally.record(&case, check_whole(answer));
            }
        }
    }
    tally.assert_sound(&site).await;
}

/// Sends streams under which one replica after the other falls silent and goes on.
async fn assert_silences_in_turn_end_no_stream(site: &TestSite) {
    /// Replicas that fall silent under one stream.
    const TURNS: usize = 6;
    let mut tally = Tally::default();
    for silence_ms in SOUND_SILENCES_MS {
        for round in 0..3 {
            let case = format!("{silence_ms} ms, round {round}");
            let request = same_stream(&format!("s-{silence_ms}-{round}"));
            let length = Duration::from_millis(silence_ms);
            let silence = async {
                let Ok(mut chain) = site.wait_chain(&request.id).await else {
                    return;
                };
                for turn in 0..TURNS {
                    let hop = match turn {
                        0 => chain[0],
                        _ => chain[chain.len() - 1],
                    };
                    wait_until_it_goes_on(site, hop).await;
                    site.replicas.silence(hop, length);
                    // Until the stream is moved, or the silence over.
                    for _ in 0..silence_ms / 20 {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        let current = site.replicas.chain(&request.id);
                        if current != chain {
                            break;
                        }
                    }
                    chain = site.replicas.chain(&request.id);
                    if chain.is_empty() {
                        return;
                    }
                }
            };
            let (answer, ()) = tokio::join!(site.fetch(0, &request), silence);
            tally.record(&case, check_whole(answer));
        }
    }
    tally.assert_sound(site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_are_silent_one_after_the_other_and_go_on_end_no_stream() {
    let site = start_site("silent-in-turn", 1).await;
    assert_silences_in_turn_end_no_stream(&site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_replicas_that_reset_queries_and_go_on_end_no_stream() {
    let site = start_site("silent-resetting", 1).await;
    for address in &site.model_addresses {
        site.replicas
            .change(*address, |state| state.resets_queries = true);
    }
    assert_silences_in_turn_end_no_stream(&site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_event_ids_outlasts_the_silence_of_its_replicas() {
    let site = start_site("silent-without-ids", 1).await;
    for address in &site.model_addresses {
        site.replicas
            .change(*address, |state| state.omits_event_ids = true);
    }
    let mut tally = Tally::default();
    for silence_ms in SOUND_SILENCES_MS {
        for round in 0..4 {
            let case = format!("{silence_ms} ms, round {round}");
            let request = same_stream(&format!("s-{silence_ms}-{round}"));
            let silence = async {
                site.wait_chain(&request.id).await.unwrap();
                tokio::time::sleep(Duration::from_millis(100)).await;
                let length = Duration::from_millis(silence_ms);
                silence_all(&site, &site.model_addresses, length);
            };
            let (answer, ()) = tokio::join!(site.fetch(0, &request), silence);
            assert_eq!(site.run_count(&request.id), 1, "{case}");
            tally.record(&case, check_whole(answer));
        }
    }
    tally.assert_sound(&site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_requests_outlast_the_silence_of_their_replicas() {
    let site = start_site("silent-plain", 1).await;
    let mut tally = Tally::default();
    for silence_ms in SOUND_SILENCES_MS {
        for round in 0..3 {
            let case = format!("{silence_ms} ms, round {round}");
            let requests = (0..12).map(|number| {
                let id = format!("p-{silence_ms}-{round}-{number}");
                match number % 2 {
                    0 => SiteRequest::issue(&id),
                    _ => SiteRequest::lookup(&id),
                }
            });
            let requests: Vec<SiteRequest> = requests.collect();
            let silence = async {
                tokio::time::sleep(Duration::from_millis(10)).await;
                let length = Duration::from_millis(silence_ms);
                silence_all(&site, &site.plain_addresses, length);
            };
            let fetches = requests.iter().map(|request| site.fetch(0, request));
            let (answers, ()) = tokio::join!(futures_util::future::join_all(fetches), silence);
            for (request, answer) in requests.iter().zip(answers) {
                assert_eq!(site.run_count(&request.id), 1, "{case}: {}", request.id);
                let status = answer.map_or(0, |answer| answer.status);
                let result = match status {
                    200 => Ok(()),
                    _ => Err(format!("status {status}")),
                };
                tally.record(&case, result);
            }
        }
    }
    tally.assert_sound(&site).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_under_which_replicas_go_dark_is_not_sent_on_by_any_gateway() {
    let site = start_site("silent-dark", 3).await;
    let mut statuses = Vec::new();
    for round in 0..24 {
        let request = SiteRequest {
            body: DARKENS_FIRST,
            ..SiteRequest::stream(&format!("dark-{round}"), 20)
        };
        let fetch = site.fetch(round % site.gateways.len(), &request);
        // Callers leave a stream after such a gap.
        let answer = tokio::time::timeout(Duration::from_secs(2), fetch).await;
        let status = answer.map_or(0, |answer| answer.map_or(0, |answer| answer.status));
        statuses.push(status);
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    let crashes = site.replicas.crashes();
    assert!(
        crashes.len() >= 3,
        "{} went dark, {statuses:?}",
        crashes.len()
    );
    let third = crashes[2];
    let late = crashes.iter().filter(|at| **at > third + CONTACT_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATE_RETRIES,
        "{late} late of {}, {statuses:?}",
        crashes.len()
    );
    assert_eq!(statuses[20..], [503; 4], "{statuses:?}");
}

/// States of the timers of this host's connections to an address, as the kernel states them: `02` is a
/// keep-alive that is due.
fn connection_timers(address: SocketAddr) -> Vec<String> {
    /// An established connection.
    const ESTABLISHED: &str = "01";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table should be readable");
    let port = format!(":{:04X}", address.port());
    let rows = table.lines().skip(1).filter_map(|row| {
        let fields: Vec<&str> = row.split_whitespace().collect();
        let is_to = fields.get(2)?.ends_with(&port) && *fields.get(3)? == ESTABLISHED;
        let timer = fields.get(5)?.split(':').next()?.to_owned();
        is_to.then_some(timer)
    });
    rows.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_replicas_that_may_have_gone_silent_are_probed() {
    let site = start_site("silent-connections", 1).await;
    for number in 0..20 {
        let request = SiteRequest::lookup(&format!("l{number}"));
        let answer = site.fetch(0, &request).await;
        assert_eq!(answer.expect("the gateway should respond").status, 200);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let timers: Vec<String> = site
        .plain_addresses
        .iter()
        .flat_map(|address| connection_timers(*address))
        .collect();
    assert!(!timers.is_empty(), "no connection is kept");
    assert!(timers.iter().all(|timer| timer == "02"), "{timers:?}");
}
