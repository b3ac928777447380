//! Store items of notices, by which gateways that start learn what others learnt before.

use eyre::{bail, WrapErr};

use crate::gateway::notice::KeptNotice;
use crate::platform::NOTICE_PREFIX;
use crate::store::PlatformItem;

const LEAVING: &str = "leaving/";
const QUARANTINE: &str = "quarantine/";
const PROMPT_PART: &str = "part/";
/// Value of the notice of a request or a part that was released.
const RELEASED: &str = "released";

/// Returns the store key and value of a notice.
pub fn encode_notice(notice: &KeptNotice) -> (String, Vec<u8>) {
    match notice {
        KeptNotice::Leaving { id, born } => (
            format!("{NOTICE_PREFIX}{LEAVING}{id}"),
            born.to_string().into_bytes(),
        ),
        KeptNotice::Quarantine(fingerprint) => {
            let key = format!("{NOTICE_PREFIX}{QUARANTINE}{fingerprint}");
            (key, Vec::new())
        }
        KeptNotice::Released(fingerprint) => (
            format!("{NOTICE_PREFIX}{QUARANTINE}{fingerprint}"),
            RELEASED.as_bytes().to_vec(),
        ),
        KeptNotice::PromptPart { part, certainty } => (
            format!("{NOTICE_PREFIX}{PROMPT_PART}{part}"),
            certainty
                .map_or_else(|| RELEASED.to_owned(), |certainty| certainty.to_string())
                .into_bytes(),
        ),
    }
}

/// Decodes a notice.
///
/// # Errors
///
/// If the key names no kind of notice, or key or value are not in the form of that kind.
pub fn decode_notice(item: &PlatformItem) -> eyre::Result<KeptNotice> {
    let name = item.key.strip_prefix(NOTICE_PREFIX).unwrap_or(&item.key);
    let value_text = || std::str::from_utf8(&item.value).wrap_err("the value is not text");
    if let Some(id) = name.strip_prefix(LEAVING) {
        let text = value_text()?;
        let born = text
            .parse()
            .wrap_err_with(|| format!("could not parse the start \"{text}\""))?;
        let id = id.to_owned();
        return Ok(KeptNotice::Leaving { id, born });
    }
    if let Some(text) = name.strip_prefix(QUARANTINE) {
        let fingerprint = text.parse()?;
        return Ok(match value_text()? {
            RELEASED => KeptNotice::Released(fingerprint),
            _ => KeptNotice::Quarantine(fingerprint),
        });
    }
    if let Some(part) = name.strip_prefix(PROMPT_PART) {
        let (part, text) = (part.parse()?, value_text()?);
        let certainty = match text {
            RELEASED => None,
            text => Some(
                text.parse()
                    .wrap_err_with(|| format!("unknown certainty \"{text}\""))?,
            ),
        };
        return Ok(KeptNotice::PromptPart { part, certainty });
    }
    bail!("unknown kind of notice, expected \"{LEAVING}\", \"{QUARANTINE}\" or \"{PROMPT_PART}\"")
}
