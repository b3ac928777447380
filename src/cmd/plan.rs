use std::path::PathBuf;

use argh::FromArgs;
use eyre::{ensure, WrapErr};
use serde::Deserialize;
use serde_json::Value;

use crate::cmd::{CommandError, CommandResult};
use crate::gateway::plan::{equal_plan, explain, packed_plan, plan_service, PlanCard};
use crate::platform::manifest::decode_config;

/// Show how the layers of each model would be placed on cards, beside two simpler plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// JSON file with "configuration", as the operators' store holds it, and "cards", a list of
    /// "kind", "domain" and "count"
    #[argh(positional)]
    file: PathBuf,
}

#[derive(Deserialize)]
struct PlanFile {
    configuration: Value,
    cards: Vec<CardCount>,
}

#[derive(Deserialize)]
struct CardCount {
    kind: String,
    domain: String,
    count: u32,
}

impl PlanArgs {
    pub(super) fn run(self) -> CommandResult {
        let text = self.text().map_err(CommandError::Usage)?;
        println!("{text}");
        Ok(0)
    }

    fn text(&self) -> eyre::Result<String> {
        let name = self.file.display();
        let bytes = std::fs::read(&self.file).wrap_err_with(|| format!("could not read {name}"))?;
        let file: PlanFile =
            serde_json::from_slice(&bytes).wrap_err_with(|| format!("could not read {name}"))?;
        let config = decode_config(file.configuration.to_string().as_bytes())?;
        let mut cards = Vec::new();
        for row in &file.cards {
            for number in 0..row.count {
                cards.push(PlanCard {
                    id: format!("{}-{}-{number}", row.kind, row.domain),
                    domain: row.domain.clone(),
                    kind: row.kind.clone(),
                });
            }
        }
        let mut sections = Vec::new();
        for rule in &config.services {
            let Some(engine) = &rule.engine else {
                continue;
            };
            let plans = [
                ("chosen", plan_service(engine, &cards)),
                ("packed full", packed_plan(engine, &cards)),
                ("equal ranges", equal_plan(engine, &cards)),
            ];
            for (name, plan) in plans {
                let body = match plan.slots.is_empty() {
                    true => String::from("these cards hold no copy"),
                    false => explain(engine, &plan),
                };
                sections.push(format!("service={} plan=\"{name}\"\n{body}", rule.name));
            }
        }
        ensure!(!sections.is_empty(), "{name}: no service has an engine");
        Ok(sections.join("\n\n"))
    }
}
