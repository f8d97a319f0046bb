//! Stand-in for a leaf: slots, a short queue, rejections when full, and a second copy of some of
//! its answers.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Link, Message, answer};
use crate::record::Record;

pub struct LeafPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that wait for a slot; one more is rejected.
    pub queue: usize,
    pub work: Duration,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    /// Share of the answers that are sent twice, late, in thousandths.
    copies: u64,
    random: u64,
    /// Answers sent, and second copies of them, while `copies` is above 0.
    faulty_time_answers: u64,
    faulty_time_copies: u64,
}

#[derive(Clone)]
pub struct Leaf {
    pub plan: Arc<LeafPlan>,
    pub address: SocketAddr,
    load: Arc<(Mutex<Load>, Condvar)>,
    record: Record,
}

impl Leaf {
    pub fn start(plan: LeafPlan, seed: u64, record: &Record) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let load = Load {
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            ..Load::default()
        };
        let load = Arc::new((Mutex::new(load), Condvar::new()));
        let leaf = Self {
            plan: Arc::new(plan),
            address,
            load,
            record: record.clone(),
        };
        let serving = leaf.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = serving.clone();
                std::thread::spawn(move || leaf.serve(Link::new(stream)));
            }
        });
        leaf
    }

    /// The entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        let LeafPlan {
            service,
            zone,
            slots,
            ..
        } = &*self.plan;
        format!(
            "{{\"backend\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\
             \"born\":1700000000000}}",
            self.address
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.plan.id)
    }

    /// From now on, so many thousandths of the answers are sent twice.
    pub fn send_copies(&self, thousandths: u64) {
        self.load.0.lock().expect("the lock is sound").copies = thousandths;
    }

    /// Answers and second copies of them while the leaf was faulty.
    pub fn copies(&self) -> (u64, u64) {
        let load = self.load.0.lock().expect("the lock is sound");
        (load.faulty_time_answers, load.faulty_time_copies)
    }

    fn serve(&self, mut link: Link) {
        // The second copy of the last answer, which arrives where the next one is expected.
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        let mut last = String::new();
        while let Ok(Some(request)) = link.read() {
            let id = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            if id == last {
                self.record.add(&format!(
                    "leaf {} gets {id} again on the connection of its answer",
                    self.plan.id
                ));
            }
            last.clone_from(&id);
            if let Some((of, copy)) = late_copy.take() {
                let leaf = &self.plan.id;
                self.record.add(&format!(
                    "leaf {leaf} sends its answer to {of} again, as {id} is due"
                ));
                if link.send(&copy).is_err() {
                    return;
                }
            }
            let bytes = self.handle(&request);
            if link.send(&bytes).is_err() {
                return;
            }
            late_copy = self.draw_copy().then_some((id, bytes));
        }
    }

    fn draw_copy(&self) -> bool {
        let mut load = self.load.0.lock().expect("the lock is sound");
        if load.copies == 0 {
            return false;
        }
        load.faulty_time_answers += 1;
        load.random ^= load.random << 13;
        load.random ^= load.random >> 7;
        load.random ^= load.random << 17;
        let is_copied = load.random % 1000 < load.copies;
        load.faulty_time_copies += u64::from(is_copied);
        is_copied
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let LeafPlan {
            id,
            service,
            slots,
            queue,
            work,
            ..
        } = &*self.plan;
        let request_id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("X-Request-Id", request_id.clone());
        let expected = request.header("x-expect-instance").unwrap_or(id);
        if expected != id {
            return answer(421, &[echo, ("X-Instance-Id", id.clone())], b"");
        }
        let limit = request
            .header("x-deadline-ms")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(limit.unwrap_or(60_000));
        let (lock, freed) = &*self.load;
        let mut load = lock.lock().expect("the lock is sound");
        if load.running >= *slots && load.waiting >= *queue {
            self.record.add(&format!("leaf {id} rejected {request_id}"));
            return answer(503, &[echo, ("X-Not-Executed", "1".to_owned())], b"");
        }
        load.waiting += 1;
        while load.running >= *slots && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            load = freed.wait_timeout(load, left).expect("the lock is sound").0;
        }
        load.waiting -= 1;
        if load.running >= *slots {
            self.record.add(&format!("leaf {id} rejected {request_id}"));
            return answer(503, &[echo, ("X-Not-Executed", "1".to_owned())], b"");
        }
        load.running += 1;
        drop(load);
        self.record.ran(id, &request_id);
        std::thread::sleep(*work);
        lock.lock().expect("the lock is sound").running -= 1;
        freed.notify_one();
        let body = format!("{service} has done {request_id}");
        let stamp = ("X-Server-Stamp", format!("{id}.{request_id}"));
        answer(200, &[echo, stamp], body.as_bytes())
    }
}
