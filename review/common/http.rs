//! A minimal HTTP/1.1 server and client on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
    /// Time until which a read may take; the socket needs a short read timeout for it.
    pub until: Option<Instant>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new(), until: None }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 65536];
        let length = loop {
            match self.stream.read(&mut buffer) {
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) && self.until.is_some_and(|until| Instant::now() < until) => {}
                read => break read?,
            }
        };
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..length]);
        Ok(())
    }

    pub fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            self.more()?;
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        let mut from = 0;
        loop {
            if let Some(end) = self.rest[from..].windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..from + end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned());
            }
            from = self.rest.len().saturating_sub(1);
            self.more()?;
        }
    }

    /// Reads a start line and headers.
    pub fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let start = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((start, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_string(), value.trim().to_string()));
            }
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.take(size)?;
        self.line()?;
        Ok(data)
    }

    pub fn request(&mut self) -> io::Result<Request> {
        let (start, headers) = self.head()?;
        let mut words = start.split(' ');
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let mut body = Vec::new();
        if let Some(length) = find(&headers, "content-length").and_then(|text| text.parse().ok()) {
            body = self.take(length)?;
        } else if find(&headers, "transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                body.extend(chunk);
            }
        }
        Ok(Request { method, target, headers, body })
    }
}

/// Accepts connections at an address, with a thread for each. The handler returns whether the
/// connection stays open.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &mut Wire) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.request() {
                    if !handler(&request, &mut wire) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a complete response.
pub fn respond(wire: &mut Wire, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    wire.stream.write_all(text.as_bytes()).is_ok()
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body came, as its length or its chunks tell.
    pub complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on an open connection and reads the answer, for `patience` at most.
pub fn ask(wire: &mut Wire, head: &str, body: &[u8], patience: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(wire, head, body, began + patience, &mut answer);
    answer.took = began.elapsed();
    answer
}

/// Sends a request on a new connection and reads the answer, for `patience` at most.
pub fn call(address: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        let _ = exchange(&mut Wire::new(stream), head, body, began + patience, &mut answer);
    }
    answer.took = began.elapsed();
    answer
}

fn exchange(
    wire: &mut Wire,
    head: &str,
    body: &[u8],
    until: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    wire.until = Some(until);
    wire.stream.set_read_timeout(Some(Duration::from_millis(100)))?;
    wire.stream.set_write_timeout(Some(Duration::from_secs(10)))?;
    wire.stream.write_all(head.as_bytes())?;
    wire.stream.write_all(body)?;
    let (start, headers) = wire.head()?;
    answer.status = start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if let Some(length) =
        answer.header("content-length").and_then(|text| text.parse::<usize>().ok())
    {
        answer.body = wire.take(length)?;
        answer.complete = true;
    } else {
        loop {
            let chunk = wire.chunk()?;
            if chunk.is_empty() {
                answer.complete = true;
                break;
            }
            answer.body.extend(chunk);
        }
    }
    Ok(())
}
