//! Prometheus metrics of a process.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Metrics of one process. Label values come from fixed sets and never name teams or replicas, so
/// the number of time series is bounded.
#[derive(Clone, Debug)]
pub struct MetricSet {
    registry: Registry,
    /// Number of ended requests, by result.
    pub requests: IntCounterVec,
    /// Number of requests in flight.
    pub in_flight: IntGauge,
    /// Number of tokens sent to callers by an entry, of chunks of events relayed by a gateway, or
    /// of positions sent to its engine by an agent.
    pub tokens: IntCounter,
    /// Number of replicas that crashed, or were cut off, while they ran a gateway's request.
    pub crashes_under_requests: IntCounter,
    /// Number of upstreams that name a limit on the requests that they take.
    pub limited_upstreams: IntGauge,
    /// Number of permits that requests to such upstreams needed, by how they were had.
    pub permits: IntCounterVec,
    /// Bytes held for the connections, requests and answers of a gateway's callers.
    pub caller_bytes: IntGauge,
    /// Open connections of a gateway's callers.
    pub caller_connections: IntGauge,
    /// Number of callers' connections that were given up, or not accepted, for want of room, by what
    /// they were doing.
    pub caller_evictions: IntCounterVec,
    /// Number of callers' connections that were closed after the times of the configuration, by what
    /// they were doing.
    pub caller_expiries: IntCounterVec,
    /// Number of refused requests whose bodies were discarded after the refusal, by how that ended.
    pub refused_bodies: IntCounterVec,
    /// Number of a gateway's requests that wait for free capacity at the upstreams.
    pub waiting_requests: IntGauge,
    /// Waits of requests that found free capacity only later or not at all, by priority and result.
    pub room_waits: IntCounterVec,
    /// Number of a gateway's requests that outlasted its graceful shutdown, by what their callers got.
    pub ended_by_stop: IntCounterVec,
    /// By how much a gateway is behind its own work, milliseconds.
    pub own_delay_ms: IntGauge,
    /// Number of messages sent to other processes.
    pub messages_sent: IntCounter,
    /// Number of requests of an agent to the platform's key-value store; entries and gateways do
    /// not count theirs.
    pub platform_requests: IntCounter,
    /// Revision up to which an entry knows the configuration.
    pub config_revision: IntGauge,
    /// Time from the receipt of a request by a gateway to the first byte of its answer, by kind of
    /// request, in milliseconds.
    pub first_byte_ms: HistogramVec,
    /// Time from the receipt of a request by a gateway to the end of its answer, by kind of request,
    /// in milliseconds.
    pub answer_ms: HistogramVec,
}

/// Upper bounds of the buckets of the latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: &[f64] = &[
    5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    20_000.0,
];

fn latency_histogram(name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_MS.to_vec());
    HistogramVec::new(opts, &["kind"])
}

