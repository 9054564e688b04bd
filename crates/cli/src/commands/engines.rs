//! `flamingoctl engines`: shows the engines as the queried nodes see them.

use std::collections::BTreeMap;

use clap::Args;
use flamingolock_core::prelude::*;
use flamingolock_node::status::{EngineView, NodeStatus};
use serde::Serialize;

use crate::commands::operators::{NodeResponse, OperatorArguments, first_error, print_json};
use crate::commands::text_table::{TextTable, yes_no};
use crate::exit::CommandError;

/// Arguments of `engines`.
#[derive(Debug, Args)]
pub struct EnginesArguments {
    #[command(flatten)]
    operators: OperatorArguments,
}

/// One engine, with the requests of all queried nodes.
#[derive(Debug, Serialize)]
struct EngineRow {
    #[serde(flatten)]
    engine: EngineView,
    /// Nodes that get answers from it.
    answering_to: Vec<InstanceId>,
}

#[derive(Debug, Serialize)]
struct EngineRows {
    engines: Vec<EngineRow>,
}

/// Shows the engines.
///
/// # Errors
///
/// When a node refuses or does not answer, after the engines that the other nodes
/// reported were printed.
pub fn run(arguments: &EnginesArguments) -> Result<(), CommandError> {
    let responses = arguments.operators.query_all::<NodeStatus>("/status");
    let rows = merge(&responses);
    if arguments.operators.json {
        print_json(&rows)?;
    } else {
        print!("{}", table(&rows.engines));
    }
    first_error(responses)
}

/// Merges the nodes' views: the newest incarnation of each engine that answers, with
/// the sum of the requests of all nodes.
fn merge(responses: &[NodeResponse<NodeStatus>]) -> EngineRows {
    let mut rows: BTreeMap<EngineId, EngineRow> = BTreeMap::new();
    let statuses = responses
        .iter()
        .filter_map(|response| response.result.as_ref().ok());
    for status in statuses {
        for engine in &status.engines {
            let row = rows
                .entry(engine.name.clone())
                .or_insert_with(|| EngineRow {
                    engine: EngineView {
                        inflight: 0,
                        ..engine.clone()
                    },
                    answering_to: Vec::new(),
                });
            let inflight = row.engine.inflight + engine.inflight;
            let newer = engine.answering && engine.incarnation >= row.engine.incarnation;
            if newer {
                row.engine = engine.clone();
            }
            row.engine.inflight = inflight;
            if engine.answering {
                row.answering_to.push(status.name.clone());
            }
        }
    }
    EngineRows {
        engines: rows.into_values().collect(),
    }
}

fn table(rows: &[EngineRow]) -> String {
    let headings = [
        "ENGINE", "ZONE", "MODEL", "WEIGHTS", "ROLE", "LIFE", "RUN", "WAIT", "SLOTS", "INFLIGHT",
        "HOME", "LEAVING", "ANSWERS",
    ];
    let mut table = TextTable::new(&headings);
    for row in rows {
        let engine = &row.engine;
        table.push([
            engine.name.to_string(),
            engine.zone.to_string(),
            engine.model.to_string(),
            engine.weights.to_string(),
            engine.role.clone(),
            engine.incarnation.to_string(),
            engine.running.to_string(),
            engine.waiting.to_string(),
            engine.slots.to_string(),
            engine.inflight.to_string(),
            engine.home.to_string(),
            yes_no(engine.leaving),
            yes_no(!row.answering_to.is_empty()),
        ]);
    }
    table.render()
}
