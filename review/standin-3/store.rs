//! Stand-in of the platform's store: a log with partition 0 of each topic.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{Message, read_body, read_head, respond};

type Topics = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Default)]
struct State {
    topics: Topics,
    era: u64,
    /// True while it answers nothing.
    is_down: bool,
    /// Offset of the entries up to which each node has read, with the era.
    entries_read: BTreeMap<String, (u64, u64)>,
}

/// The store. Clones are the same one.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: &'static Record,
}

impl Store {
    pub fn new(record: &'static Record) -> Self {
        Self {
            state: Arc::default(),
            record,
        }
    }

    /// Opens a port for one node.
    pub fn listen(&self, node: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (store, node) = (self.clone(), node.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, node) = (store.clone(), node.clone());
                std::thread::spawn(move || store.serve(&node, stream));
            }
        });
        address
    }

    fn serve(&self, node: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(mut call) = read_head(&mut reader) {
            read_body(&mut reader, &mut call);
            if self.is_down() {
                // It answers nothing, and nothing later on this connection.
                while self.is_down() {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let Some((status, body)) = self.answer(node, &call) else {
                return;
            };
            let era = self.state.0.lock().expect("no panic").era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !respond(&mut writer, status, &headers, &body) {
                return;
            }
        }
    }

    pub fn is_down(&self) -> bool {
        self.state.0.lock().expect("no panic").is_down
    }

    pub fn set_down(&self, is_down: bool) {
        self.record.say(format!("store is_down={is_down}"));
        self.state.0.lock().expect("no panic").is_down = is_down;
        self.state.1.notify_all();
    }

    /// Writes a keyed record, as the operator and the engines do; an empty value drops the key.
    /// Returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> u64 {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.0.lock().expect("no panic");
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push(record);
        let offset = records.len() as u64 - 1;
        drop(state);
        self.state.1.notify_all();
        offset
    }

    /// A copy of all topics.
    pub fn copy(&self) -> Topics {
        self.state.0.lock().expect("no panic").topics.clone()
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: Topics) {
        let mut state = self.state.0.lock().expect("no panic");
        state.topics = copy;
        state.era += 1;
        state.entries_read.clear();
        self.record
            .say(format!("store comes back from a copy, era {}", state.era));
        drop(state);
        self.state.1.notify_all();
    }

    /// Offset up to which a node has read the entries of this era.
    pub fn entries_read(&self, node: &str) -> Option<u64> {
        let state = self.state.0.lock().expect("no panic");
        let (era, end) = state.entries_read.get(node)?;
        (*era == state.era).then_some(*end)
    }

    /// Answers a call; none if the store went down meanwhile.
    fn answer(&self, node: &str, call: &Message) -> Option<(u16, Vec<u8>)> {
        let topic = call.query("Topic").unwrap_or_default();
        let number = |name| call.query(name).and_then(|value| value.parse::<u64>().ok());
        match call.path() {
            "/log-append" => Some(self.append(&topic, number("At"), &call.body)),
            "/log-newest" => Some(self.newest(node, &topic, call.query("after"))),
            "/log-read" => {
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                self.read(node, &topic, number("From").unwrap_or(0), wait)
            }
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut state = self.state.0.lock().expect("no panic");
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"End\":{offset}}}").into_bytes());
        }
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        drop(state);
        self.state.1.notify_all();
        let answer = format!("{{\"Offset\":{offset},\"End\":{end}}}");
        (200, answer.into_bytes())
    }

    fn newest(&self, node: &str, topic: &str, after: Option<String>) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().expect("no panic");
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            if record.len() == length + 1 {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, record[length + 1..].to_vec()));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let end = records.len() as u64;
        if topic == "keyed.servers" {
            let era = state.era;
            state.entries_read.insert(node.to_owned(), (era, end));
        }
        let answer = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"End\":{end}}}",
            items.join(",")
        );
        (200, answer.into_bytes())
    }

    fn read(&self, node: &str, topic: &str, from: u64, wait: Duration) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("no panic");
        loop {
            if state.is_down {
                return None;
            }
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let end = records.len() as u64;
            if from > end {
                return Some((410, b"{\"First\":0}".to_vec()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from as usize..] {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                if topic == "keyed.servers" {
                    let era = state.era;
                    state.entries_read.insert(node.to_owned(), (era, end));
                }
                return Some((200, body));
            }
            state = self.state.1.wait_timeout(state, left).expect("no panic").0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place <= group.len() {
                let digit = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
