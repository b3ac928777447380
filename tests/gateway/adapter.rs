//! Tests of the platform adapter: decoding of the configuration, registry entries, headers and
//! reports.

use http::{HeaderMap, Request, StatusCode};
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::catalog::WorkKind;
use lynxcart::gateway::notice::KeptNotice;
use lynxcart::gateway::part_ledger::{PartCertainty, PromptPart};
use lynxcart::gateway::placement::OrderReply;
use lynxcart::gateway::upstream::LayerRange;
use lynxcart::platform::headers::{
    caller_headers, health_statement, request_meta, response_meta, store_era, upstream_request,
    AddedHeaders, HealthStatement,
};
use lynxcart::platform::notice::{decode_notice, encode_notice};
use lynxcart::platform::order::{decode_report, health_request, order_reply};
use lynxcart::platform::registry::decode_entry;
use lynxcart::platform::serving_config::decode_config;
use lynxcart::platform::NOTICE_PREFIX;
use lynxcart::store::position::{EraStatement, StorePosition};
use lynxcart::store::PlatformItem;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r","host":"h.example","prefix":"/l/","kind":"streaming","timeout_ms":20000,"aim_ms":500,
  "priority":1,"split":[{"service":"m","weight":90},{"service":"w","weight":10}],"max_attempts":2,
  "anonymous":false,"sticky":true,"resumable":true,"gap_target_ms":250},
 {"name":"q","host":"h.example","prefix":"/p/","kind":"something_new","timeout_ms":1000,
  "service":"w","max_attempts":1}],
 "services":[{"name":"m","health_path":"/healthz","max_connections":1138,"engine":{"slots":192,
  "kv_bytes":590000,"stride":4,"loads_at_once":9,"models":[{"name":"x","load_s":14.0}],"step_ms":1.02,
  "per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,
  "delays":[{"from":"a","to":"b","delay_ms":0.5}],"usual":{"prompt":775,"answer":216},"layers":80,
  "layer_mb":1750.0,"act_bytes":29500,"pipe_mbps":13000.0,
  "kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_factor":3.2}]}},{"name":"w"}],
 "limits":{"max_body_bytes":1000,"idle_timeout_ms":9000},
 "tenants":[{"name":"t","api_keys":["k"],"priority":3}]}"#;

#[test]
fn own_part_of_a_prompt_is_not_taken_for_a_shared_one() {
    struct Case {
        prefix: &'static str,
        shared: &'static [u128],
    }
    let cases = [
        Case {
            prefix: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
            shared: &[0x5c1e_07a2, 0x91bd_3f06],
        },
        Case {
            prefix: " 0A:1, 0b :2,x:3,:4,c:5",
            shared: &[0xa, 0xb],
        },
        Case {
            prefix: "5c1e07a2:800",
            shared: &[],
        },
        Case {
            prefix: "",
            shared: &[],
        },
    ];
    for case in cases {
        let mut headers = HeaderMap::new();
        headers.insert("x-prompt-prefix", case.prefix.parse().unwrap());
        assert_eq!(
            request_meta(&headers).shared_parts,
            case.shared,
            "{}",
            case.prefix
        );
    }
    let mut headers = HeaderMap::new();
    let many: Vec<String> = (1..500).map(|part| format!("{part:x}:1")).collect();
    headers.insert("x-prompt-prefix", many.join(",").parse().unwrap());
    assert_eq!(
        request_meta(&headers).shared_parts.len(),
        lynxcart::platform::headers::MAX_PROMPT_PARTS
    );
}

