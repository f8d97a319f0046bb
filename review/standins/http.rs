//! A small HTTP/1.1 codec over blocking sockets, enough for the stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if the line is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }
}

/// A connection with the bytes that were read too far.
pub struct Link {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Link {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.rest.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads one message with a length or without a body; `Ok(None)` if the peer has closed the
    /// connection between messages.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() {
                    Ok(None)
                } else {
                    Err(cut())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(cut());
            }
        }
        message.body = self.rest.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn set_read_timeout(&self, limit: Duration) {
        let _ = self
            .stream
            .set_read_timeout(Some(limit.max(Duration::from_millis(1))));
    }
}

fn cut() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

/// Encodes an answer.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
