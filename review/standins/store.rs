//! Stand-in for the platform's store: range, key and watch calls over one revision counter.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Link, Message, answer};

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let store = Self { address, state };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Link::new(stream)));
            }
        });
        store
    }

    /// Writes or removes a key; returns its revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the lock is sound");
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(|text| text.as_bytes().to_vec());
        state.items.insert(key.to_owned(), Item { value, revision });
        changed.notify_all();
        revision
    }

    fn serve(&self, mut link: Link) {
        while let Ok(Some(request)) = link.read() {
            let bytes = self.handle(&request);
            if link.send(&bytes).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let field = |name: &str| {
            let found = query.split('&').filter_map(|part| part.split_once('='));
            found
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
                .next()
        };
        let json = |status: u16, text: String| {
            answer(
                status,
                &[("Content-Type", "application/json".to_owned())],
                text.as_bytes(),
            )
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the lock is sound");
        match path {
            "/-/kv-key" => {
                let key = field("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) if item.value.is_some() => {
                        let text = item_json(&key, item);
                        let as_of = state.revision;
                        json(
                            200,
                            format!("{},\"as_of\":{as_of}}}", &text[..text.len() - 1]),
                        )
                    }
                    _ => json(404, "{}".to_owned()),
                }
            }
            "/-/kv-range" => {
                let prefix = field("prefix").unwrap_or_default();
                let after = field("after").unwrap_or_default();
                let found = state.items.iter();
                let found = found.filter(|(key, item)| {
                    key.starts_with(&prefix) && **key > after && item.value.is_some()
                });
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                let (items, as_of) = (items.join(","), state.revision);
                json(
                    200,
                    format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"),
                )
            }
            "/-/kv-watch" => {
                let prefix = field("prefix").unwrap_or_default();
                let after: u64 = field("after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = field("wait_ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let changes = state.items.iter();
                    let changes = changes
                        .filter(|(key, item)| key.starts_with(&prefix) && item.revision > after);
                    let mut changes: Vec<(u64, String)> = changes
                        .map(|(key, item)| (item.revision, item_json(key, item)))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !changes.is_empty() || left.is_zero() {
                        changes.sort();
                        let events: Vec<String> =
                            changes.into_iter().map(|(_, text)| text).collect();
                        let (events, as_of) = (events.join(","), state.revision);
                        return json(200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    state = changed
                        .wait_timeout(state, left)
                        .expect("the lock is sound")
                        .0;
                }
            }
            _ => json(404, "{}".to_owned()),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let revision = item.revision;
    match &item.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= part.len() {
                let index = (number >> (18 - 6 * digit)) & 63;
                text.push(DIGITS[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
