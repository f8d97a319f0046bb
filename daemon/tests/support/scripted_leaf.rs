//! Target over plain TCP that fails at a chosen byte of a request or an answer.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::Value;
use yuccalift_wire::leaf::LeafReply;

/// Behaviour of a connection on a request for work. Pings are always answered, unless the script
/// makes the connection silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafScript {
    /// Answers every request.
    Answer,
    /// Closes at once, without reading.
    CloseAtOnce,
    /// Closes after reading this many bytes of a request for work.
    CloseInRequest(usize),
    /// Closes without an answer after reading the whole request.
    CloseAfterRequest,
    /// Closes after writing this many bytes of the answer.
    CloseInAnswer(usize),
    /// Answers with a body that names another attempt.
    AnswerOtherAttempt,
    /// Closes after one answer, while the connection is idle.
    CloseWhenIdle,
    /// Answers one request; after that it answers nothing, not even pings.
    SilentAfterFirst,
}

/// Connections and requests that the target has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeafRecord {
    /// Number of accepted connections.
    pub accepted: usize,
    /// Number of bytes read of requests for work, over all connections.
    pub work_bytes: usize,
    /// For each completely read request for work, the index of its connection.
    pub work: Vec<usize>,
}

/// A scripted target. Its thread ends with the process.
pub struct ScriptedLeaf {
    /// Address of the target's listener.
    pub address: SocketAddr,
    record: Arc<Mutex<LeafRecord>>,
}

impl ScriptedLeaf {
    /// Starts a target. Each connection takes the script at its index; later ones take the last.
    pub fn start(scripts: Vec<LeafScript>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let record = Arc::new(Mutex::new(LeafRecord::default()));
        let shared_record = Arc::clone(&record);
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let script = scripts.get(connection).or(scripts.last()).copied();
                let record = Arc::clone(&shared_record);
                record.lock().expect("no thread panics").accepted += 1;
                let script = script.unwrap_or(LeafScript::Answer);
                std::thread::spawn(move || serve(stream, connection, script, &record));
            }
        });
        Self { address, record }
    }

    /// Returns a copy of the record so far.
    pub fn record(&self) -> LeafRecord {
        self.record.lock().expect("no thread panics").clone()
    }
}

fn serve(mut stream: TcpStream, connection: usize, script: LeafScript, record: &Mutex<LeafRecord>) {
    if script == LeafScript::CloseAtOnce {
        return;
    }
    let mut answered = 0;
    loop {
        let is_silent = script == LeafScript::SilentAfterFirst && answered > 0;
        let Some((is_work, body)) = read_request(&mut stream, script, record) else {
            return;
        };
        if is_silent {
            continue;
        }
        if !is_work {
            let _client_may_have_gone = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            continue;
        }
        record
            .lock()
            .expect("no thread panics")
            .work
            .push(connection);
        if !answer(&mut stream, script, &body) {
            return;
        }
        answered += 1;
    }
}

/// Reads one request. Returns whether it is for work, and its body; `None` if the connection ended.
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

/// Answers a request for work. Returns whether the connection stays open.
fn answer(stream: &mut TcpStream, script: LeafScript, body: &[u8]) -> bool {
    if script == LeafScript::CloseAfterRequest {
        return false;
    }
    let request: Value = serde_json::from_slice(body).expect("requests are JSON");
    let attempt_offset = u64::from(script == LeafScript::AnswerOtherAttempt);
    let reply = LeafReply {
        query: request["query"].as_u64().expect("a query is named"),
        attempt: request["attempt"].as_u64().expect("an attempt is named") + attempt_offset,
        shard: 0,
        version: 1,
        held: vec![1],
        hits: Vec::new(),
        complete: true,
    };
    let body = serde_json::to_string(&reply).expect("the reply is serialized");
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let written_length = match script {
        LeafScript::CloseInAnswer(limit) => limit.min(answer.len() - 1),
        _ => answer.len(),
    };
    let _client_may_have_gone = stream.write_all(&answer.as_bytes()[..written_length]);
    let stays_open = !matches!(
        script,
        LeafScript::CloseInAnswer(_) | LeafScript::CloseWhenIdle
    );
    if !stays_open {
        let _client_may_have_gone = stream.shutdown(Shutdown::Write);
    }
    stays_open
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|part| part == needle)
}