impl MetricSet {
    /// Creates the metrics and registers them in a registry of their own.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name or a name is invalid.
    pub fn new() -> eyre::Result<MetricSet> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("lynxcart_requests_total", "Requests ended, by result."),
            &["result"],
        )?;
        let in_flight = IntGauge::new("lynxcart_requests_in_flight", "Requests in flight.")?;
        let tokens = IntCounter::new("lynxcart_tokens_total", "Tokens relayed or positions run.")?;
        let crashes_under_requests = IntCounter::new(
            "lynxcart_crashes_under_requests_total",
            "Replicas that crashed or were cut off while they ran a request.",
        )?;
        let limited_upstreams = IntGauge::new(
            "lynxcart_limited_upstreams",
            "Upstreams that name a limit on the requests that they take.",
        )?;
        let permits = IntCounterVec::new(
            Opts::new(
                "lynxcart_permits_total",
                "Permits that requests to upstreams with a limit needed, by how they were had.",
            ),
            &["result"],
        )?;
        let caller_bytes = IntGauge::new(
            "lynxcart_caller_bytes",
            "Bytes held for callers' connections, requests and answers.",
        )?;
        let caller_connections = IntGauge::new(
            "lynxcart_caller_connections",
            "Open connections of callers.",
        )?;
        let caller_evictions = IntCounterVec::new(
            Opts::new(
                "lynxcart_caller_evictions_total",
                "Callers' connections given up for want of room, by what they were doing.",
            ),
            &["phase"],
        )?;
        let caller_expiries = IntCounterVec::new(
            Opts::new(
                "lynxcart_caller_expiries_total",
                "Callers' connections closed after the times of the configuration, by what they were doing.",
            ),
            &["phase"],
        )?;
        let refused_bodies = IntCounterVec::new(
            Opts::new(
                "lynxcart_refused_bodies_total",
                "Bodies discarded after the refusal of their requests, by how that ended.",
            ),
            &["end"],
        )?;
        let waiting_requests = IntGauge::new(
            "lynxcart_waiting_requests",
            "Requests that wait for free capacity.",
        )?;
        let room_waits = IntCounterVec::new(
            Opts::new(
                "lynxcart_room_waits_total",
                "Requests that waited for free capacity, by priority and how it ended.",
            ),
            &["priority", "result"],
        )?;
        let ended_by_stop = IntCounterVec::new(
            Opts::new(
                "lynxcart_requests_ended_by_stop_total",
                "Requests that outlasted a graceful shutdown, by what their callers got.",
            ),
            &["answer"],
        )?;
        let own_delay_ms = IntGauge::new(
            "lynxcart_own_delay_milliseconds",
            "By how much the gateway is behind its own work.",
        )?;
        let messages_sent = IntCounter::new(
            "lynxcart_mail_sent_total",
            "Messages sent to other processes.",
        )?;
        let platform_requests = IntCounter::new(
            "lynxcart_platform_calls_total",
            "Calls of the platform's service.",
        )?;
        let config_revision = IntGauge::new(
            "lynxcart_config_revision",
            "Revision up to which the configuration is known.",
        )?;
        let first_byte_ms = latency_histogram(
            "lynxcart_first_byte_milliseconds",
            "Time to the first byte of an answer, by kind of work.",
        )?;
        let answer_ms = latency_histogram(
            "lynxcart_answer_milliseconds",
            "Time to the end of an answer, by kind of work.",
        )?;
        registry.register(Box::new(first_byte_ms.clone()))?;
        registry.register(Box::new(answer_ms.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(tokens.clone()))?;
        registry.register(Box::new(crashes_under_requests.clone()))?;
        registry.register(Box::new(limited_upstreams.clone()))?;
        registry.register(Box::new(permits.clone()))?;
        registry.register(Box::new(caller_bytes.clone()))?;
        registry.register(Box::new(caller_connections.clone()))?;
        registry.register(Box::new(caller_evictions.clone()))?;
        registry.register(Box::new(caller_expiries.clone()))?;
        registry.register(Box::new(refused_bodies.clone()))?;
        registry.register(Box::new(waiting_requests.clone()))?;
        registry.register(Box::new(room_waits.clone()))?;
        registry.register(Box::new(ended_by_stop.clone()))?;
        registry.register(Box::new(own_delay_ms.clone()))?;
        registry.register(Box::new(messages_sent.clone()))?;
        registry.register(Box::new(platform_requests.clone()))?;
        registry.register(Box::new(config_revision.clone()))?;
        Ok(MetricSet {
            registry,
            requests,
            in_flight,
            tokens,
            crashes_under_requests,
            limited_upstreams,
            permits,
            caller_bytes,
            caller_connections,
            caller_evictions,
            caller_expiries,
            refused_bodies,
            waiting_requests,
            room_waits,
            ended_by_stop,
            own_delay_ms,
            messages_sent,
            platform_requests,
            config_revision,
            first_byte_ms,
            answer_ms,
        })
    }

    /// Counts the end of a wait for free capacity: `in_time`, `late` or `refused`.
    pub fn count_room_wait(&self, priority: u8, result: &str) {
        let labels = [&priority.to_string(), result];
        self.room_waits.with_label_values(&labels).inc();
    }

    /// Counts a permit that a request needed: `own`, `asked`, `denied` or `unanswered`.
    pub fn count_permit(&self, result: &str) {
        self.permits.with_label_values(&[result]).inc();
    }

    /// Counts a request that outlasted a graceful shutdown: `not_run`, `may_have_run`,
    /// `upstream_error` or `broken_off`.
    pub fn count_ended_by_stop(&self, answer: &str) {
        self.ended_by_stop.with_label_values(&[answer]).inc();
    }

    /// Returns the numbers of requests that outlasted a graceful shutdown, as `answer=number` pairs.
    pub fn ended_by_stop_summary(&self) -> String {
        let answers = ["not_run", "may_have_run", "upstream_error", "broken_off"];
        let counts = answers.map(|answer| {
            let count = self.ended_by_stop.with_label_values(&[answer]).get();
            format!("{answer}={count}")
        });
        counts.join(" ")
    }

    /// Counts a connection that was given up for want of room: `idle`, `head`, `body`, or
    /// `not_accepted`.
    pub fn count_caller_eviction(&self, phase: &str) {
        self.caller_evictions.with_label_values(&[phase]).inc();
    }

    /// Counts a connection that was closed after the times of the configuration: `idle` or `head`.
    pub fn count_caller_expiry(&self, phase: &str) {
        self.caller_expiries.with_label_values(&[phase]).inc();
    }

    /// Counts a body that was discarded after the refusal of its request, by how that ended.
    pub fn count_refused_body(&self, end: &str) {
        self.refused_bodies.with_label_values(&[end]).inc();
    }

    /// Returns the current values in the Prometheus text format.
    pub fn prometheus_text(&self) -> String {
        let mut buffer = Vec::new();
        // Encoding into memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8(buffer).unwrap_or_default()
    }
}
