//! Replicas that answer, break off or pause before they have read the body of a request.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use standins::site::{SiteRequest, TestSite};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn start_site(name: &str) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    TestSite::start(logs, 1)
        .await
        .expect("the site should start")
}

/// Puts a replica in the place of those of the plain service.
async fn replace_plain_replicas(site: &TestSite, address: SocketAddr) {
    let entry = json!({
        "service": "plain", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 64, "state": "ready", "sequence": 1, "born": 1, "kind": "",
        "layers": {"from": 0, "to": 0, "version": 1},
    });
    site.store.put("servers/i-unread", &entry);
    for address in &site.plain_addresses {
        let id = site.replicas.state(*address).id;
        site.replicas.change(*address, |state| state.dead = true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        site.store.remove(&format!("servers/{id}"));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// Starts a replica that answers before it has read the body, without a length, and resets the
/// connection in the middle of the answer.
async fn start_resetting_replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                let read = stream.read(&mut buffer).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
                let mut ids = text
                    .lines()
                    .filter_map(|line| line.strip_prefix("x-attempt-id: "));
                let id = ids.next().unwrap_or("");
                let part = format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n\r\nhalf of"
                );
                let _ = stream.write_all(part.as_bytes()).await;
                let _ = stream.set_zero_linger();
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_is_reset_while_the_body_is_sent_is_not_whole() {
    let site = start_site("unread-body-reset").await;
    let address = start_resetting_replica().await;
    replace_plain_replicas(&site, address).await;
    let mut answers = Vec::new();
    for number in 0..20 {
        let request = SiteRequest {
            body: "x".repeat(900_000).leak(),
            ..SiteRequest::issue(&format!("reset-{number}"))
        };
        let answer = site.fetch(0, &request).await;
        let answer = answer.expect("the gateway should respond");
        answers.push((
            answer.status,
            answer.body.chars().take(60).collect::<String>(),
        ));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(
        answers.iter().all(|(status, _)| *status != 200),
        "{answers:?}"
    );
}

/// Starts a replica that does not read on for some time after it has read a part of a request.
async fn start_late_reader(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = vec![0; 65_536];
                let read = stream.read(&mut buffer).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
                let mut ids = text
                    .lines()
                    .filter_map(|line| line.strip_prefix("x-attempt-id: "));
                let id = ids.next().unwrap_or("");
                tokio::time::sleep(pause).await;
                let mut left = (900_000 + text.find("\r\n\r\n").unwrap_or(0) + 4) - read;
                while left > 0 {
                    match stream.read(&mut buffer).await {
                        Ok(0) | Err(_) => return,
                        Ok(count) => left -= count,
                    }
                }
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-replica-stamp: stamp\r\n\
                     connection: close\r\ncontent-length: 4\r\n\r\ndone"
                );
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_body_is_read_late_is_not_given_up() {
    let site = start_site("unread-body-late").await;
    let address = start_late_reader(Duration::from_millis(5_500)).await;
    replace_plain_replicas(&site, address).await;
    let body: &'static str = "x".repeat(900_000).leak();
    let requests: Vec<_> = (0..6)
        .map(|number| SiteRequest {
            body,
            ..SiteRequest::issue(&format!("late-{number}"))
        })
        .collect();
    let answers = join_all(requests.iter().map(|request| site.fetch(0, request))).await;
    let statuses: Vec<u16> = answers
        .into_iter()
        .map(|answer| answer.map_or(0, |answer| answer.status))
        .collect();
    assert_eq!(statuses, [200; 6]);
}
