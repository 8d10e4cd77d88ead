//! What was seen, as lines with the time since the start in milliseconds.

use std::{
    fs::File,
    io::Write as _,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record file");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{ms:10.1} {text}");
    }
}
