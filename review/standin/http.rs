//! A blocking HTTP/1.1 server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request or an answer: the first line, the headers and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn answer(status: u16, body: impl Into<Vec<u8>>) -> Message {
        let body = body.into();
        Message { first: format!("HTTP/1.1 {status} -"), headers: vec![], body }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Message {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
    }

    pub fn query_number(&self, name: &str) -> u64 {
        self.query(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The bytes on the wire, with a length.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = format!("{}\r\n", self.first);
        for (name, value) in &self.headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut out = out.into_bytes();
        out.extend_from_slice(&self.body);
        out
    }

    /// Reads a message; `None` if the connection ends before its first byte.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        if !line(from, &mut message.first)? {
            return Ok(None);
        }
        loop {
            let mut header = String::new();
            if !line(from, &mut header)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if header.is_empty() {
                break;
            }
            if let Some((name, value)) = header.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let mut size = String::new();
                line(from, &mut size)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let at = message.body.len();
                message.body.resize(at + size, 0);
                from.read_exact(&mut message.body[at..])?;
                line(from, &mut String::new())?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body.resize(length, 0);
            from.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }
}

fn line(from: &mut impl BufRead, to: &mut String) -> io::Result<bool> {
    let mut bytes = Vec::new();
    from.read_until(b'\n', &mut bytes)?;
    if bytes.last() != Some(&b'\n') {
        return if bytes.is_empty() { Ok(false) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
    }
    bytes.pop();
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    to.push_str(&String::from_utf8_lossy(&bytes));
    Ok(true)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves each connection to a free loopback port in a thread of its own.
pub fn listen<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Answers the requests of a connection in order; `None` closes it.
pub fn answer_all(stream: TcpStream, mut handle: impl FnMut(&Message) -> Option<Vec<u8>>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let Some(bytes) = handle(&request) else { return };
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Sends one request on a new connection and reads the whole answer.
pub fn exchange(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<Message> {
    let mut client = Client::connect(address)?;
    client.exchange(first, headers, body)
}

/// A client's kept connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Client::over(TcpStream::connect_timeout(&address, Duration::from_secs(1))?)
    }

    pub fn over(stream: TcpStream) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, first: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut message = Message { first: format!("{first} HTTP/1.1"), headers: vec![], body: body.to_vec() };
        for (name, value) in headers {
            message.headers.push(((*name).to_owned(), value.clone()));
        }
        self.stream.write_all(&message.bytes())
    }

    pub fn exchange(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<Message> {
        self.send(first, headers, body)?;
        let answer = Message::read(&mut self.reader)?;
        answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    pub fn read_some(&mut self, to: &mut [u8]) -> io::Result<usize> {
        self.reader.read(to)
    }
}
