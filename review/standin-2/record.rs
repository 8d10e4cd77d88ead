//! The record of a case: what was sent, answered and run, with the time.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    inner: Arc<Inner>,
}

struct Inner {
    begun: Instant,
    file: Mutex<File>,
    /// Runs by request id.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    /// When an engine last had each request, in seconds.
    last: Mutex<BTreeMap<String, f64>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        let inner = Inner {
            begun: Instant::now(),
            file: Mutex::new(file),
            runs: Mutex::default(),
            last: Mutex::default(),
        };
        Record { inner: Arc::new(inner) }
    }

    pub fn seconds(&self) -> f64 {
        self.inner.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds();
        let mut file = self.inner.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Records that an engine begins to work on a request; returns how many have
    /// with it.
    pub fn run(&self, engine: &str, id: &str, what: &str) -> usize {
        let mut runs = self.inner.runs.lock().unwrap();
        let all = runs.entry(id.to_owned()).or_default();
        all.push(engine.to_owned());
        let count = all.len();
        drop(runs);
        self.at_engine(id);
        self.line(&format!("{engine} runs {id} ({what}), run {count}"));
        count
    }

    /// Records that an engine works on a request.
    pub fn at_engine(&self, id: &str) {
        self.inner.last.lock().unwrap().insert(id.to_owned(), self.seconds());
    }

    /// When an engine last had a request, in seconds.
    pub fn last_at_engine(&self, id: &str) -> Option<f64> {
        self.inner.last.lock().unwrap().get(id).copied()
    }

    pub fn runs(&self, id: &str) -> Vec<String> {
        self.inner.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}
