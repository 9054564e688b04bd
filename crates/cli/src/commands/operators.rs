//! Client of the nodes' operators' ports, for the subcommands.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::exit::CommandError;

/// Timeout of the request to one node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Nodes to query, and the token for them.
#[derive(Debug, Args)]
pub struct OperatorArguments {
    /// Address of a node's operators' port; may be repeated.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub operator: Vec<SocketAddr>,
    /// Token of the operators' port.
    #[arg(long, env = "FLAMINGOLOCK_OPERATOR_TOKEN", hide_env_values = true)]
    pub token: String,
    /// Prints one JSON object instead of the table.
    #[arg(long)]
    pub json: bool,
}

/// Response of one node.
#[derive(Debug)]
pub struct NodeResponse<T> {
    /// Address of the node's operators' port.
    pub operator: SocketAddr,
    /// The decoded response, or why there is none.
    pub result: Result<T, CommandError>,
}

impl OperatorArguments {
    /// Gets `path` from all nodes concurrently.
    pub fn query_all<T: DeserializeOwned + Send>(&self, path: &str) -> Vec<NodeResponse<T>> {
        let agent = agent();
        std::thread::scope(|scope| {
            let queries: Vec<_> = self
                .operator
                .iter()
                .map(|operator| {
                    (
                        *operator,
                        scope.spawn(|| self.query(&agent, *operator, path)),
                    )
                })
                .collect();
            queries
                .into_iter()
                .map(|(operator, thread)| NodeResponse {
                    operator,
                    result: thread.join().unwrap_or_else(|_| {
                        Err(unreachable(operator, "the query thread panicked"))
                    }),
                })
                .collect()
        })
    }

    fn query<T: DeserializeOwned>(
        &self,
        agent: &Agent,
        operator: SocketAddr,
        path: &str,
    ) -> Result<T, CommandError> {
        let response = agent
            .get(format!("http://{operator}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .call();
        match response {
            Ok(mut response) => response
                .body_mut()
                .read_json()
                .map_err(|error| unreachable(operator, &error.to_string())),
            Err(ureq::Error::StatusCode(401)) => Err(CommandError::Refused(format!(
                "{operator} refused the token; set --token or FLAMINGOLOCK_OPERATOR_TOKEN"
            ))),
            Err(error) => Err(unreachable(operator, &error.to_string())),
        }
    }
}

/// Returns the first error among the responses, to call after the others were printed.
///
/// # Errors
///
/// The first error among the responses.
pub fn first_error<T>(responses: Vec<NodeResponse<T>>) -> Result<(), CommandError> {
    for response in responses {
        response.result?;
    }
    Ok(())
}

/// Prints one JSON object.
///
/// # Errors
///
/// When the value cannot be serialised as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string(value)
        .map_err(|error| CommandError::Unreachable(error.to_string()))?;
    println!("{text}");
    Ok(())
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}

fn unreachable(operator: SocketAddr, problem: &str) -> CommandError {
    CommandError::Unreachable(format!("{operator}: {problem}"))
}
