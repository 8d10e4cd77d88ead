//! Stand-in for the platform's store: a log with partitions, keyed topics and
//! groups, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    text::{base64, json_field},
};

/// How the store treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Serve,
    /// 503: nothing is done.
    Refuse,
    /// Not answered, and done after this time: the connection is closed.
    DoneLate(Duration),
}

type Rule = Arc<dyn Fn(&Message) -> Fate + Send + Sync>;

#[derive(Default)]
struct Partition {
    /// Number of records that the log no longer holds.
    first: u64,
    log: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    topics: Vec<String>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
}

const PARTS: u64 = 24;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.log.len() as u64
    }

    fn push(&mut self, keyed: bool, record: &[u8]) {
        let offset = self.end();
        self.log.push(record.to_vec());
        if !keyed || record.is_empty() {
            return;
        }
        let end = (1 + usize::from(record[0])).min(record.len());
        let (key, value) = (record[1..end].to_vec(), record[end..].to_vec());
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, value));
        }
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, (at, ttl)| at.elapsed() < *ttl);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    /// Rows of topic, partition and member.
    fn owners(&self) -> Vec<(String, u64, String)> {
        let members: Vec<&String> = self.members.keys().collect();
        let mut rows = Vec::new();
        for topic in self.topics.iter().filter(|_| !members.is_empty()) {
            for part in 0..PARTS {
                let member = members[rows.len() % members.len()];
                rows.push((topic.clone(), part, member.clone()));
            }
        }
        rows
    }
}

impl Store {
    pub fn start() -> Store {
        let inner = Inner { state: Mutex::default(), changed: Condvar::new() };
        let mut store = Store { address: ([127, 0, 0, 1], 0).into(), inner: Arc::new(inner) };
        store.address = store.door(|_| Fate::Serve);
        store
    }

