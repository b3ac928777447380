//! How long before its latency target a request has to be sent to be answered in time.

use std::collections::HashMap;

/// Weight of the newest time in the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of the newest time in the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of mean deviations that are allowed for.
const DEVIATIONS: f64 = 4.0;
/// Smallest part of the latency target that is allowed for the answer.
const MIN_PART: f64 = 0.2;
/// Largest part. A request may always wait for the rest: where answers are late by themselves, those that
/// found room at once would else be all that is served.
const MAX_PART: f64 = 0.8;
/// Part of the latency target that is allowed for the answer while none was measured.
const UNKNOWN_PART: f64 = 0.5;

/// Mean and deviation of the time from sending a request to the first event, as TCP estimates its
/// round trip (RFC 6298).
#[derive(Clone, Copy, Debug)]
struct EventTime {
    mean_ms: f64,
    deviation_ms: f64,
}

/// Time that the replicas of each service take to the first event of an answer.
#[derive(Clone, Debug, Default)]
pub struct LeadTime {
    services: HashMap<String, EventTime>,
}

impl LeadTime {
    /// Records the time from sending a request to the first event, milliseconds.
    pub fn record(&mut self, service: &str, event_ms: f64) {
        let Some(time) = self.services.get_mut(service) else {
            let time = EventTime {
                mean_ms: event_ms,
                deviation_ms: event_ms / 2.0,
            };
            self.services.insert(service.to_owned(), time);
            return;
        };
        let apart_ms = (event_ms - time.mean_ms).abs();
        time.deviation_ms += (apart_ms - time.deviation_ms) * DEVIATION_GAIN;
        time.mean_ms += (event_ms - time.mean_ms) * MEAN_GAIN;
    }

    /// How long a request may wait for room, from when it was received, and still be answered within
    /// its latency target, milliseconds.
    pub fn wait_ms(&self, service: &str, latency_target_ms: u64) -> u64 {
        let target_ms = latency_target_ms as f64;
        let lead_ms = match self.services.get(service) {
            Some(time) => time.mean_ms + DEVIATIONS * time.deviation_ms,
            None => target_ms * UNKNOWN_PART,
        };
        let lead_ms = lead_ms.clamp(target_ms * MIN_PART, target_ms * MAX_PART);
        (target_ms - lead_ms) as u64
    }
}
