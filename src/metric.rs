//! Metrics, under names that follow Prometheus' conventions.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The metrics of one process. Labels come from closed sets, never from teams or replicas.
#[derive(Clone, Debug)]
pub struct MetricSet {
    registry: Registry,
    /// Requests ended, by result.
    pub requests: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Tokens relayed to callers, or positions run by a stage.
    pub tokens: IntCounter,
    /// Messages sent to other processes.
    pub mail_sent: IntCounter,
    /// Calls of the platform's service.
    pub platform_calls: IntCounter,
    /// Config revision in force.
    pub config_revision: IntGauge,
    /// Time to the first byte of an answer, by kind of work, milliseconds.
    pub first_ms: HistogramVec,
    /// Time to the end of an answer, by kind of work, milliseconds.
    pub whole_ms: HistogramVec,
}

/// Upper bounds of the latency histograms, milliseconds.
const LATENCY_BOUNDS_MS: &[f64] = &[
    5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    20_000.0,
];

fn latency(name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_MS.to_vec());
    HistogramVec::new(opts, &["kind"])
}

impl MetricSet {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// When two metrics have one name.
    pub fn new() -> eyre::Result<MetricSet> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("lynxcart_requests_total", "Requests ended, by result."),
            &["result"],
        )?;
        let in_flight = IntGauge::new("lynxcart_requests_in_flight", "Requests in flight.")?;
        let tokens = IntCounter::new("lynxcart_tokens_total", "Tokens relayed or positions run.")?;
        let mail_sent = IntCounter::new(
            "lynxcart_mail_sent_total",
            "Messages sent to other processes.",
        )?;
        let platform_calls = IntCounter::new(
            "lynxcart_platform_calls_total",
            "Calls of the platform's service.",
        )?;
        let config_revision = IntGauge::new(
            "lynxcart_config_revision",
            "Revision up to which the configuration is known.",
        )?;
        let first_ms = latency(
            "lynxcart_first_byte_milliseconds",
            "Time to the first byte of an answer, by kind of work.",
        )?;
        let whole_ms = latency(
            "lynxcart_answer_milliseconds",
            "Time to the end of an answer, by kind of work.",
        )?;
        registry.register(Box::new(first_ms.clone()))?;
        registry.register(Box::new(whole_ms.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(tokens.clone()))?;
        registry.register(Box::new(mail_sent.clone()))?;
        registry.register(Box::new(platform_calls.clone()))?;
        registry.register(Box::new(config_revision.clone()))?;
        Ok(MetricSet {
            registry,
            requests,
            in_flight,
            tokens,
            mail_sent,
            platform_calls,
            config_revision,
            first_ms,
            whole_ms,
        })
    }

    /// The metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        // Encoding into memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8(buffer).unwrap_or_default()
    }
}
