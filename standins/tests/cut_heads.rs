//! Replicas that end their connection somewhere in an answer: in its head, between its chunks or
//! after an informational response. No caller gets a success that looks whole, and none is told that
//! a request did not run that may have.

use std::path::PathBuf;
use std::time::Duration;

use futures_util::future::join_all;
use standins::raw::{ConnectionEnd, CutAnswer, CutTable, RawBehaviour, RawReplica};
use standins::site::{read_up_to, SiteRequest, TestSite, LAYERS};

/// Events that callers of streams ask for; the cut answers have fewer.
const EVENTS: u64 = 5;
/// Whole streams beside each cut one.
const SOUND_STREAMS: usize = 8;
/// Replicas that a request of the site's routes may be sent to.
const MAX_ATTEMPTS: usize = 2;

struct CutCase {
    name: &'static str,
    /// Whether the answer has neither a length nor chunks, so that it is whole if the connection is
    /// closed.
    is_open: bool,
    text: String,
}

fn cut(name: &'static str, text: impl Into<String>) -> CutCase {
    CutCase {
        name,
        is_open: false,
        text: text.into(),
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n";
const HEAD_10: &str = "HTTP/1.0 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// Answers that are cut in their head, whatever their body.
fn cut_heads() -> Vec<CutCase> {
    vec![
        cut("nothing", ""),
        cut("in the status line", "HTTP/1.1 20"),
        cut("before the line end", "HTTP/1.1 200 OK"),
        cut("status line alone", "HTTP/1.1 200 OK\r\n"),
        cut("in a header", "HTTP/1.1 200 OK\r\nx-attempt-id: {i"),
        cut("in a length", format!("{HEAD}content-length: 1")),
        cut("after a length", format!("{HEAD}content-length: 3\r\n")),
        cut("after length zero", format!("{HEAD}content-length: 0\r\n")),
        cut(
            "in the blank line",
            format!("{HEAD}content-length: 3\r\n\r"),
        ),
        cut("in the coding", format!("{HEAD}transfer-encoding: chu")),
        cut(
            "after the coding",
            format!("{HEAD}transfer-encoding: chunked\r\n"),
        ),
        cut("before all else", HEAD),
        cut("1.0 head", HEAD_10),
        cut("100 alone", "HTTP/1.1 100 Continue\r\n\r\n"),
        cut(
            "103 that looks like the answer",
            "HTTP/1.1 103 Early Hints\r\nx-attempt-id: {id}\r\nx-replica-stamp: s\r\n\r\n",
        ),
        cut("in a 103", "HTTP/1.1 103 Early Hints\r\nx-att"),
        cut(
            "after a 103",
            format!("HTTP/1.1 103 Early Hints\r\n\r\n{HEAD}"),
        ),
        cut(
            "after a 103, length zero",
            format!("HTTP/1.1 103 Early Hints\r\n\r\n{HEAD}content-length: 0\r\n"),
        ),
        cut(
            "in a refusal",
            "HTTP/1.1 503 No\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n",
        ),
        cut("in a 421", "HTTP/1.1 421 No\r\nx-attempt-id: {id}\r\n"),
    ]
}

/// Answers that are cut in their body, which has a length.
fn cut_lengths(body: &str) -> Vec<CutCase> {
    let encoded = format!("{HEAD}content-encoding: gzip\r\n");
    vec![
        cut("no body", format!("{HEAD}content-length: 100\r\n\r\n")),
        cut(
            "short body",
            format!("{HEAD}content-length: 100\r\n\r\n{body}"),
        ),
        cut(
            "1.0 short",
            format!("{HEAD_10}content-length: 100\r\n\r\n{body}"),
        ),
        cut(
            "encoded short",
            format!("{encoded}content-length: 100\r\n\r\n{body}"),
        ),
        cut(
            "encoded whole",
            format!("{encoded}content-length: {}\r\n\r\n{body}", body.len()),
        ),
        cut("encoded open", format!("{encoded}\r\n{body}")),
        cut(
            "two lengths",
            format!(
                "{HEAD}content-length: {}\r\ncontent-length: 100\r\n\r\n{body}",
                body.len()
            ),
        ),
        cut(
            "list of lengths",
            format!("{HEAD}content-length: {}, 100\r\n\r\n{body}", body.len()),
        ),
        cut(
            "no number",
            format!("{HEAD}content-length: x\r\n\r\n{body}"),
        ),
        cut(
            "signed length",
            format!("{HEAD}content-length: +{}\r\n\r\n{body}", body.len()),
        ),
        cut(
            "other coding",
            format!("{HEAD}transfer-encoding: gzip\r\n\r\n{body}"),
        ),
        cut(
            "chunked and more",
            format!("{HEAD}transfer-encoding: chunked, gzip\r\n\r\n{body}"),
        ),
    ]
}

/// Answers that are cut in their body, which has chunks.
fn cut_chunks(body: &str) -> Vec<CutCase> {
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let start = format!("{HEAD}{CHUNKED}");
    let cases = [
        ("before the first chunk", String::new()),
        ("in a size", "1".to_owned()),
        ("in the size's line end", "10\r".to_owned()),
        ("in an extension", "10;na".to_owned()),
        ("after an extension", "10;name=value\r\n".to_owned()),
        ("in a chunk", format!("{:x}\r\n{body}", body.len() + 5)),
        (
            "after a chunk's data",
            format!("{:x}\r\n{body}", body.len()),
        ),
        ("between chunks", chunk.clone()),
        ("in the second size", format!("{chunk}1")),
        ("in the last size", format!("{chunk}0")),
        ("in the last line end", format!("{chunk}0\r")),
        ("after the last chunk", format!("{chunk}0\r\n")),
        ("in a trailer", format!("{chunk}0\r\nx-trai")),
        ("after a trailer", format!("{chunk}0\r\nx-trailer: x\r\n")),
        ("in the final line", format!("{chunk}0\r\n\r")),
        (
            "in a final line after a trailer",
            format!("{chunk}0\r\nx-trailer: x\r\n\r"),
        ),
    ];
    let mut cases: Vec<CutCase> = cases
        .into_iter()
        .map(|(name, rest)| cut(name, format!("{start}{rest}")))
        .collect();
    let both = format!("{HEAD}content-length: {}\r\n{CHUNKED}", body.len());
    cases.push(cut("length and chunks", format!("{both}{chunk}")));
    cases.push(cut("length and no chunks", format!("{both}{body}")));
    cases.push(cut("1.0 chunks", format!("{HEAD_10}{CHUNKED}{chunk}")));
    cases
}

/// Answers with neither a length nor chunks.
fn open_answers(body: &str) -> Vec<CutCase> {
    let open = |name, text| CutCase {
        name,
        is_open: true,
        text,
    };
    vec![
        open("open", format!("{HEAD}\r\n{body}")),
        open("open without a body", format!("{HEAD}\r\n")),
        open("1.0 open", format!("{HEAD_10}\r\n{body}")),
    ]
}

/// All cuts, each by a close and by a reset, and the table that a replica plays them from.
fn plan(cases: Vec<CutCase>) -> (Vec<(String, bool)>, CutTable) {
    let (mut names, mut answers) = (Vec::new(), Vec::new());
    for case in cases {
        let text: &'static str = case.text.leak();
        for end in [ConnectionEnd::Closed, ConnectionEnd::Reset] {
            let is_whole = case.is_open && end == ConnectionEnd::Closed;
            names.push((format!("{}, {end:?}", case.name), is_whole));
            answers.push(CutAnswer { text, end });
        }
    }
    (names, CutTable(answers.leak()))
}

async fn start_site(name: &str) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, 1)
        .await
        .expect("the site should start")
}

