use std::path::PathBuf;

use argh::FromArgs;
use eyre::{ensure, WrapErr};
use serde::Deserialize;
use serde_json::Value;

use crate::cmd::{CommandError, CommandResult};
use crate::gateway::plan::{describe_plan, equal_plan, packed_plan, plan_service, PlanAccelerator};
use crate::platform::serving_config::decode_config;

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
    cards: Vec<AcceleratorCount>,
}

#[derive(Deserialize)]
struct AcceleratorCount {
    kind: String,
    domain: String,
    count: u32,
}

impl PlanArgs {
    pub(super) fn run(self) -> CommandResult {
        let text = self.report().map_err(CommandError::Usage)?;
        println!("{text}");
        Ok(0)
    }

    fn report(&self) -> eyre::Result<String> {
        let path = self.file.display();
        let bytes = std::fs::read(&self.file).wrap_err_with(|| format!("could not read {path}"))?;
        let plan_file: PlanFile =
            serde_json::from_slice(&bytes).wrap_err_with(|| format!("could not decode {path}"))?;
        let config = decode_config(plan_file.configuration.to_string().as_bytes())?;
        let mut accelerators = Vec::new();
        for row in &plan_file.cards {
            for number in 0..row.count {
                accelerators.push(PlanAccelerator {
                    id: format!("{}-{}-{number}", row.kind, row.domain),
                    domain: row.domain.clone(),
                    kind: row.kind.clone(),
                });
            }
        }
        let mut sections = Vec::new();
        for service in &config.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let plans = [
                ("chosen", plan_service(engine, &accelerators)),
                ("packed full", packed_plan(engine, &accelerators)),
                ("equal ranges", equal_plan(engine, &accelerators)),
            ];
            for (name, plan) in plans {
                let body = match plan.slots.is_empty() {
                    true => String::from("these cards hold no copy"),
                    false => describe_plan(engine, &plan),
                };
                sections.push(format!("service={} plan=\"{name}\"\n{body}", service.name));
            }
        }
        ensure!(!sections.is_empty(), "{path}: no service has an engine");
        Ok(sections.join("\n\n"))
    }
}
