//! Configuration: profiles, drafts and teams as stored, and the table of their latest revisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::wire::gen::{ConfigDelta, ConfigItem};

/// Prefix of all configuration keys in the platform's key-value store.
pub const CONFIG_PREFIX: &str = "/lynxcart/config/";
/// Prefix of the keys of accepted profiles.
pub const PROFILE_PREFIX: &str = "/lynxcart/config/profiles/";
/// Prefix of the keys of teams.
pub const TEAM_PREFIX: &str = "/lynxcart/config/teams/";
/// Prefix of the keys of drafts, which are not part of the active configuration.
pub const DRAFT_PREFIX: &str = "/lynxcart/drafts/";

/// Maximum length of a name in a profile, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of layers of a model.
const MAX_LAYERS: u32 = 4096;
/// Maximum of the bound that a profile may set on the tokens of an answer.
const MAX_ANSWER_TOKENS: u32 = 131_072;

/// How a service handles a non-idempotent request without an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeylessPolicy {
    /// The request is refused with [`RefusalReason::KeyRequired`](crate::verdict::RefusalReason).
    #[default]
    Refuse,
    /// The request is run once; if the caller sends it again, it is a new request.
    RunOnce,
}

/// What a profile routes requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ProfileTarget {
    /// A model, served by a chain of upstreams that together hold all its layers.
    Model {
        /// Name of the model, as engines report it.
        model: String,
        /// Number of layers to cover.
        layers: u32,
        /// Maximum number of tokens in an answer.
        max_tokens: u32,
    },
    /// A plain service.
    Service {
        /// Name of the service, as agents report it.
        service: String,
        /// Path prefixes whose requests are idempotent; each starts with "/".
        idempotent_paths: Vec<String>,
        /// Handling of a non-idempotent request without a key.
        #[serde(default)]
        keyless: KeylessPolicy,
    },
}

/// A profile as written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSpec {
    /// Name by which callers select the profile.
    pub name: String,
    /// Model or service that requests are routed to.
    pub target: ProfileTarget,
}

impl ProfileSpec {
    /// Validates the names and ranges that the type does not enforce.
    ///
    /// # Errors
    ///
    /// A message with the field, its value and what was expected.
    pub fn check(&self) -> Result<(), String> {
        check_name("name", &self.name)?;
        match &self.target {
            ProfileTarget::Model {
                model,
                layers,
                max_tokens,
            } => {
                check_name("model", model)?;
                check_range("layers", *layers, MAX_LAYERS)?;
                check_range("max_tokens", *max_tokens, MAX_ANSWER_TOKENS)
            }
            ProfileTarget::Service {
                service,
                idempotent_paths,
                ..
            } => {
                check_name("service", service)?;
                match idempotent_paths.iter().find(|path| !path.starts_with('/')) {
                    Some(path) => Err(format!(
                        "idempotent_paths: \"{path}\" does not start with \"/\""
                    )),
                    None => Ok(()),
                }
            }
        }
    }
}

fn check_name(field: &str, name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(format!(
            "{field}: \"{name}\" is not 1 to {MAX_NAME_BYTES} of a-z, 0-9, \"-\", \"_\" and \".\""
        ));
    }
    Ok(())
}

fn check_range(field: &str, value: u32, limit: u32) -> Result<(), String> {
    if value == 0 || value > limit {
        return Err(format!("{field}: {value} is not from 1 to {limit}"));
    }
    Ok(())
}

/// An accepted profile as stored, with its operator and time of acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileRecord {
    /// The profile as accepted.
    pub spec: ProfileSpec,
    /// Name of the operator who accepted the profile.
    pub operator: String,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Random identifier of the write, which shows whether a write whose response was lost took
    /// effect.
    pub write_id: String,
}

/// A draft as stored: the proposed profile and the revision that it is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DraftRecord {
    /// The proposed profile.
    pub spec: ProfileSpec,
    /// Revision of the accepted profile that the draft is based on; zero when there was none.
    pub base_revision: u64,
    /// Name of the operator who saved the draft.
    pub operator: String,
    /// Time of the save, in milliseconds since 1970.
    pub saved_ms: u64,
}

/// A team of callers as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Hash of the team's bearer token, computed by [`token_hash`].
    pub token_hash: String,
    /// Maximum number of the team's requests in flight at one entry.
    pub in_flight_limit: u32,
}

