//! `flamingoctl explain`: shows why a request was routed as it was.

use clap::Args;
use flamingolock_node::decisions::Decision;
use flamingolock_node::status::Explanation;
use serde::Serialize;

use crate::commands::operators::{OperatorArguments, first_error, print_json};
use crate::commands::text_table::TextTable;
use crate::exit::CommandError;

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// Request id, from the `x-request-id` header of the response.
    #[arg(value_name = "REQUEST-ID")]
    request: String,
    #[command(flatten)]
    operators: OperatorArguments,
}

#[derive(Debug, Serialize)]
struct ExplainOutput {
    request: String,
    decisions: Vec<Decision>,
}

/// Shows the decisions of all queried nodes about one request, oldest first.
///
/// # Errors
///
/// When a node refuses or does not answer, or no node has decisions about the request.
pub fn run(arguments: &ExplainArguments) -> Result<(), CommandError> {
    if !arguments.request.chars().all(|c| c.is_ascii_alphanumeric()) {
        let message = format!("`{}` is not a valid request id", arguments.request);
        return Err(CommandError::Usage(message));
    }
    let path = format!("/explain/{}", arguments.request);
    let responses = arguments.operators.query_all::<Explanation>(&path);
    let mut decisions: Vec<Decision> = responses
        .iter()
        .filter_map(|response| response.result.as_ref().ok())
        .flat_map(|explanation| explanation.decisions.iter().cloned())
        .collect();
    // The sort is stable, so a node's decisions of the same millisecond keep their
    // order.
    decisions.sort_by_key(|decision| decision.time);
    let found = !decisions.is_empty();
    let output = ExplainOutput {
        request: arguments.request.clone(),
        decisions,
    };
    if arguments.operators.json {
        print_json(&output)?;
    } else if found {
        print!("{}", table(&output.decisions));
    }
    first_error(responses)?;
    if found {
        return Ok(());
    }
    Err(CommandError::Findings(
        "no queried node has decisions about this request".to_owned(),
    ))
}

fn table(decisions: &[Decision]) -> String {
    let start = decisions.first().map(|first| first.time);
    let mut table = TextTable::new(&["AFTER", "NODE", "DECISION", "CHOSEN", "WHY", "FROM"]);
    for decision in decisions {
        let after = start.map_or(0, |start| decision.time.since(start).0);
        let from = if decision.candidates.is_null() {
            String::new()
        } else {
            decision.candidates.to_string()
        };
        table.push([
            format!("{after} ms"),
            decision.node.to_string(),
            decision.action.clone(),
            decision.chosen.clone(),
            decision.reason.clone(),
            from,
        ]);
    }
    table.render()
}
