//! A target that fails at a chosen byte: plain TCP, so that each stage can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::Value;
use yuccalift_wire::leaf::LeafReply;

/// What a connection does with a request for work. Pings are always answered, unless it is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafScript {
    /// Answers.
    Answer,
    /// Closes at once, without reading.
    CloseAtOnce,
    /// Reads this many bytes of the request for work and closes.
    CloseInRequest(usize),
    /// Reads the whole request, then closes without answering.
    CloseAfterRequest,
    /// Writes this many bytes of the answer, then closes.
    CloseInAnswer(usize),
    /// Answers with a body that names another attempt.
    AnswerForeign,
    /// Answers one request, then closes while idle.
    CloseWhenIdle,
    /// Answers one request, and is silent from then on, to pings too.
    SilentAfterFirst,
}

/// What the target has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeafRecord {
    /// How many connections it accepted.
    pub accepted: usize,
    /// Bytes of requests for work that it read, over all connections.
    pub work_bytes: usize,
    /// Whole requests for work, by the number of the connection they came over.
    pub work: Vec<usize>,
}

/// A scripted target; its thread ends with the process.
pub struct ScriptedLeaf {
    /// Where it accepts.
    pub address: SocketAddr,
    record: Arc<Mutex<LeafRecord>>,
}

impl ScriptedLeaf {
    /// Starts a target; the scripts are for its connections in order, the last for all later ones.
    pub fn start(scripts: Vec<LeafScript>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has one");
        let record = Arc::new(Mutex::new(LeafRecord::default()));
        let kept = Arc::clone(&record);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let script = scripts.get(number).or(scripts.last()).copied();
                let record = Arc::clone(&kept);
                record.lock().expect("no thread panics").accepted += 1;
                let script = script.unwrap_or(LeafScript::Answer);
                std::thread::spawn(move || serve(stream, number, script, &record));
            }
        });
        Self { address, record }
    }

    /// What it has seen so far.
    pub fn record(&self) -> LeafRecord {
        self.record.lock().expect("no thread panics").clone()
    }
}

fn serve(mut stream: TcpStream, number: usize, script: LeafScript, record: &Mutex<LeafRecord>) {
    if script == LeafScript::CloseAtOnce {
        return;
    }
    let mut answered = 0;
    loop {
        let silent = script == LeafScript::SilentAfterFirst && answered > 0;
        let Some((is_work, body)) = read_request(&mut stream, script, record) else {
            return;
        };
        if silent {
            continue;
        }
        if !is_work {
            let _client_may_have_gone = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            continue;
        }
        record.lock().expect("no thread panics").work.push(number);
        if !answer(&mut stream, script, &body) {
            return;
        }
        answered += 1;
    }
}

/// Reads one request; whether it is for work, and its body.
fn read_request(
    stream: &mut TcpStream,
    script: LeafScript,
    record: &Mutex<LeafRecord>,
) -> Option<(bool, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    loop {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
        let is_work = bytes.starts_with(b"POST /search") || bytes.starts_with(b"POST /execute");
        if is_work {
            record.lock().expect("no thread panics").work_bytes += 1;
        }
        if is_work && matches!(script, LeafScript::CloseInRequest(limit) if bytes.len() >= limit) {
            return None;
        }
        let Some(head) = find(&bytes, b"\r\n\r\n") else {
            continue;
        };
        let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
        let length = text.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.parse::<usize>().ok());
        if bytes.len() >= head + 4 + length.unwrap_or(0) {
            return Some((is_work, bytes[head + 4..].to_vec()));
        }
    }
}

/// Answers a request for work; whether the connection goes on.
fn answer(stream: &mut TcpStream, script: LeafScript, body: &[u8]) -> bool {
    if script == LeafScript::CloseAfterRequest {
        return false;
    }
    let request: Value = serde_json::from_slice(body).expect("requests are JSON");
    let foreign = u64::from(script == LeafScript::AnswerForeign);
    let reply = LeafReply {
        query: request["query"].as_u64().expect("a query is named"),
        attempt: request["attempt"].as_u64().expect("an attempt is named") + foreign,
        shard: 0,
        version: 1,
        held: vec![1],
        hits: Vec::new(),
        complete: true,
    };
    let body = serde_json::to_string(&reply).expect("a reply has a JSON form");
    let length = body.len();
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let cut = match script {
        LeafScript::CloseInAnswer(cut) => cut.min(whole.len() - 1),
        _ => whole.len(),
    };
    let _client_may_have_gone = stream.write_all(&whole.as_bytes()[..cut]);
    let goes_on = !matches!(
        script,
        LeafScript::CloseInAnswer(_) | LeafScript::CloseWhenIdle
    );
    if !goes_on {
        let _client_may_have_gone = stream.shutdown(Shutdown::Write);
    }
    goes_on
}

fn find(bytes: &[u8], mark: &[u8]) -> Option<usize> {
    bytes.windows(mark.len()).position(|part| part == mark)
}
