//! Decoding of registry entries, by which upstreams register themselves in the platform's store.

use std::net::SocketAddr;

use eyre::{bail, ensure, eyre, WrapErr};
use http::HeaderValue;
use serde::Deserialize;

use crate::gateway::upstream::{LayerRange, UpstreamEntry};
use crate::platform::REGISTRY_PREFIX;
use crate::store::position::StorePosition;
use crate::store::PlatformItem;

#[derive(Deserialize)]
struct RawEntry {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: String,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    kind: String,
    layers: Option<RawLayers>,
}

#[derive(Deserialize)]
struct RawLayers {
    from: u32,
    to: u32,
}

/// Returns the upstream's id from a registry key. Returns `None` if the key is not in the registry
/// or has no id.
pub fn entry_id(key: &str) -> Option<&str> {
    key.strip_prefix(REGISTRY_PREFIX)
        .filter(|id| !id.is_empty())
}

/// Longest name in an entry, bytes. Keys of the store are not longer.
const MAX_NAME_BYTES: usize = 200;

/// Checks a name that goes into log lines and messages.
fn check_name(what: &str, name: &str) -> eyre::Result<()> {
    ensure!(
        name.len() <= MAX_NAME_BYTES,
        "the {what} has {} bytes, expected at most {MAX_NAME_BYTES}",
        name.len()
    );
    let is_plain = !name.chars().any(char::is_control);
    ensure!(is_plain, "the {what} {name:?} has control characters");
    Ok(())
}

/// Decodes one registry entry that was read in an era of the store.
///
/// # Errors
///
/// If the key has no id, or the value lacks a field, has a field of another type, has a name that is
/// too long or has control characters, an id that no header can hold, or an unknown state.
pub fn decode_entry(era: u64, item: &PlatformItem) -> eyre::Result<UpstreamEntry> {
    let id = entry_id(&item.key)
        .ok_or_else(|| eyre!("the key has no id after \"{REGISTRY_PREFIX}\""))?;
    let raw: RawEntry =
        serde_json::from_slice(&item.value).wrap_err("could not decode the entry as JSON")?;
    let draining = match raw.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => bail!("unknown state {other:.20?}, expected \"ready\" or \"draining\""),
    };
    let names = [
        ("id", id),
        ("service", &raw.service),
        ("zone", &raw.zone),
        ("kind", &raw.kind),
    ];
    for (what, name) in names {
        check_name(what, name)?;
    }
    // Requests name the upstream that they are meant for.
    HeaderValue::from_str(id).wrap_err_with(|| format!("the id {id:?} fits into no header"))?;
    let layers = raw
        .layers
        .map_or(LayerRange::default(), |layers| LayerRange {
            from: layers.from,
            to: layers.to,
        });
    Ok(UpstreamEntry {
        id: id.to_owned(),
        born: raw.born,
        service: raw.service,
        address: raw.address,
        domain: raw.zone,
        slots: raw.slots,
        draining,
        kind: raw.kind,
        layers,
        sequence: raw.sequence,
        position: StorePosition::new(era, item.mod_revision),
    })
}
