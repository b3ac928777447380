//! Tests of tasks that run as long as the process.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use lynxcart::gateway::task::spawn_lasting;

#[tokio::test]
async fn lasting_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let (done, mut ended) = tokio::sync::mpsc::channel(1);
    let counter = starts.clone();
    spawn_lasting("test", move || {
        let (counter, done) = (counter.clone(), done.clone());
        async move {
            let start = counter.fetch_add(1, Ordering::Relaxed);
            assert!(start >= 2, "start {start} meets an unexpected error");
            done.send(start).await.expect("the test waits");
        }
    });
    let limit = Duration::from_secs(5);
    let third = tokio::time::timeout(limit, ended.recv()).await;
    assert_eq!(third, Ok(Some(2)));
    // A task that ends by itself is not started again.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}