#[test]
fn configuration_is_decoded_completely() {
    let config = decode_config(CONFIG.as_bytes()).unwrap();
    assert_eq!((config.version, config.routes.len()), (7, 2));
    assert_eq!(config.routes[0].kind, WorkKind::Streaming);
    assert_eq!(config.routes[0].targets.len(), 2);
    assert!(config.routes[0].retryable());
    assert_eq!(
        config.routes[1].kind,
        WorkKind::NonIdempotent,
        "an unknown kind must be treated as the most restrictive one"
    );
    assert!(!config.routes[1].retryable());
    let engine = config.services[0].engine.as_ref().unwrap();
    assert_eq!(
        (
            engine.layers,
            engine.load_ms,
            engine.mean_prompt_tokens,
            engine.max_concurrent_loads
        ),
        (80, 14_000.0, 775, Some(9))
    );
    assert_eq!(engine.delay_ms("b", "a"), 0.5);
    assert!(config.services[1].engine.is_none());
    assert_eq!(
        (config.limits.body_bytes, config.limits.idle_timeout_ms),
        (1_000, 9_000)
    );
    assert_eq!(config.teams.unwrap()[0].priority, Some(3));
}

#[test]
fn malformed_configuration_is_an_error() {
    for text in [
        "",
        "{}",
        "[]",
        "{\"version\":\"x\"}",
        "{\"version\":1,\"routes\":[{}]}",
        "\u{0}",
    ] {
        assert!(decode_config(text.as_bytes()).is_err(), "{text:?}");
    }
}

fn item(value: &str) -> PlatformItem {
    PlatformItem {
        key: "servers/i-1".to_owned(),
        value: value.as_bytes().to_vec(),
        create_revision: 1,
        mod_revision: 9,
    }
}

#[test]
fn registry_entry_is_decoded_and_a_malformed_one_is_an_error() {
    let text = r#"{"service":"m","address":"10.1.0.9:80","zone":"a","version":"v1","slots":192,
        "state":"ready","cold_remaining_ms":0,"kind":"v100","born":5,"sequence":4,
        "layers":{"from":6,"to":12,"version":1}}"#;
    let entry = decode_entry(2, &item(text)).unwrap();
    assert_eq!(
        (entry.id.as_str(), entry.born, entry.sequence),
        ("i-1", 5, 4)
    );
    assert_eq!(entry.position, StorePosition::new(2, 9));
    assert_eq!(entry.layers, LayerRange { from: 6, to: 12 });
    let malformed = [
        "",
        "{}",
        r#"{"service":"m","address":"10.1.0.9:80","zone":"a","slots":1,"state":"asleep"}"#,
        r#"{"service":"m","address":"nowhere","zone":"a","slots":1,"state":"ready"}"#,
        r#"{"service":"m","address":"10.1.0.9:80","zone":"a","slots":"many","state":"ready"}"#,
        r#"{"service":7,"address":"10.1.0.9:80","zone":"a","slots":1,"state":"ready"}"#,
    ];
    for text in malformed {
        assert!(decode_entry(2, &item(text)).is_err(), "{text}");
    }
}

fn caller_request() -> http::request::Parts {
    let request = Request::post("/l/x?q=1")
        .header("host", "h.example")
        .header("x-attempt-id", "9c41")
        .header("x-api-key", "secret")
        .header("x-tenant", "forged")
        .header("x-expect-replica", "forged")
        .header("x-hops", "forged")
        .header("x-request-priority", "0")
        .header("x-deadline-ms", "20000")
        .header("x-token-count", "1460, 80")
        .header("x-length-hint", "33")
        .header("last-event-id", "12")
        .header("connection", "keep-alive, x-private")
        .header("x-private", "1")
        .header("x-kept", "1");
    request.body(()).unwrap().into_parts().0
}

