//! The form of the operator's file: tables and keys, with the positions of their values.

use crate::{BudgetsConfig, FleetConfig, OperatorConfig, SlowStartBudgetConfig};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::Spanned;

/// The operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Operator")]
pub(crate) struct OperatorFile {
    pub(crate) fleet: Option<FleetTable>,
    #[serde(default)]
    pub(crate) budgets: BudgetsTable,
}

/// The table `[fleet]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fleet")]
pub(crate) struct FleetTable {
    pub(crate) name: Spanned<String>,
    pub(crate) nodes: Spanned<Vec<String>>,
    listen: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    region: String,
    pub(crate) folder: Option<Spanned<String>>,
    pub(crate) seeds: Spanned<BTreeMap<String, SocketAddr>>,
    #[serde(default)]
    via: BTreeMap<SocketAddr, SocketAddr>,
}

/// The table `[budgets]`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Budgets")]
pub(crate) struct BudgetsTable {
    #[serde(rename = "cold")]
    pub(crate) slow_start: Option<SlowStartTable>,
}

/// The table `[budgets.cold]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Cold")]
pub(crate) struct SlowStartTable {
    /// `whole` is the key's deprecated name.
    #[serde(alias = "whole")]
    pub(crate) capacity: Spanned<u32>,
    #[serde(default = "no_floor")]
    pub(crate) floor: Spanned<u32>,
}

fn no_floor() -> Spanned<u32> {
    Spanned::new(0..0, 0)
}

impl From<OperatorFile> for OperatorConfig {
    fn from(file: OperatorFile) -> OperatorConfig {
        OperatorConfig {
            fleet: file.fleet.map(FleetConfig::from),
            budgets: file.budgets.into(),
        }
    }
}

impl From<FleetTable> for FleetConfig {
    fn from(table: FleetTable) -> FleetConfig {
        FleetConfig {
            name: table.name.into_inner(),
            nodes: table.nodes.into_inner(),
            listen: table.listen,
            zone: table.zone,
            region: table.region,
            state_directory: table.folder.map(|folder| folder.into_inner().into()),
            seeds: table.seeds.into_inner(),
            address_overrides: table.via,
        }
    }
}

impl From<BudgetsTable> for BudgetsConfig {
    fn from(table: BudgetsTable) -> BudgetsConfig {
        BudgetsConfig {
            slow_start: table.slow_start.map(SlowStartBudgetConfig::from),
        }
    }
}

impl From<SlowStartTable> for SlowStartBudgetConfig {
    fn from(table: SlowStartTable) -> SlowStartBudgetConfig {
        SlowStartBudgetConfig {
            capacity: table.capacity.into_inner(),
            floor: table.floor.into_inner(),
        }
    }
}
