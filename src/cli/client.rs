//! HTTP to the entry hosts, one after the other until one answers.

use std::{io::ErrorKind, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use ureq::{Agent, Body, Error as HttpError, Timeout, http::Response};

use super::error::{CliError, ForeignSnafu};
use crate::api::{Answer, Failure, Method, Operation, Route, Trouble};

const CONNECT: Duration = Duration::from_secs(2);
const ANSWER: Duration = Duration::from_secs(15);
/// Bytes of the longest answer.
const LIMIT: u64 = 256 << 20;

/// A client of all entry hosts.
#[derive(Debug)]
pub(super) struct Client {
    agent: Agent,
    addresses: Vec<String>,
}

/// An answer as it came.
struct Heard {
    address: String,
    status: u16,
    body: String,
}

/// What trying one entry host came to.
enum Tried {
    Heard(Heard),
    /// It can't have been told anything.
    Unheard(String),
    /// It may have been told.
    Lost(String),
}

impl Client {
    /// A client of the given entry hosts, `IP:port` each.
    pub(super) fn new(addresses: Vec<String>) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(ANSWER))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None);
        Self {
            agent: config.build().into(),
            addresses,
        }
    }

    /// Reads a view, as the text that came and as its type.
    pub(super) fn read<T: DeserializeOwned>(&self, route: &Route) -> Result<(String, T), CliError> {
        self.ask(route, None::<&()>)
    }

    /// Posts a body that changes nothing.
    pub(super) fn ask<B: Serialize, T: DeserializeOwned>(
        &self,
        route: &Route,
        body: Option<&B>,
    ) -> Result<(String, T), CliError> {
        let mut tried = Vec::new();
        let mut failed = None;
        for address in &self.addresses {
            match self.attempt(address, route, body) {
                Tried::Heard(heard) if heard.status == Trouble::Unavailable.status() => {
                    failed = Some(heard.failure());
                }
                Tried::Heard(heard) => return heard.view(),
                Tried::Unheard(error) | Tried::Lost(error) => tried.push(error),
            }
        }
        Err(failed.unwrap_or(CliError::Unreachable { tried }))
    }

    /// Sends an operation to one entry host after the other. Each gets the same id, so that one
    /// that was told before another answers changes nothing more.
    pub(super) fn operate(&self, operation: &Operation) -> Result<(String, Answer), CliError> {
        let mut tried = Vec::new();
        let (mut failed, mut told) = (None, false);
        for address in &self.addresses {
            match self.attempt(address, &Route::Operations, Some(operation)) {
                Tried::Heard(heard) if heard.status == Trouble::Unavailable.status() => {
                    failed = Some(heard.failure());
                }
                Tried::Heard(heard) if heard.status == Trouble::Pending.status() => {
                    told = true;
                    tried.push(format!("{address} passed it on and heard nothing"));
                }
                // An answer that can't be read says nothing about the change.
                Tried::Heard(heard) => match heard.answer() {
                    Err(error @ CliError::Foreign { .. }) => {
                        told = true;
                        tried.push(error.to_string());
                    }
                    result => return result,
                },
                Tried::Unheard(error) => tried.push(error),
                Tried::Lost(error) => {
                    told = true;
                    tried.push(error);
                }
            }
        }
        if told {
            let operation = operation.operation.clone();
            return Err(CliError::Unanswered { operation, tried });
        }
        Err(failed.unwrap_or(CliError::Unreachable { tried }))
    }

    fn attempt<B: Serialize>(&self, address: &str, route: &Route, body: Option<&B>) -> Tried {
        let url = format!("http://{address}{route}");
        let sent = match route.method() {
            Method::Get => self.agent.get(&url).call(),
            Method::Post => self.agent.post(&url).send_json(body),
        };
        let failed = |error: HttpError| {
            let text = format!("{address}: {}", in_words(&error));
            if is_unheard(&error) {
                Tried::Unheard(text)
            } else {
                Tried::Lost(text)
            }
        };
        match sent.and_then(|response| hear(address, response)) {
            Ok(heard) => Tried::Heard(heard),
            Err(error) => failed(error),
        }
    }
}

impl Heard {
    /// A view, or why there is none.
    fn view<T: DeserializeOwned>(self) -> Result<(String, T), CliError> {
        if self.status != 200 {
            return Err(self.failure());
        }
        let address = &self.address;
        let view = serde_json::from_str(&self.body).context(ForeignSnafu { address })?;
        Ok((self.body, view))
    }

    /// The answer to an operation: 200, or a refusal that has an answer's body too.
    fn answer(self) -> Result<(String, Answer), CliError> {
        match serde_json::from_str::<Answer>(&self.body) {
            Ok(answer) if answer.reply.is_refused() => {
                let answer = Box::new(answer);
                Err(CliError::Refused { answer })
            }
            Ok(answer) => Ok((self.body, answer)),
            Err(_) => Err(self.failure()),
        }
    }

    fn failure(self) -> CliError {
        let address = self.address;
        match serde_json::from_str::<Failure>(&self.body) {
            Ok(failure) => CliError::Failed { failure },
            Err(source) => CliError::Foreign { address, source },
        }
    }
}

fn hear(address: &str, mut response: Response<Body>) -> Result<Heard, HttpError> {
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(LIMIT)
        .read_to_string()?;
    let address = String::from(address);
    Ok(Heard {
        address,
        status,
        body,
    })
}

/// Whether an error shows that no byte was sent.
fn is_unheard(error: &HttpError) -> bool {
    match error {
        HttpError::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        HttpError::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        HttpError::HostNotFound | HttpError::ConnectionFailed | HttpError::BadUri(_) => true,
        _ => false,
    }
}

fn in_words(error: &HttpError) -> String {
    match error {
        HttpError::Io(error) if error.kind() == ErrorKind::ConnectionRefused => {
            String::from("nobody listens there")
        }
        HttpError::Timeout(Timeout::Connect) => String::from("no connection in time"),
        HttpError::Timeout(_) => String::from("no answer in time"),
        other => other.to_string(),
    }
}
