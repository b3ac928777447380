//! Metrics, under names that follow Prometheus' conventions.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

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