/// Hashes a bearer token for storage and lookup, with BLAKE3 in key derivation mode. Returns 64
/// hexadecimal digits.
pub fn token_hash(token: &str) -> String {
    blake3::derive_key("lynxcart 2026-12 bearer token", token.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// The configuration as known to one process: each key with its latest known value and revision.
///
/// A key never goes back to a lower revision, whatever the source of the update. The table records
/// the revision up to which it is complete.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    items: BTreeMap<String, ConfigItem>,
    profiles: BTreeMap<String, ProfileRecord>,
    /// Name and record of each team by the hash of its bearer token.
    teams: BTreeMap<String, (String, TeamRecord)>,
    complete_to: u64,
}

impl ConfigTable {
    /// Revision up to which every written key has been applied.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Applies `items`: every key written after `after` and up to `complete_to`, with its latest
    /// value. A deleted key has an empty value, or is missing if it was deleted before a read.
    ///
    /// Returns the keys that changed.
    pub fn apply(&mut self, after: u64, complete_to: u64, items: Vec<ConfigItem>) -> Vec<String> {
        let previous_revision = self.complete_to;
        let mut changed_keys = Vec::new();
        for item in items {
            if self.apply_item(&item) {
                changed_keys.push(item.key);
            }
        }
        // If `after` is beyond the revision up to which the table is complete, changes between the
        // two are missing.
        if after <= self.complete_to {
            self.complete_to = self.complete_to.max(complete_to);
        }
        assert!(
            self.complete_to >= previous_revision,
            "configuration revision went backwards"
        );
        changed_keys
    }

    fn apply_item(&mut self, item: &ConfigItem) -> bool {
        let known_revision = self.items.get(&item.key).map_or(0, |item| item.revision);
        if item.revision <= known_revision || !item.key.starts_with(CONFIG_PREFIX) {
            return false;
        }
        if let Some(name) = item.key.strip_prefix(PROFILE_PREFIX) {
            self.apply_profile(name, &item.value);
        }
        if let Some(name) = item.key.strip_prefix(TEAM_PREFIX) {
            self.apply_team(name, &item.value);
        }
        self.items.insert(item.key.clone(), item.clone());
        true
    }

    fn apply_profile(&mut self, name: &str, value: &[u8]) {
        match serde_json::from_slice::<ProfileRecord>(value) {
            Ok(record) => {
                self.profiles.insert(name.to_owned(), record);
            }
            Err(_) => {
                self.profiles.remove(name);
            }
        }
    }

    fn apply_team(&mut self, name: &str, value: &[u8]) {
        self.teams.retain(|_, (team, _)| team != name);
        if let Ok(record) = serde_json::from_slice::<TeamRecord>(value) {
            self.teams
                .insert(record.token_hash.clone(), (name.to_owned(), record));
        }
    }

    /// Returns all items changed after a revision, for a peer that is complete up to it.
    pub fn delta_after(&self, after: u64) -> ConfigDelta {
        ConfigDelta {
            after,
            complete_to: self.complete_to,
            items: self
                .items
                .values()
                .filter(|item| item.revision > after)
                .cloned()
                .collect(),
        }
    }

    /// Returns the accepted profile with a name; `None` when there is none.
    pub fn profile(&self, name: &str) -> Option<&ProfileRecord> {
        self.profiles.get(name)
    }

    /// Iterates over the accepted profiles with their revisions, in the order of their names.
    pub fn profiles(&self) -> impl Iterator<Item = (u64, &ProfileRecord)> {
        self.profiles
            .values()
            .map(|record| (self.profile_revision(&record.spec.name), record))
    }

    /// Revision at which a profile was last changed; zero when the profile is unknown.
    pub fn profile_revision(&self, name: &str) -> u64 {
        self.items
            .get(&format!("{PROFILE_PREFIX}{name}"))
            .map_or(0, |item| item.revision)
    }

    /// Returns the name and record of the team that a bearer token belongs to; `None` when it
    /// belongs to none.
    pub fn team_by_token(&self, token: &str) -> Option<(&str, &TeamRecord)> {
        self.teams
            .get(&token_hash(token))
            .map(|(name, record)| (name.as_str(), record))
    }
}
