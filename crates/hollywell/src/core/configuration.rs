//! The configuration in force: which requests go to which pool of targets.
//!
//! A plan is folded from the operator's newest configuration and replaced as
//! a whole; it never goes back to an older version within one incarnation.
//! What it leaves out: how a configuration is spelled (the adapter decodes
//! it) and the choice of a target within a pool.

use serde::{Deserialize, Serialize};

use crate::core::organisation::Directory;

/// What may be done with requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    #[serde(rename = "Safe")]
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    #[serde(rename = "Once")]
    AtMostOnce,
    /// A stream of events; at most once unless it may be resumed.
    Stream,
    /// Batch jobs of samples.
    Batch,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their paths begin with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    #[serde(rename = "repeat")]
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, in milliseconds.
    pub target_ms: u64,
    /// Rank among other routes, 0 first.
    pub priority: u8,
    /// Pools that serve it, with their weights.
    pub pools: Vec<(String, u32)>,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// How long after its submission a batch job's results are due, in
    /// milliseconds.
    pub due_ms: u64,
    /// How long after that submission a sample may be given up, in
    /// milliseconds.
    pub keep_ms: u64,
    /// Whether a sample's text must come from one version of the weights.
    pub single_version: bool,
    /// Whether a stream may go on at another target.
    pub resumable: bool,
    /// Whether anybody may use it, without a key.
    pub public: bool,
}

/// One pool of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Requests that one target serves at once; 0 if the plan does not say.
    pub slots: u32,
    /// Most connections that one target takes from everybody.
    pub connections: u32,
    /// Models that its targets hold; empty for plain services.
    pub models: Vec<String>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; larger is newer, with gaps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Who may ask; `None` if anybody may.
    pub organisations: Option<Directory>,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// How long a caller's connection may be idle, in milliseconds.
    pub idle_ms: u64,
    /// How long a caller may take to send a request's head, in milliseconds.
    pub header_ms: u64,
}

impl Configuration {
    /// The route of a request: of those with its host, the one with the
    /// longest prefix that its path begins with.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::configuration::{Configuration, RouteKind, Route};
    ///
    /// let route = |name: &str, prefix: &str| Route {
    ///     name: name.into(), host: "h".into(), prefix: prefix.into(),
    ///     kind: RouteKind::Idempotent, timeout_ms: 1_500, target_ms: 150, priority: 2,
    ///     pools: vec![], attempts: 2, due_ms: 0, keep_ms: 0,
    ///     single_version: false, resumable: false, public: false,
    /// };
    /// let plan = Configuration {
    ///     routes: vec![route("wide", "/a/"), route("narrow", "/a/b/")],
    ///     ..Configuration::default()
    /// };
    /// assert_eq!(plan.route("h", "/a/b/c").unwrap().name, "narrow");
    /// // A prefix ends with its slash: "/a" is not below "/a/".
    /// assert!(plan.route("h", "/a").is_none());
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// Whether jobs of a host may be anybody's.
    #[must_use]
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let is_one = |route: &Route| route.kind == RouteKind::Batch && route.public;
        self.routes.iter().any(|route| route.host == host && is_one(route))
    }

    /// The pool of that name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
