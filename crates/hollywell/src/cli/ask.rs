//! HTTP client for the administrative endpoints of a running instance.

use std::time::Duration;

use bytes::Bytes;
use clap::{Arg, ArgMatches};
use http::Response;

use super::Failure;
use crate::{http::Client, view::View};

/// Maximum time from sending a request until its response is complete.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Returns the argument `--at`, the address of the instance to connect to.
pub(super) fn address_arg() -> Arg {
    Arg::new("at")
        .long("at")
        .value_name("ADDRESS")
        .help("Address and port of any instance, for example 127.0.0.1:8080")
        .required(true)
}

/// Blocking client of the instance at the address given by `--at`.
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
        Ok(AdminClient { runtime, client: Client::with_memory(MAX_RESPONSE_BYTES), address })
    }

    pub(super) fn get(&self, path: &str) -> Result<Response<Bytes>, Failure> {
        let exchange = self.client.get(&self.address, path, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT);
        self.runtime.block_on(exchange).map_err(|error| self.failure(&error))
    }

    pub(super) fn post(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Response<Bytes>, Failure> {
        let body = serde_json::to_vec(body).map_err(Failure::run)?;
        let exchange =
            self.client.post(&self.address, path, body, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT);
        self.runtime.block_on(exchange).map_err(|error| self.failure(&error))
    }

    fn failure(&self, error: &crate::http::Error) -> Failure {
        Failure::Run(format!("instance {}: {error}", self.address))
    }

    /// Requests the instance's view of its state.
    pub(super) fn view(&self) -> Result<View, Failure> {
        let response = self.get("/admin/status")?;
        serde_json::from_slice(response.body()).map_err(Failure::run)
    }
}
