//! `flamingoctl nodes`: shows the state of each queried node.

use std::net::SocketAddr;

use clap::Args;
use flamingolock_core::prelude::*;
use flamingolock_node::status::NodeStatus;
use serde::Serialize;

use crate::commands::operators::{NodeResponse, OperatorArguments, first_error, print_json};
use crate::commands::text_table::{TextTable, yes_no};
use crate::exit::CommandError;

/// Arguments of `nodes`.
#[derive(Debug, Args)]
pub struct NodesArguments {
    #[command(flatten)]
    operators: OperatorArguments,
}

/// One row: a node's state, or why it could not be queried.
#[derive(Debug, Serialize)]
struct NodeRow {
    operator: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(flatten)]
    node: Option<NodeSummary>,
}

#[derive(Debug, Serialize)]
struct NodeSummary {
    name: InstanceId,
    zone: Zone,
    incarnation: Incarnation,
    uptime_ms: Millis,
    ready: bool,
    leaving: bool,
    manifest_offset: Option<u64>,
    engines_answering: usize,
    engines: usize,
    inflight: u32,
    instances: usize,
}

#[derive(Debug, Serialize)]
struct NodeRows {
    nodes: Vec<NodeRow>,
}

/// Shows the nodes.
///
/// # Errors
///
/// When a node refuses or does not answer, after the other nodes were printed.
pub fn run(arguments: &NodesArguments) -> Result<(), CommandError> {
    let responses = arguments.operators.query_all::<NodeStatus>("/status");
    let rows = NodeRows {
        nodes: responses.iter().map(row).collect(),
    };
    if arguments.operators.json {
        print_json(&rows)?;
    } else {
        print!("{}", table(&rows.nodes));
    }
    first_error(responses)
}

fn row(response: &NodeResponse<NodeStatus>) -> NodeRow {
    let operator = response.operator;
    match &response.result {
        Ok(status) => NodeRow {
            operator,
            error: None,
            node: Some(summary(status)),
        },
        Err(error) => NodeRow {
            operator,
            error: Some(error.to_string()),
            node: None,
        },
    }
}

fn summary(status: &NodeStatus) -> NodeSummary {
    let answering = status.engines.iter().filter(|engine| engine.answering);
    NodeSummary {
        name: status.name.clone(),
        zone: status.zone.clone(),
        incarnation: status.incarnation,
        uptime_ms: status.uptime,
        ready: status.ready,
        leaving: status.leaving,
        manifest_offset: status.manifest_offset,
        engines_answering: answering.count(),
        engines: status.engines.len(),
        inflight: status.engines.iter().map(|engine| engine.inflight).sum(),
        instances: status.instances.len(),
    }
}

fn table(rows: &[NodeRow]) -> String {
    let headings = [
        "OPERATOR", "NODE", "ZONE", "UP", "READY", "LEAVING", "MANIFEST", "ENGINES", "INFLIGHT",
    ];
    let mut table = TextTable::new(&headings);
    for row in rows {
        let Some(node) = &row.node else {
            let mut cells = [const { String::new() }; 9];
            cells[0] = row.operator.to_string();
            "(no answer)".clone_into(&mut cells[1]);
            table.push(cells);
            continue;
        };
        let offset = node.manifest_offset;
        table.push([
            row.operator.to_string(),
            node.name.to_string(),
            node.zone.to_string(),
            format!("{} s", node.uptime_ms.0 / 1000),
            yes_no(node.ready),
            yes_no(node.leaving),
            offset.map_or_else(|| "-".to_owned(), |offset| offset.to_string()),
            format!("{}/{}", node.engines_answering, node.engines),
            node.inflight.to_string(),
        ]);
    }
    table.render()
}
