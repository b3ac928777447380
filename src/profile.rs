//! Profiles, teams and operators: the configuration, and the table that keeps its latest revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::wire::gen::{ConfigDelta, ConfigItem};

/// Prefix of every configuration key in the platform's service.
pub const CONFIG_PREFIX: &str = "/lynxcart/config/";
/// Prefix of accepted profiles.
pub const PROFILE_PREFIX: &str = "/lynxcart/config/profiles/";
/// Prefix of teams.
pub const TEAM_PREFIX: &str = "/lynxcart/config/teams/";
/// Prefix of drafts, which are no part of the configuration in force.
pub const DRAFT_PREFIX: &str = "/lynxcart/drafts/";

const NAME_LIMIT: usize = 64;
const LAYER_LIMIT: u32 = 4096;
const TOKEN_LIMIT: u32 = 131_072;

/// What a service does with a non-idempotent call that carries no idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeylessPolicy {
    /// Refuse it.
    #[default]
    Refuse,
    /// Run it once; a resend is a new call.
    RunOnce,
}

/// How a profile serves its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ProfileTarget {
    /// A model, served by a chain of upstreams that together hold all its layers.
    Model {
        /// Name of the model, as engines report it.
        model: String,
        /// Number of layers to cover.
        layers: u32,
        /// Largest answer, in tokens.
        max_tokens: u32,
    },
    /// A plain service.
    Service {
        /// Name of the service, as agents report it.
        service: String,
        /// Paths whose calls are idempotent, by prefix.
        idempotent_paths: Vec<String>,
        /// What happens to a non-idempotent call without a key.
        #[serde(default)]
        keyless: KeylessPolicy,
    },
}

/// A profile as operators write it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSpec {
    /// The name that callers use.
    pub name: String,
    /// How it is served.
    pub target: ProfileTarget,
}

impl ProfileSpec {
    /// Checks what the type cannot.
    ///
    /// # Errors
    ///
    /// A sentence that names the field, the value and what was expected.
    pub fn check(&self) -> Result<(), String> {
        check_name("name", &self.name)?;
        match &self.target {
            ProfileTarget::Model {
                model,
                layers,
                max_tokens,
            } => {
                check_name("model", model)?;
                check_range("layers", *layers, LAYER_LIMIT)?;
                check_range("max_tokens", *max_tokens, TOKEN_LIMIT)
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
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if name.is_empty() || name.len() > NAME_LIMIT || !name.chars().all(fits) {
        return Err(format!(
            "{field}: \"{name}\" is not 1 to {NAME_LIMIT} of a-z, 0-9, \"-\", \"_\" and \".\""
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

/// An accepted profile as stored, with who accepted it and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileRecord {
    /// The profile.
    pub spec: ProfileSpec,
    /// The operator who accepted it.
    pub operator: String,
    /// When, milliseconds since 1970.
    pub accepted_ms: u64,
    /// Identity of the write, to find out whether one with a lost answer took effect.
    pub write_id: String,
}

/// A draft as stored: the proposal and the revision that it was made from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DraftRecord {
    /// The proposal.
    pub spec: ProfileSpec,
    /// Revision of the accepted profile that it was made from; zero when there was none.
    pub base_revision: u64,
    /// The operator who wrote it.
    pub operator: String,
    /// When, milliseconds since 1970.
    pub saved_ms: u64,
}

/// A team of callers as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// BLAKE3 hash of the team's bearer token, in hexadecimal.
    pub token_hash: String,
    /// Requests that may be in flight at one entry.
    pub in_flight_limit: u32,
}

/// Hash under which a bearer token is stored, in hexadecimal.
pub fn token_hash(token: &str) -> String {
    blake3::derive_key("lynxcart 2026-12 bearer token", token.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// The latest known revision of every configuration key.
///
/// A key never goes back to a lower revision, whoever says so, and the table knows the revision
/// up to which it is complete.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    items: BTreeMap<String, ConfigItem>,
    profiles: BTreeMap<String, ProfileRecord>,
    teams: BTreeMap<String, (String, TeamRecord)>,
    complete_to: u64,
}

impl ConfigTable {
    /// Revision up to which every change is known.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Takes changes in; `after` is the revision from which on `items` is whole.
    ///
    /// Returns the keys that changed.
    pub fn apply(&mut self, after: u64, complete_to: u64, items: Vec<ConfigItem>) -> Vec<String> {
        let before = self.complete_to;
        let mut changed = Vec::new();
        for item in items {
            if self.apply_item(&item) {
                changed.push(item.key);
            }
        }
        // A delta with a gap before it proves nothing about the changes in the gap.
        if after <= self.complete_to {
            self.complete_to = self.complete_to.max(complete_to);
        }
        assert!(self.complete_to >= before, "config revision went back");
        changed
    }

    fn apply_item(&mut self, item: &ConfigItem) -> bool {
        let known = self.items.get(&item.key).map_or(0, |old| old.revision);
        if item.revision <= known || !item.key.starts_with(CONFIG_PREFIX) {
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

    /// Every item changed after a revision.
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

    /// An accepted profile by name.
    pub fn profile(&self, name: &str) -> Option<&ProfileRecord> {
        self.profiles.get(name)
    }

    /// All accepted profiles with their revisions.
    pub fn profiles(&self) -> impl Iterator<Item = (u64, &ProfileRecord)> {
        self.profiles
            .values()
            .map(|record| (self.profile_revision(&record.spec.name), record))
    }

    /// Revision at which a profile was last changed; zero when it never was.
    pub fn profile_revision(&self, name: &str) -> u64 {
        self.items
            .get(&format!("{PROFILE_PREFIX}{name}"))
            .map_or(0, |item| item.revision)
    }

    /// The team that holds a bearer token.
    pub fn team_by_token(&self, token: &str) -> Option<(&str, &TeamRecord)> {
        self.teams
            .get(&token_hash(token))
            .map(|(name, record)| (name.as_str(), record))
    }
}
