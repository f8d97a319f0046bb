//! What was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Inner {
    started: Instant,
    file: BufWriter<File>,
    /// Leafs that ran a request, by its id.
    runs: BTreeMap<String, Vec<String>>,
    /// Status by request id; 0 for a connection that ended without an answer.
    answers: BTreeMap<String, u16>,
}

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = BufWriter::new(File::create(path).expect("the record can be written"));
        let inner = Inner {
            started: Instant::now(),
            file,
            runs: BTreeMap::new(),
            answers: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn with<T>(&self, line: Option<&str>, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().expect("the lock is sound");
        if let Some(line) = line {
            let at = inner.started.elapsed().as_secs_f64();
            let _ = writeln!(inner.file, "{at:9.3} {line}");
        }
        change(&mut inner)
    }

    pub fn add(&self, line: &str) {
        self.with(Some(line), |_| ());
    }

    /// Adds a line that is also shown.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.add(line);
    }

    pub fn ran(&self, leaf: &str, request: &str) {
        let line = format!("leaf {leaf} runs {request}");
        self.with(Some(&line), |inner| {
            inner
                .runs
                .entry(request.to_owned())
                .or_default()
                .push(leaf.to_owned());
        });
    }

    pub fn answered(&self, request: &str, status: u16) {
        let line = format!("caller gets {status} for {request}");
        self.with(Some(&line), |inner| {
            inner.answers.insert(request.to_owned(), status)
        });
    }

    pub fn runs(&self) -> BTreeMap<String, Vec<String>> {
        self.with(None, |inner| inner.runs.clone())
    }

    pub fn answers(&self) -> BTreeMap<String, u16> {
        self.with(None, |inner| inner.answers.clone())
    }

    pub fn flush(&self) {
        self.with(None, |inner| {
            let _ = inner.file.flush();
        });
    }
}
