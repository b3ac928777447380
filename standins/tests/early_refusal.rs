//! A replica that refuses a request before it has read its body, and resets the connection.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;
use standins::site::{SiteRequest, TestSite};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a replica that refuses each request once it has read some of it, and closes the connection.
async fn start_refusing_replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let read = stream.read(&mut buffer).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            let mut ids = text
                .lines()
                .filter_map(|line| line.strip_prefix("x-attempt-id: "));
            let id = ids.next().unwrap_or("");
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n\
                 connection: close\r\ncontent-length: 0\r\n\r\n"
            );
            let _ = stream.write_all(refusal.as_bytes()).await;
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_replica_that_has_not_read_the_body_is_passed_on() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("early-refusal");
    let site = TestSite::start(logs, 1)
        .await
        .expect("the site should start");
    let address = start_refusing_replica().await;
    for replica in &site.plain_addresses {
        let id = site.replicas.state(*replica).id;
        site.replicas.change(*replica, |state| state.dead = true);
        tokio::time::sleep(Duration::from_millis(400)).await;
        site.store.remove(&format!("servers/{id}"));
    }
    let entry = json!({
        "service": "plain", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 64, "state": "ready", "sequence": 1, "born": 1, "kind": "",
        "layers": {"from": 0, "to": 0, "version": 1},
    });
    site.store.put("servers/i-refusing", &entry);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut statuses = Vec::new();
    for number in 0..20 {
        let request = SiteRequest {
            body: "x".repeat(900_000).leak(),
            ..SiteRequest::issue(&format!("early-{number}"))
        };
        let answer = site.fetch(0, &request).await;
        statuses.push(answer.expect("the gateway should respond").status);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(statuses, [503; 20]);
}