    /// Another address of the store, at which a rule decides how calls are
    /// treated: those of the machines that are given this address.
    pub fn door(&self, rule: impl Fn(&Message) -> Fate + Send + Sync + 'static) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (served, rule): (Store, Rule) = (self.clone(), Arc::new(rule));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, rule) = (served.clone(), rule.clone());
                thread::spawn(move || store.serve(stream, &rule));
            }
        });
        address
    }

    /// Writes a keyed record as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.inner.state.lock().unwrap();
        state.topics.entry((topic.to_owned(), 0)).or_default().push(true, &record);
        self.inner.changed.notify_all();
    }

    /// Forgets the history: of each partition only the newest record of each key
    /// is left.
    pub fn forget_history(&self) {
        let mut state = self.inner.state.lock().unwrap();
        for partition in state.topics.values_mut() {
            partition.first = partition.end();
            partition.log.clear();
        }
        self.inner.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, rule: &Rule) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read(&mut reader) {
            match rule(&call) {
                Fate::Serve => {
                    let (status, body) = self.answer(&call);
                    if http::respond(&mut writer, status, &[], &body).is_err() {
                        return;
                    }
                }
                Fate::Refuse => {
                    if http::respond(&mut writer, 503, &[], b"").is_err() {
                        return;
                    }
                }
                Fate::DoneLate(after) => {
                    let store = self.clone();
                    thread::spawn(move || {
                        thread::sleep(after);
                        store.answer(&call);
                    });
                    return;
                }
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        let part = call.number("part").unwrap_or(0);
        match call.path() {
            "/-/log-append" => self.append(call, &topic, part),
            "/-/log-read" => self.read(call, &topic, part),
            "/-/log-newest" => self.newest(call, &topic, part),
            "/-/log-trim" | "/-/log-commit" => (200, b"{}".to_vec()),
            "/-/log-join" => self.join(&call.text()),
            "/-/log-leave" => {
                let body = call.text();
                let mut state = self.inner.state.lock().unwrap();
                let name = json_field(&body, "group").unwrap_or_default();
                if let Some(group) = state.groups.get_mut(&name) {
                    group.members.remove(&json_field(&body, "member").unwrap_or_default());
                    group.generation += 1;
                }
                (200, b"{}".to_vec())
            }
            "/-/log-owners" => {
                let mut state = self.inner.state.lock().unwrap();
                let name = call.query("group").unwrap_or_default();
                let rows = state.groups.get_mut(&name).map(|group| {
                    group.expire();
                    group.owners()
                });
                let rows: Vec<String> = rows
                    .unwrap_or_default()
                    .iter()
                    .map(|(topic, part, member)| format!("[\"{topic}\",{part},\"{member}\",0]"))
                    .collect();
                (200, format!("{{\"rows\":[{}]}}", rows.join(",")).into_bytes())
            }
            _ => (404, vec![]),
        }
    }

    fn append(&self, call: &Message, topic: &str, part: u64) -> (u16, Vec<u8>) {
        let mut state = self.inner.state.lock().unwrap();
        let partition = state.topics.entry((topic.to_owned(), part)).or_default();
        let first = partition.end();
        if call.number("expected_end").is_some_and(|end| end != first) {
            return (412, format!("{{\"end\":{first}}}").into_bytes());
        }
        let mut rest = call.body.as_slice();
        while rest.len() >= 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let Some(record) = rest.get(4..4 + size) else { break };
            partition.push(topic.starts_with("keyed."), record);
            rest = &rest[4 + size..];
        }
        let end = partition.end();
        self.inner.changed.notify_all();
        (200, format!("{{\"offset\":{first},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, call: &Message, topic: &str, part: u64) -> (u16, Vec<u8>) {
        let from = call.number("from").unwrap_or(0);
        let max = call.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let key = (topic.to_owned(), part);
        let mut state = self.inner.state.lock().unwrap();
        loop {
            let partition = state.topics.get(&key);
            let (first, end) = partition.map_or((0, 0), |part| (part.first, part.end()));
            let log = partition.map_or(&[][..], |part| &part.log);
            let now = Instant::now();
            if from < first {
                return (410, format!("{{\"first\":{first}}}").into_bytes());
            }
            if end <= from && now < until {
                state = self.inner.changed.wait_timeout(state, until - now).unwrap().0;
                continue;
            }
            let mut body = end.to_be_bytes().to_vec();
            body.extend(first.to_be_bytes());
            for (n, record) in log.iter().skip((from - first) as usize).enumerate() {
                if n > 0 && body.len() + record.len() > max {
                    break;
                }
                body.extend((record.len() as u32).to_be_bytes());
                body.extend(record);
            }
            return (200, body);
        }
    }

    fn newest(&self, call: &Message, topic: &str, part: u64) -> (u16, Vec<u8>) {
        let after = call.query("after").map(String::into_bytes);
        let mut state = self.inner.state.lock().unwrap();
        let partition = state.topics.entry((topic.to_owned(), part)).or_default();
        let mut entries = Vec::new();
        let mut has_more = false;
        let rest = partition.newest.iter();
        for (key, (offset, value)) in
            rest.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
        {
            if entries.len() == 500 {
                has_more = true;
                break;
            }
            let (key, value) = (String::from_utf8_lossy(key), base64(value));
            entries
                .push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (entries, end) = (entries.join(","), partition.end());
        let body = format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"end\":{end}}}");
        (200, body.into_bytes())
    }

    fn join(&self, body: &str) -> (u16, Vec<u8>) {
        let field = |name| json_field(body, name).unwrap_or_default();
        let member = field("member");
        let ttl = Duration::from_millis(field("ttl_ms").parse().unwrap_or(3_000));
        let list = body.split_once("\"topics\":[").and_then(|(_, rest)| rest.split_once(']'));
        let topics = list.map_or("", |(list, _)| list).split(',');
        let topics = topics.map(|topic| topic.trim_matches('"').to_owned());
        let mut state = self.inner.state.lock().unwrap();
        let group = state.groups.entry(field("group")).or_default();
        group.expire();
        group.topics = topics.filter(|topic| !topic.is_empty()).collect();
        if group.members.insert(member.clone(), (Instant::now(), ttl)).is_none() {
            group.generation += 1;
        }
        let rows = group.owners().into_iter().filter(|(_, _, owner)| *owner == member);
        let rows: Vec<String> =
            rows.map(|(topic, part, _)| format!("[\"{topic}\",{part},0]")).collect();
        let (generation, ttl) = (group.generation, ttl.as_millis());
        let rows = rows.join(",");
        let body = format!("{{\"generation\":{generation},\"ttl_ms\":{ttl},\"parts\":[{rows}]}}");
        (200, body.into_bytes())
    }
}
