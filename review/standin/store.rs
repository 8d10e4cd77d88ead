//! The platform's store as the pages say: logs with offsets, keyed topics, and
//! groups.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Value, base64, quote},
};

const PARTS: u64 = 24;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Of a keyed topic: offset and value of the newest record of each key.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    first: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    topics: Vec<String>,
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let inner = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let shared = Store { address: ([127, 0, 0, 1], 0).into(), inner };
        let store = shared.clone();
        let address = http::listen(move |stream| {
            let store = store.clone();
            http::answer_all(stream, |request| Some(store.handle(request).bytes()));
        });
        Store { address, ..shared }
    }

    /// Writes a keyed record as the operator, a trainer or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.inner.0.lock().unwrap();
        state.partitions.entry((topic.to_owned(), 0)).or_default().push(topic, record);
        self.inner.1.notify_all();
    }

    fn handle(&self, request: &Message) -> Message {
        match (request.method(), request.path()) {
            ("POST", "/-/log-append") => self.append(request),
            ("GET", "/-/log-read") => self.read(request),
            ("POST", "/-/log-trim") => self.trim(request),
            ("GET", "/-/log-newest") => self.newest(request),
            ("POST", "/-/log-join") => self.join(request),
            ("POST", "/-/log-leave") => self.leave(request),
            ("GET", "/-/log-owners") => self.owners(request),
            _ => Message::answer(404, ""),
        }
    }

    fn append(&self, request: &Message) -> Message {
        let topic = request.query("topic").unwrap_or_default();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Message::answer(403, "");
        }
        let mut state = self.inner.0.lock().unwrap();
        let partition =
            state.partitions.entry((topic.clone(), request.query_number("part"))).or_default();
        if let Some(expected) = request.query("expected_end")
            && expected != partition.end().to_string()
        {
            return Message::answer(412, format!("{{\"end\":{}}}", partition.end()));
        }
        let offset = partition.end();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + size {
                return Message::answer(400, "");
            }
            partition.push(&topic, rest[4..4 + size].to_vec());
            rest = &rest[4 + size..];
        }
        let end = partition.end();
        self.inner.1.notify_all();
        Message::answer(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, request: &Message) -> Message {
        let key = (request.query("topic").unwrap_or_default(), request.query_number("part"));
        let from = request.query_number("from");
        let until = Instant::now() + Duration::from_millis(request.query_number("wait_ms"));
        let mut state = self.inner.0.lock().unwrap();
        loop {
            let partition = state.partitions.entry(key.clone()).or_default();
            if from < partition.first {
                return Message::answer(410, format!("{{\"first\":{}}}", partition.first));
            }
            let now = Instant::now();
            if from < partition.end() || now >= until {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend_from_slice(&partition.first.to_be_bytes());
                for record in partition.records.iter().skip(from as usize) {
                    if body.len() > 1 << 20 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Message::answer(200, body);
            }
            state = self.inner.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn trim(&self, request: &Message) -> Message {
        let call = Value::parse(&request.text()).unwrap_or(Value::Null);
        let key = (call.get("topic").text().to_owned(), call.get("part").number().unwrap_or(0));
        let mut state = self.inner.0.lock().unwrap();
        let partition = state.partitions.entry(key).or_default();
        let before = call.get("before").number().unwrap_or(0).min(partition.end());
        partition.first = partition.first.max(before);
        Message::answer(200, "{}")
    }

    fn newest(&self, request: &Message) -> Message {
        let key = (request.query("topic").unwrap_or_default(), request.query_number("part"));
        let after = request.query("after");
        let mut state = self.inner.0.lock().unwrap();
        let partition = state.partitions.entry(key).or_default();
        let mut entries = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (offset, value)) in &partition.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if entries.len() == 500 || bytes > 1 << 20 {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (quote(key), base64(value));
            entries.push(format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (entries, end) = (entries.join(","), partition.end());
        let body = format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"end\":{end}}}");
        Message::answer(200, body)
    }

    fn join(&self, request: &Message) -> Message {
        let call = Value::parse(&request.text()).unwrap_or(Value::Null);
        let mut state = self.inner.0.lock().unwrap();
        let group = state.groups.entry(call.get("group").text().to_owned()).or_default();
        group.topics = call.get("topics").list().iter().map(|t| t.text().to_owned()).collect();
        let member = call.get("member").text().to_owned();
        let ttl = Duration::from_millis(call.get("ttl_ms").number().unwrap_or(1_000));
        if group.members.insert(member.clone(), (Instant::now(), ttl)).is_none() {
            group.generation += 1;
        }
        let own = group.rows().into_iter().filter(|(_, _, owner)| *owner == member);
        let parts: Vec<String> =
            own.map(|(topic, n, _)| format!("[{},{n},0]", quote(&topic))).collect();
        let (generation, parts) = (group.generation, parts.join(","));
        Message::answer(200, format!("{{\"generation\":{generation},\"parts\":[{parts}]}}"))
    }

    fn leave(&self, request: &Message) -> Message {
        let call = Value::parse(&request.text()).unwrap_or(Value::Null);
        let mut state = self.inner.0.lock().unwrap();
        let group = state.groups.entry(call.get("group").text().to_owned()).or_default();
        if group.members.remove(call.get("member").text()).is_some() {
            group.generation += 1;
        }
        Message::answer(200, "{}")
    }

    fn owners(&self, request: &Message) -> Message {
        let mut state = self.inner.0.lock().unwrap();
        let group = state.groups.entry(request.query("group").unwrap_or_default()).or_default();
        let rows = group.rows().into_iter();
        let rows: Vec<String> = rows
            .map(|(topic, n, member)| format!("[{},{n},{},0]", quote(&topic), quote(&member)))
            .collect();
        Message::answer(200, format!("[{}]", rows.join(",")))
    }
}

impl Partition {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn push(&mut self, topic: &str, record: Vec<u8>) {
        if topic.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]).min(record.len() - 1);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.end(), value));
            }
        }
        self.records.push(record);
    }
}

impl Group {
    /// The partitions, distributed evenly over the live members.
    fn rows(&mut self) -> Vec<(String, u64, String)> {
        let before = self.members.len();
        self.members.retain(|_, (at, ttl)| at.elapsed() < *ttl);
        if self.members.len() != before {
            self.generation += 1;
        }
        let members: Vec<&String> = self.members.keys().collect();
        if members.is_empty() {
            return vec![];
        }
        let all = self.topics.iter().flat_map(|topic| (0..PARTS).map(move |n| (topic, n)));
        all.enumerate()
            .map(|(at, (topic, n))| (topic.clone(), n, members[at % members.len()].clone()))
            .collect()
    }
}