#[test]
fn upstream_request_has_the_callers_headers_but_not_the_reserved_ones() {
    let parts = caller_request();
    let meta = request_meta(&parts.headers);
    assert_eq!(
        (meta.id.as_str(), meta.api_key.as_str()),
        ("9c41", "secret")
    );
    assert_eq!((meta.prompt_tokens, meta.max_answer_tokens), (1_460, 80));
    assert_eq!((meta.answer_hint, meta.last_event_id), (Some(33), Some(12)));
    let chain = [
        (
            "10.1.0.9:80".parse().unwrap(),
            LayerRange { from: 0, to: 20 },
        ),
        (
            "10.2.0.9:80".parse().unwrap(),
            LayerRange { from: 20, to: 80 },
        ),
    ];
    let added = AddedHeaders {
        remaining_ms: 19_000,
        upstream: "i-1",
        team: Some("mill"),
        priority: Some(12),
        chain: &chain,
        last_event_id: None,
    };
    let request = upstream_request(&parts, &added, ());
    assert_eq!(
        (
            request.method().as_str(),
            request.uri().to_string().as_str()
        ),
        ("POST", "/l/x?q=1")
    );
    let expected = [
        ("host", Some("h.example")),
        ("x-attempt-id", Some("9c41")),
        ("x-api-key", None),
        ("x-tenant", Some("mill")),
        ("x-expect-replica", Some("i-1")),
        ("x-hops", Some("10.1.0.9:80=0-20,10.2.0.9:80=20-80")),
        ("x-request-priority", Some("9")),
        ("x-deadline-ms", Some("19000")),
        ("x-token-count", Some("1460, 80")),
        ("last-event-id", Some("12")),
        ("connection", None),
        ("x-private", None),
        ("x-kept", Some("1")),
    ];
    for (name, value) in expected {
        let found = request
            .headers()
            .get(name)
            .map(|value| value.to_str().unwrap());
        assert_eq!(found, value, "{name}");
        assert!(
            request.headers().get_all(name).iter().count() <= 1,
            "{name} is present more than once"
        );
    }
}

#[test]
fn forged_tenant_header_is_not_forwarded_without_a_team() {
    let added = AddedHeaders {
        remaining_ms: 1,
        upstream: "i-1",
        team: None,
        priority: None,
        chain: &[],
        last_event_id: Some(3),
    };
    let request = upstream_request(&caller_request(), &added, ());
    assert!(request.headers().get("x-tenant").is_none());
    assert!(request.headers().get("x-hops").is_none());
    assert_eq!(request.headers()["last-event-id"], "3");
}

fn headers(rows: &[(&'static str, &'static str)]) -> HeaderMap {
    rows.iter()
        .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
        .collect()
}

#[test]
fn response_is_matched_by_its_request_id_alone() {
    let meta = response_meta(
        "9c41",
        &headers(&[
            ("x-attempt-id", "9c41"),
            ("x-replica-stamp", "s"),
            ("keep-alive", "max=9, timeout=7"),
            ("connection", "Close"),
        ]),
    );
    assert!(
        meta.has_request_id
            && meta.stamped
            && meta.closes_connection
            && !meta.not_run
            && !meta.has_other_id
    );
    assert_eq!(meta.idle_ms, Some(7_000));
    let other = response_meta(
        "9c41",
        &headers(&[("x-attempt-id", "ffff"), ("x-not-executed", "1")]),
    );
    assert!(!other.has_request_id && other.has_other_id);
    let without_id = response_meta("9c41", &headers(&[("at-server", "10.1.0.9:80")]));
    assert!(!without_id.has_request_id && !without_id.has_other_id);
    assert_eq!(
        without_id.faulty_replica,
        Some("10.1.0.9:80".parse().unwrap())
    );
}

#[test]
fn notices_of_an_upstream_are_believed_only_in_their_plain_form() {
    struct Case {
        rows: &'static [(&'static str, &'static str)],
        leaving: bool,
        rest_ms: Option<u64>,
    }
    let rest = |rows, rest_ms| Case {
        rows,
        leaving: false,
        rest_ms,
    };
    let leaving = |rows, leaving| Case {
        rows,
        leaving,
        rest_ms: None,
    };
    let cases = [
        leaving(&[("server-leaving", "1")], true),
        leaving(&[("server-leaving", "0")], false),
        leaving(&[("server-leaving", "")], false),
        leaving(&[("server-leaving", "yes")], false),
        leaving(&[], false),
        rest(&[("retry-after", "2")], Some(2_000)),
        rest(&[("retry-after", " 0.2501 ")], Some(251)),
        rest(&[("retry-after", "0")], Some(0)),
        rest(&[("retry-after", "-3")], None),
        rest(&[("retry-after", "1e300")], None),
        rest(&[("retry-after", "3601")], None),
        rest(&[("retry-after", "inf")], None),
        rest(&[("retry-after", "NaN")], None),
        rest(&[("retry-after", "soon")], None),
        rest(&[("retry-after", "Fri, 04 Dec 2026 08:00:00 GMT")], None),
    ];
    for case in cases {
        let meta = response_meta("9c41", &headers(case.rows));
        assert_eq!(
            (meta.leaving, meta.rest_ms),
            (case.leaving, case.rest_ms),
            "{:?}",
            case.rows
        );
    }
}

