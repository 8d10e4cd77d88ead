//! A small JSON value: parser and writer.

use std::{collections::BTreeMap, fmt};

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Value::Map(map) => map.get(key).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Value::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Value::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Value] {
        if let Value::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser { rest: text.trim_start() };
        let value = parser.value()?;
        parser.rest.trim().is_empty().then_some(value)
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(b) => write!(f, "{b}"),
            Value::Number(n) => write!(f, "{n}"),
            Value::Text(text) => f.write_str(&quote(text)),
            Value::List(list) => {
                let parts: Vec<String> = list.iter().map(Value::to_string).collect();
                write!(f, "[{}]", parts.join(","))
            }
            Value::Map(map) => {
                let parts: Vec<String> =
                    map.iter().map(|(k, v)| format!("{}:{v}", quote(k))).collect();
                write!(f, "{{{}}}", parts.join(","))
            }
        }
    }
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn eat(&mut self, token: &str) -> Option<()> {
        self.skip();
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip();
        match self.rest.chars().next()? {
            '{' => self.map(),
            '[' => self.list(),
            '"' => self.string().map(Value::Text),
            't' => self.eat("true").map(|()| Value::Bool(true)),
            'f' => self.eat("false").map(|()| Value::Bool(false)),
            'n' => self.eat("null").map(|()| Value::Null),
            _ => {
                let end = self
                    .rest
                    .find(|c: char| !(c.is_ascii_digit() || "+-.eE".contains(c)))
                    .unwrap_or(self.rest.len());
                let (number, rest) = self.rest.split_at(end);
                self.rest = rest;
                number.parse().ok().map(Value::Number)
            }
        }
    }

    fn map(&mut self) -> Option<Value> {
        self.eat("{")?;
        let mut map = BTreeMap::new();
        if self.eat("}").is_some() {
            return Some(Value::Map(map));
        }
        loop {
            self.skip();
            let key = self.string()?;
            self.eat(":")?;
            map.insert(key, self.value()?);
            if self.eat(",").is_none() {
                self.eat("}")?;
                return Some(Value::Map(map));
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.eat("[")?;
        let mut list = Vec::new();
        if self.eat("]").is_some() {
            return Some(Value::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.eat(",").is_none() {
                self.eat("]")?;
                return Some(Value::List(list));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = String::new();
        let mut chars = self.rest.char_indices();
        loop {
            let (at, c) = chars.next()?;
            match c {
                '"' => {
                    self.rest = &self.rest[at + 1..];
                    return Some(out);
                }
                '\\' => match chars.next()?.1 {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let mut code = 0;
                        for _ in 0..4 {
                            code = code * 16 + chars.next()?.1.to_digit(16)?;
                        }
                        out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                    }
                    c => out.push(c),
                },
                c => out.push(c),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            let symbol = ALPHABET[(n >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() { char::from(symbol) } else { '=' });
        }
    }
    out
}
