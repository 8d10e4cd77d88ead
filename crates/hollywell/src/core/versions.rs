//! Which versions of the weights may generate the text of a sample, and what
//! becomes of a text when the version changes.
//!
//! Weights change while samples run. A route may ask that each text is generated
//! by one version as a whole. A text that has begun is then continued by targets
//! that have its version, and generated again from the start where there are
//! none. The rule is that of the configuration in force whenever a text is
//! continued, extended or listed, so a text that was allowed when it began may
//! have to be generated again.

use std::collections::BTreeSet;

/// What a route and a job ask of the versions of a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// The oldest version that may generate an event.
    pub min_version: u64,
    /// Whether one version must generate all events.
    pub single_version: bool,
}

/// What becomes of an event, and of the text before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event belongs to the text.
    Append,
    /// The event's version is too old.
    TooOld,
    /// Another version generated the text so far: the run is cut, and the text
    /// is kept.
    Changed,
    /// Several versions generated the text so far: it cannot be listed any
    /// more.
    Mixed,
}

impl Rule {
    /// Whether a text that these versions generated may be listed, or continued
    /// by a target that has the right version.
    ///
    /// # Example
    ///
    /// ```
    /// use hollywell::core::versions::Rule;
    ///
    /// let rule = Rule { min_version: 2, single_version: true };
    /// assert!(rule.allows([3]));
    /// assert!(!rule.allows([1]) && !rule.allows([2, 3]));
    /// ```
    #[must_use]
    pub fn allows(self, versions: impl IntoIterator<Item = u64>) -> bool {
        let mut versions = versions.into_iter().peekable();
        let first = versions.peek().copied();
        versions.all(|version| {
            version >= self.min_version && (!self.single_version || Some(version) == first)
        })
    }

    /// Whether a target may continue a text that these versions generated.
    /// `target` is the version that the target is known to have.
    #[must_use]
    pub fn may_continue(
        self,
        versions: impl IntoIterator<Item = u64> + Clone,
        target: Option<u64>,
    ) -> bool {
        let has_version = |version| !self.single_version || Some(version) == target;
        self.allows(versions.clone()) && versions.into_iter().all(has_version)
    }

    /// Decides on the next event of a text.
    #[must_use]
    pub fn judge(self, text: &BTreeSet<u64>, version: u64) -> Verdict {
        if version < self.min_version {
            return Verdict::TooOld;
        }
        match (self.single_version, text.len(), text.first()) {
            (true, 2.., _) => Verdict::Mixed,
            (true, _, Some(own)) if *own != version => Verdict::Changed,
            _ => Verdict::Append,
        }
    }
}
