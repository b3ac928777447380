//! Identifies a request that its caller sends again, at whichever process it arrives.

use std::fmt;
use std::str::FromStr;

use eyre::{ensure, eyre};

/// A hash of what makes two requests the same: for an entry, the team, model and prompt; for a
/// gateway, the team, method, path with query, and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub [u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from its parts, in order.
    pub fn of(parts: &[&[u8]]) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new_derive_key("lynxcart 2026-12 crash fingerprint");
        for part in parts {
            hasher.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(part);
        }
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        RequestFingerprint(hash)
    }
}

impl FromStr for RequestFingerprint {
    type Err = eyre::Report;

    /// Parses the form that [`fmt::Display`] writes: 32 hexadecimal digits.
    fn from_str(text: &str) -> eyre::Result<RequestFingerprint> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        ensure!(is_hex, "\"{text}\" does not have 32 hexadecimal digits");
        let number = u128::from_str_radix(text, 16).map_err(|error| eyre!(error))?;
        Ok(RequestFingerprint(number.to_be_bytes()))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
