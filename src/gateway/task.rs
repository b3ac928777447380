//! Tasks that run as long as the process. One that panics is started again, so that an unexpected
//! error in it takes down neither the process nor, unnoticed, the task.

use std::future::Future;
use std::time::Duration;

use tokio::task::JoinError;

/// Pause before a task that panicked is started again, milliseconds.
const RESTART_MS: u64 = 200;

/// Starts a task, and starts it again with `make` whenever it panics.
pub fn spawn_lasting<F, T>(name: &'static str, make: F)
where
    F: Fn() -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(make()).await {
            if !error.is_panic() {
                return;
            }
            spdlog::error!(
                "event=task_panicked task={name} error={:?}",
                panic_text(error)
            );
            tokio::time::sleep(Duration::from_millis(RESTART_MS)).await;
        }
    });
}

fn panic_text(error: JoinError) -> String {
    let payload = error.into_panic();
    let text = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "unknown".to_owned())
}
