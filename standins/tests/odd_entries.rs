//! Odd entries, as another writer may leave them, in the lists that gateways read: gateways go on to
//! follow the lists, and serve.

use std::path::{Path, PathBuf};
use std::time::Duration;

use standins::site::{SiteRequest, TestSite};

/// Longest line of a log, in bytes: its text and what stands before that.
const MAX_LINE_BYTES: usize = 4_096 + 200;

/// Values that are no entries, or hardly.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |levels: usize| {
        let open = "[".repeat(levels);
        format!(
            "{{\"service\":\"plain\",\"x\":{open}{}}}",
            "]".repeat(levels)
        )
    };
    let entry = |field: &str| {
        format!(
            "{{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"slots\":1,\
             \"state\":\"draining\",\"born\":1,{field}}}"
        )
    };
    let texts = [
        String::new(),
        "1e999".to_owned(),
        "null".to_owned(),
        "{".to_owned(),
        nested(1_500),
        nested(200_000),
        "[".repeat(200_000),
        entry("\"sequence\":1e999"),
        entry("\"sequence\":18446744073709551616"),
        entry("\"sequence\":18446744073709551615"),
        entry("\"sequence\":-1"),
        entry("\"layers\":{\"from\":4294967295,\"to\":0}"),
        entry("\"address\":\"127.0.0.1:65536\""),
        entry("\"address\":\"127.0.0.1:0\""),
        entry(&format!("\"kind\":\"{}\"", "x".repeat(300_000))),
        "{\"slots\":[{\"id\":\"x\",\"domain\":\"a\",\"kind\":\"card\",\"from\":4294967295,\"to\":1,\
         \"spare\":false}]}"
            .to_owned(),
    ];
    let mut values: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    values.push(vec![0xff, 0xfe, 0x00, 0x80]);
    values
}

/// Ends of keys that are no names, or hardly.
const ODD_NAMES: [&str; 9] = [
    "",
    " ",
    "a b&after=",
    "50%",
    "%zz",
    "#x",
    "a/../b",
    "line\nbreak",
    "\u{fe0f}é",
];

#[tokio::test(flavor = "multi_thread")]
async fn odd_entry_in_a_list_neither_ends_a_gateway_nor_keeps_it_from_following() {
    let lists = [
        "servers/",
        "lynxcart/gateways/",
        "lynxcart/notices/leaving/",
        "lynxcart/notices/quarantine/",
        "lynxcart/notices/part/",
        "lynxcart/notices/",
        "lynxcart/plan",
        "lynxcart/duty/placing",
    ];
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("odd-entries");
    let mut site = TestSite::start(logs.clone(), 2)
        .await
        .expect("the site should start");
    for list in lists {
        let is_list = list.ends_with('/');
        for (number, value) in odd_values().iter().enumerate() {
            let name = if is_list {
                format!("odd-{number}")
            } else {
                String::new()
            };
            site.store.put_bytes(&format!("{list}{name}"), value);
        }
        for name in ODD_NAMES.iter().filter(|_| is_list) {
            site.store.put_bytes(&format!("{list}{name}"), b"{}");
        }
    }
    for restarted in [false, true] {
        if restarted {
            site.restart_all_gateways()
                .await
                .expect("the gateways should restart");
        }
        // What is written after the odd entries is followed.
        let replica = site.plain_addresses[0];
        site.replicas
            .change(replica, |state| state.incarnation += 1);
        let other = site.replicas.state(site.plain_addresses[1]).id;
        site.replicas
            .change(site.plain_addresses[1], |state| state.dead = true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        site.store.remove(&format!("servers/{other}"));
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for gateway in 0..2 {
            let arrivals = site.count_arrivals(gateway, replica).await;
            assert_eq!(arrivals, 20, "gateway {gateway}, restarted: {restarted}");
            let stream = SiteRequest::stream(&format!("s-{gateway}-{restarted}"), 5);
            let answer = site.fetch(gateway, &stream).await;
            let answer = answer.expect("the stream should complete");
            assert_eq!(answer.event_ids(), [1, 2, 3, 4, 5]);
            let process = &mut site.gateways[gateway].process;
            assert!(!process.has_exited().expect("the process should be there"));
        }
        site.replicas
            .change(site.plain_addresses[1], |state| state.dead = false);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    check_logs(&logs);
}

/// Checks that each line of the logs is one of the gateway's, and bounded.
fn check_logs(logs: &Path) {
    let files = std::fs::read_dir(logs).expect("the folder of the logs should be there");
    let names = files.map(|file| file.expect("a log").path());
    let logs: Vec<PathBuf> = names.filter(|path| path.extension().is_some()).collect();
    assert!(!logs.is_empty());
    for path in logs {
        let text = std::fs::read_to_string(&path).expect("a log should be text");
        for line in text.lines() {
            let start: String = line.chars().take(100).collect();
            assert!(line.starts_with("time="), "{path:?}: {start}");
            let length = line.len();
            assert!(
                length <= MAX_LINE_BYTES,
                "{path:?}: {length} bytes: {start}"
            );
        }
    }
}
