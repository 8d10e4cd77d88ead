//! Scrapes of instances' metrics.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use prometheus_parse::{Sample, Value};

/// Metrics of one instance at one time.
#[derive(Clone, Debug)]
pub struct Scrape {
    /// Unix time in seconds.
    pub at_s: u64,
    /// The instance's name.
    pub instance: String,
    samples: Vec<Sample>,
}

impl Scrape {
    /// Parses the Prometheus exposition format.
    ///
    /// # Errors
    ///
    /// If a line is invalid.
    pub fn parse(at_s: u64, instance: &str, text: &str) -> io::Result<Scrape> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let parsed = prometheus_parse::Scrape::parse(lines)?;
        Ok(Scrape { at_s, instance: instance.to_owned(), samples: parsed.samples })
    }

    /// Returns the path of a scrape in a directory: `{at_s}-{instance}.prom`.
    #[must_use]
    pub fn path(directory: &Path, at_s: u64, instance: &str) -> PathBuf {
        directory.join(format!("{at_s}-{instance}.prom"))
    }

    /// Reads all scrapes of a directory.
    ///
    /// # Errors
    ///
    /// If a file cannot be read, its name does not have the form of
    /// [`Scrape::path`], or its content is invalid.
    pub fn load_all(directory: &Path) -> io::Result<Vec<Scrape>> {
        let mut scrapes = vec![];
        for entry in fs::read_dir(directory)? {
            let path = entry?.path();
            if path.extension().is_none_or(|extension| extension != "prom") {
                continue;
            }
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let parts = name
                .split_once('-')
                .and_then(|(at, instance)| at.parse::<u64>().ok().map(|at_s| (at_s, instance)));
            let Some((at_s, instance)) = parts else {
                let text = format!(
                    "{}: expected a file name of the form SECONDS-INSTANCE.prom",
                    path.display()
                );
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            };
            scrapes.push(Scrape::parse(at_s, instance, &fs::read_to_string(&path)?)?);
        }
        Ok(scrapes)
    }

    /// Returns the value of a counter with one label, or zero if it is missing.
    #[must_use]
    pub fn counter(&self, name: &str, label: &str, value: &str) -> f64 {
        let matches =
            |sample: &&Sample| sample.metric == name && sample.labels.get(label) == Some(value);
        let number = |sample: &Sample| match sample.value {
            Value::Counter(number) | Value::Gauge(number) | Value::Untyped(number) => number,
            Value::Histogram(_) | Value::Summary(_) => 0.0,
        };
        self.samples.iter().find(matches).map_or(0.0, number)
    }

    /// Returns the number of observations of a histogram with one label that are at
    /// most `bound`, and the number of all of them.
    #[must_use]
    pub fn histogram(&self, name: &str, label: &str, value: &str, bound: f64) -> (f64, f64) {
        let matches =
            |sample: &&Sample| sample.metric == name && sample.labels.get(label) == Some(value);
        let Some(Value::Histogram(counts)) =
            self.samples.iter().find(matches).map(|sample| &sample.value)
        else {
            return (0.0, 0.0);
        };
        let up_to_bound = counts.iter().rfind(|count| count.less_than <= bound);
        let all = counts.iter().map(|count| count.count).fold(0.0, f64::max);
        (up_to_bound.map_or(0.0, |count| count.count), all)
    }
}
