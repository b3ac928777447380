//! Limits on requests a second that upstreams name in their answers.

/// Largest limit that is believed, requests a second. A larger one is taken for a garbled header.
const MAX_LIMIT_PER_S: f64 = 1e6;

/// What an answer says of the requests that its upstream takes from all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: the upstream names no limit.
    #[default]
    Absent,
    /// Something that is no limit.
    Garbled,
    /// This many requests a second.
    PerSecond(f64),
}

impl LimitStatement {
    /// Reads the values of the header that names a limit: decimal numbers without sign or exponent.
    /// Of several the smallest counts.
    pub fn from_values<'a>(values: impl Iterator<Item = &'a str>) -> LimitStatement {
        let mut statement = LimitStatement::Absent;
        for value in values {
            let limit = parse_limit(value.trim());
            statement = match (statement, limit) {
                (LimitStatement::PerSecond(known), Some(limit)) => {
                    LimitStatement::PerSecond(known.min(limit))
                }
                (_, Some(limit)) => LimitStatement::PerSecond(limit),
                (LimitStatement::Absent, None) => LimitStatement::Garbled,
                (known, None) => known,
            };
        }
        statement
    }
}

fn parse_limit(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let limit: f64 = text.parse().ok().filter(|_| is_decimal)?;
    (limit <= MAX_LIMIT_PER_S).then_some(limit)
}
