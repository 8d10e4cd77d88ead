//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or version and status.
    pub start: [String; 2],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.start[0]
    }

    pub fn path(&self) -> &str {
        self.start[1].split('?').next().unwrap_or_default()
    }

    /// A query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let pairs = self.start[1].split_once('?')?.1.split('&');
        let mut values = pairs.filter_map(|pair| pair.split_once('='));
        values.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((&first, tail)) = rest.split_first() {
        let code = (first == b'%' && tail.len() >= 2)
            .then(|| u8::from_str_radix(std::str::from_utf8(&tail[..2]).unwrap_or(""), 16).ok());
        match code.flatten() {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads the start line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = line(reader)? else {
        return Ok(None);
    };
    let mut words = start.split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let mut message = Message { start: [word(), word()], ..Message::default() };
    loop {
        let line = line(reader)?.ok_or_else(|| invalid("the head is cut"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let chunked =
        message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if !chunked {
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    loop {
        let size = line(reader)?.ok_or_else(|| invalid("a chunk is cut"))?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
            .map_err(|_| invalid("no chunk size"))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        line(reader)?;
        if size == 0 {
            return Ok(());
        }
        message.body.extend(chunk);
    }
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    stream.write_all(&all)?;
    stream.flush()
}

/// Sends one request on a new connection and reads the whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    stream.write_all(&all)?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| invalid("closed without an answer"))
}