/// Registers raw replicas with the answers of the table in place of all of a service's replicas.
async fn replace_replicas(
    site: &TestSite,
    addresses: &[std::net::SocketAddr],
    table: CutTable,
    layers: u64,
) -> Vec<RawReplica> {
    let mut replicas = Vec::new();
    for number in 0..2 {
        let raw = RawReplica::start(RawBehaviour::CutsSome(table), Some(0))
            .await
            .expect("the replica should start");
        let id = format!("i-raw-{number}");
        raw.register_as(&id, &site.store, &site.replicas, layers);
        replicas.push(raw);
    }
    for address in addresses {
        site.replicas.change(*address, |state| state.dead = true);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for address in addresses {
        let id = site.replicas.state(*address).id;
        site.store.remove(&format!("servers/{id}"));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    replicas
}

/// Number of the replicas' requests with an id.
fn arrivals(replicas: &[RawReplica], id: &str) -> usize {
    let received = replicas.iter().flat_map(RawReplica::received);
    received.filter(|other| other == id).count()
}

/// Checks that many of the cut requests came on connections that had carried whole answers.
fn check_kept(name: &str, replicas: &[RawReplica], cases: usize) {
    let received = replicas.iter().flat_map(RawReplica::received_on_kept);
    let kept = received.filter(|id| id.starts_with("cut-")).count();
    println!("{name}: {cases} cuts, {kept} arrivals of them on kept connections");
    assert!(kept > cases / 2, "{name}: {kept} on kept connections");
}

/// Sends each cut request twice, the first on connections that have carried whole answers.
async fn check_plain(
    name: &str,
    request: impl Fn(&str) -> SiteRequest,
    max_arrivals: usize,
    cases: Vec<CutCase>,
) {
    let (cases, table) = plan(cases);
    let site = start_site(name).await;
    let replicas = replace_replicas(&site, &site.plain_addresses, table, 0).await;
    let mut faults = Vec::new();
    for (index, (case, is_whole)) in cases.iter().enumerate() {
        for number in 0..4 {
            let id = format!("sound-{index}-{number}");
            let answer = site.fetch(0, &request(&id)).await;
            let answer = answer.expect("the gateway should respond");
            let whole = (200, format!("body of {id}"));
            assert_eq!((answer.status, answer.body), whole, "beside {case}");
        }
        for number in 0..2 {
            let id = CutTable::request_id(index, &number.to_string());
            let answer = site.fetch(0, &request(&id)).await;
            let count = arrivals(&replicas, &id);
            let is_right = match &answer {
                Ok(answer) if *is_whole => answer.status == 200,
                Ok(answer) => answer.status == 502,
                Err(_) => false,
            };
            if !is_right || count == 0 || count > max_arrivals {
                faults.push(format!("{case}, {count} arrivals: {answer:?}"));
            }
        }
    }
    check_kept(name, &replicas, cases.len());
    assert!(faults.is_empty(), "{name}: {faults:#?}");
}

fn plain_cases() -> Vec<CutCase> {
    let mut cases = cut_heads();
    cases.extend(cut_lengths("cut"));
    cases.extend(cut_chunks("cut"));
    cases.extend(open_answers("cut"));
    cases
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_to_a_lookup_never_looks_whole() {
    check_plain(
        "cut-lookup",
        SiteRequest::lookup,
        MAX_ATTEMPTS,
        plain_cases(),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_to_an_issue_is_neither_whole_nor_said_not_to_have_run_nor_run_again() {
    check_plain("cut-issue", SiteRequest::issue, 1, plain_cases()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_never_ends_as_whole() {
    let mut cases = cut_heads();
    for body in [
        "id: 1\ndata: token 1\n\n",
        "id: 1\ndata: token 1\n\nid: 2\nda",
    ] {
        cases.extend(cut_lengths(body));
        cases.extend(cut_chunks(body));
        // A close ends an open stream after whole events.
        let open = open_answers(body).into_iter();
        cases.extend(open.filter(|case| !case.text.ends_with("\n\n")));
    }
    let cases: Vec<CutCase> = cases
        .into_iter()
        .map(|case| CutCase {
            is_open: false,
            ..case
        })
        .collect();
    let (cases, table) = plan(cases);
    let site = start_site("cut-stream").await;
    let replicas = replace_replicas(&site, &site.model_addresses, table, LAYERS).await;
    let mut faults = Vec::new();
    let mut unsent = 0;
    for (index, (case, _)) in cases.iter().enumerate() {
        for number in 0..2 {
            // These keep both replicas in use, and leave connections that are used again.
            let sound = (0..SOUND_STREAMS).map(|sound| {
                let id = format!("sound-{index}-{number}-{sound}");
                let request = SiteRequest::stream(&id, EVENTS);
                let site = &site;
                async move { site.fetch(0, &request).await }
            });
            for answer in join_all(sound).await {
                let ids: Vec<u64> = (1..=EVENTS).collect();
                assert_eq!(answer.expect(case).event_ids(), ids, "beside {case}");
            }
            let id = CutTable::request_id(index, &number.to_string());
            let request = SiteRequest::stream(&id, EVENTS);
            let end = match site.send(0, &request).await {
                Ok(response) => Some(read_up_to(response, usize::MAX).await),
                Err(_) => None,
            };
            let count = arrivals(&replicas, &id);
            let looks_whole = matches!(&end, Some((answer, Ok(()))) if answer.status < 400);
            // One that reached a replica may have run.
            let is_denied = matches!(&end, Some((answer, Ok(()))) if answer.status == 503);
            unsent += usize::from(count == 0);
            if looks_whole || (is_denied && count > 0) || count > MAX_ATTEMPTS {
                faults.push(format!("{case}, {count} arrivals: {end:?}"));
            }
        }
    }
    check_kept("cut-stream", &replicas, cases.len());
    assert!(
        unsent < cases.len() / 4,
        "{unsent} of {} not sent",
        cases.len()
    );
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Answers to reports and orders that are cut, each by a close and by a reset.
fn cut_queries() -> Vec<CutAnswer> {
    const TEXTS: [&str; 4] = [
        "HTTP/1.1 200 OK\r\ncontent-len",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"sequence\":0,\"pace\":1.0,\"stalled\":[]}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
         26\r\n{\"sequence\":0,\"pace\":1.0,\"stalled\":[]}\r\n0\r\n",
        "HTTP/1.1 202 Accepted\r\ncontent-length: 100\r\n\r\n{}",
    ];
    let ends = [ConnectionEnd::Closed, ConnectionEnd::Reset];
    let cuts = TEXTS
        .iter()
        .map(|text| ends.map(|end| CutAnswer { text, end }));
    cuts.flatten().collect()
}

async fn check_whole_streams(name: &str, site: &TestSite, round: u32) {
    let streams = (0..20).map(|number| {
        let request = SiteRequest::stream(&format!("s{round}-{number}"), EVENTS);
        async move { site.fetch(0, &request).await }
    });
    for stream in join_all(streams).await {
        let stream = stream.unwrap_or_else(|error| panic!("{name}: {error:#}"));
        let ids: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(stream.event_ids(), ids, "{name}: {stream:?}");
    }
}

/// Streams pause for long enough that reports are asked for.
#[tokio::test(flavor = "multi_thread")]
async fn cut_reports_end_no_stream() {
    for (number, cut) in cut_queries().into_iter().enumerate() {
        let name = format!("cut-report-{number}-{:?}", cut.end);
        let site = start_site(&name).await;
        let streams = RawBehaviour::Streams { interval_ms: 700 };
        let raw = RawReplica::start_cutting_queries(streams, cut)
            .await
            .expect("the replica should start");
        raw.register(&site.store, &site.replicas, 3);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        check_whole_streams(&name, &site, 0).await;
        println!("{name}: {} queries", raw.queries());
        assert!(raw.queries() > 0, "{name}: no report was asked for");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answers_to_orders_end_no_stream() {
    for (number, cut) in cut_queries().into_iter().enumerate() {
        let name = format!("cut-order-{number}-{:?}", cut.end);
        let site = start_site(&name).await;
        let streams = RawBehaviour::Streams { interval_ms: 10 };
        let raw = RawReplica::start_cutting_queries(streams, cut)
            .await
            .expect("the replica should start");
        site.replicas
            .change(site.model_addresses[0], |state| state.dead = true);
        let id = site.replicas.state(site.model_addresses[0]).id;
        tokio::time::sleep(Duration::from_millis(400)).await;
        site.store.remove(&format!("servers/{id}"));
        raw.register_empty(&site.store);
        for round in 0..100 {
            check_whole_streams(&name, &site, round).await;
            if raw.orders() >= 2 {
                break;
            }
        }
        println!("{name}: {} queries, {} orders", raw.queries(), raw.orders());
        assert!(raw.orders() > 0, "{name}: no order was sent");
    }
}
