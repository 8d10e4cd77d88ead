//! Asking a running instance.

use std::time::Duration;

use bytes::Bytes;
use clap::{Arg, ArgMatches};
use http::Response;

use super::Failure;
use crate::{http::Client, view::View};

/// Longest time for one question.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The argument that names the instance to ask.
pub(super) fn at_arg() -> Arg {
    Arg::new("at")
        .long("at")
        .value_name("ADDRESS")
        .help("Address and port of any instance, as 127.0.0.1:8080")
        .required(true)
}

/// Asks the instance that the arguments name.
pub(super) struct AdminClient {
    runtime: tokio::runtime::Runtime,
    client: Client,
    address: String,
}

impl AdminClient {
    pub(super) fn new(args: &ArgMatches) -> Result<AdminClient, Failure> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Failure::run)?;
        let address = args.get_one::<String>("at").cloned().unwrap_or_default();
        Ok(AdminClient { runtime, client: Client::new(), address })
    }

    pub(super) fn get(&self, path: &str) -> Result<Response<Bytes>, Failure> {
        let asked = self.client.get(&self.address, path, MAX_RESPONSE_BYTES, TIMEOUT);
        self.runtime.block_on(asked).map_err(|error| self.failure(&error))
    }

    pub(super) fn post(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Response<Bytes>, Failure> {
        let body = serde_json::to_vec(body).map_err(Failure::run)?;
        let asked = self.client.post(&self.address, path, body, MAX_RESPONSE_BYTES, TIMEOUT);
        self.runtime.block_on(asked).map_err(|error| self.failure(&error))
    }

    fn failure(&self, error: &crate::http::Error) -> Failure {
        Failure::Run(format!("instance {}: {error}", self.address))
    }

    /// What the instance shows of its state.
    pub(super) fn view(&self) -> Result<View, Failure> {
        let answer = self.get("/admin/status")?;
        serde_json::from_slice(answer.body()).map_err(Failure::run)
    }
}
