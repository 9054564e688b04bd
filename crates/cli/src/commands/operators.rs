//! How subcommands reach the operators' ports of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::exit::CommandError;

/// Longest wait for one node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Which nodes to ask, and how to be let in.
#[derive(Debug, Args)]
pub struct OperatorArguments {
    /// Operators' address of a node; may be repeated.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub operator: Vec<SocketAddr>,
    /// Token of the operators' port.
    #[arg(long, env = "FLAMINGOLOCK_OPERATOR_TOKEN", hide_env_values = true)]
    pub token: String,
    /// Prints one JSON object in place of the table.
    #[arg(long)]
    pub json: bool,
}

/// What one node answered.
#[derive(Debug)]
pub struct NodeResponse<T> {
    /// Operators' address of the node.
    pub operator: SocketAddr,
    /// Its answer.
    pub result: Result<T, CommandError>,
}

impl OperatorArguments {
    /// Asks every node for `path`, all at once.
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
                    result: thread
                        .join()
                        .unwrap_or_else(|_| Err(unreachable(operator, "the question panicked"))),
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

/// The first error among the answers, after all that came were printed.
///
/// # Errors
///
/// That error.
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
/// When the value has no JSON form.
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