#[test]
fn idle_time_of_a_connection_may_be_any_number() {
    let meta = response_meta(
        "9c41",
        &headers(&[("keep-alive", "timeout=18446744073709551615")]),
    );
    assert_eq!(meta.idle_ms, Some(u64::MAX));
}

#[test]
fn era_of_the_store_is_one_whole_number() {
    type Rows = &'static [(&'static str, &'static str)];
    let cases: [(Rows, EraStatement); 7] = [
        (&[], EraStatement::Absent),
        (&[("store-era", "3")], EraStatement::Era(3)),
        (&[("store-era", " 3 ")], EraStatement::Era(3)),
        (&[("store-era", "")], EraStatement::Garbled),
        (&[("store-era", "-1")], EraStatement::Garbled),
        (&[("store-era", "third")], EraStatement::Garbled),
        (
            &[("store-era", "3"), ("store-era", "4")],
            EraStatement::Garbled,
        ),
    ];
    for (rows, statement) in cases {
        let mut map = HeaderMap::new();
        for (name, value) in rows {
            map.append(*name, value.parse().unwrap());
        }
        assert_eq!(store_era(&map), statement, "{rows:?}");
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded_to_the_caller() {
    let forwarded = caller_headers(&headers(&[
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("keep-alive", "timeout=7"),
        ("x-replica-stamp", "s"),
    ]));
    assert_eq!(forwarded.len(), 1);
    assert_eq!(forwarded["x-replica-stamp"], "s");
}

#[test]
fn order_replies_and_reports_are_decoded() {
    let cases = [
        (202, OrderReply::Accepted),
        (200, OrderReply::Done),
        (409, OrderReply::Conflict(None)),
        (412, OrderReply::Fenced),
        (421, OrderReply::Rejected),
        (503, OrderReply::Unanswered),
    ];
    for (status, reply) in cases {
        assert_eq!(order_reply(status), reply, "{status}");
    }
    let report = br#"{"sequence":4,"pace":2.5,"stalled":[{"id":"9c41","address":"10.1.0.9:80"},{"id":"x"}]}"#;
    let report = decode_report(report).unwrap();
    assert_eq!((report.accepted_orders, report.slowdown), (4, 2.5));
    let stalled = report.stalled;
    assert_eq!(stalled[0].address, Some("10.1.0.9:80".parse().unwrap()));
    assert_eq!((stalled[1].id.as_str(), stalled[1].address), ("x", None));
    assert!(decode_report(b"no").is_err());
    assert_eq!(decode_report(b"{}").unwrap().slowdown, 1.0);
}

#[test]
fn notices_are_read_as_they_were_written_and_others_are_rejected() {
    let item = |key: String, value: Vec<u8>| PlatformItem {
        key,
        value,
        create_revision: 1,
        mod_revision: 1,
    };
    let fingerprint = RequestFingerprint::of(&[b"mill", b"GET", b"/x", b""]);
    let leaving = |id: &str, born| KeptNotice::Leaving {
        id: id.to_owned(),
        born,
    };
    for notice in [
        leaving("i-1", 0),
        leaving("a/b", u64::MAX),
        KeptNotice::Quarantine(fingerprint),
        KeptNotice::Quarantine(RequestFingerprint([0; 16])),
        KeptNotice::Released(fingerprint),
        KeptNotice::PromptPart {
            part: PromptPart::new("model", u128::MAX),
            certainty: Some(PartCertainty::Suspected),
        },
        KeptNotice::PromptPart {
            part: PromptPart::new("model", 7),
            certainty: None,
        },
        KeptNotice::PromptPart {
            part: PromptPart::new("", 0),
            certainty: Some(PartCertainty::Confirmed),
        },
    ] {
        let (key, value) = encode_notice(&notice);
        assert!(key.starts_with(NOTICE_PREFIX), "{key}");
        assert_eq!(decode_notice(&item(key, value)).unwrap(), notice);
    }
    for (name, value) in [
        ("leaving/i-1", "soon"),
        ("leaving/i-1", "-1"),
        ("quarantine/", ""),
        ("quarantine/xyz", ""),
        ("quarantine/000000000000000000000000000000000", "0"),
        ("part/1", "confirmed"),
        ("part/1-x", "confirmed"),
        ("part/1-2", "perhaps"),
        ("unknown/i-1", "1"),
        ("", ""),
    ] {
        let item = item(format!("{NOTICE_PREFIX}{name}"), value.as_bytes().to_vec());
        assert!(decode_notice(&item).is_err(), "{name}");
    }
}

#[test]
fn health_check_tells_a_replica_that_is_leaving_from_one_without_room() {
    struct Case {
        status: u16,
        headers: &'static [(&'static str, &'static str)],
        expected: HealthStatement,
    }
    let case = |status, headers, expected| Case {
        status,
        headers,
        expected,
    };
    let own = ("x-replica-id", "i-1");
    let cases = [
        case(200, &[], HealthStatement::Serving),
        case(404, &[], HealthStatement::Serving),
        case(503, &[], HealthStatement::Failing),
        case(503, &[("x-not-executed", "1")], HealthStatement::Serving),
        case(503, &[("retry-after", "2")], HealthStatement::Serving),
        case(200, &[("server-leaving", "1")], HealthStatement::Leaving),
        case(503, &[("server-leaving", "1")], HealthStatement::Leaving),
        case(200, &[("x-replica-id", "i-2")], HealthStatement::Other),
        case(421, &[], HealthStatement::Other),
    ];
    for case in cases {
        for with_id in [false, true] {
            let mut rows = case.headers.to_vec();
            if with_id && !rows.iter().any(|(name, _)| *name == own.0) {
                rows.push(own);
            }
            let status = StatusCode::from_u16(case.status).unwrap();
            let statement = health_statement("i-1", status, &headers(&rows));
            assert_eq!(statement, case.expected, "{} {rows:?}", case.status);
        }
    }
}

#[test]
fn health_check_names_the_replica_and_falls_back_on_its_report() {
    let paths = [
        ("/healthz", "/healthz"),
        ("", "/api/report"),
        ("x", "/api/report"),
    ];
    for (path, expected) in paths {
        let request = health_request("10.0.0.1:80".parse().unwrap(), "i-1", path).unwrap();
        assert_eq!(request.uri().path(), expected);
        assert_eq!(request.headers()["x-expect-replica"], "i-1");
    }
}

#[test]
fn entry_with_a_name_that_no_request_or_log_can_hold_names_no_upstream() {
    let long = "x".repeat(201);
    let cases = [
        ("i-1", "v100", true),
        ("i-1", "zone ü", true),
        ("i 1", "", true),
        ("i-\n", "", false),
        ("i-\u{fe0f}\u{7f}", "", false),
        ("i-1", "v\t100", false),
        ("i-1", &long, false),
        (&long, "", false),
    ];
    for (id, kind, expected) in cases {
        let entry = serde_json::json!({
            "service": "m", "address": "10.0.0.1:80", "zone": "a", "slots": 1, "state": "ready",
            "kind": kind,
        });
        let item = PlatformItem {
            key: format!("servers/{id}"),
            value: entry.to_string().into_bytes(),
            create_revision: 1,
            mod_revision: 1,
        };
        assert_eq!(decode_entry(0, &item).is_ok(), expected, "{id:?} {kind:?}");
    }
}
