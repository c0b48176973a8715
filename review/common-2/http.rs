//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and requests of clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(own, _)| own == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Serves connections at a free loopback port. `handle` writes the answer and returns whether the
/// connection stays open.
pub fn serve(
    handle: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = BufReader::new(reading);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    match handle(&request, &mut stream) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

/// Starts a thread with a small stack, as there are many.
pub fn spawn<T: Send + 'static>(
    run: impl FnOnce() -> T + Send + 'static,
) -> std::thread::JoinHandle<T> {
    let builder = std::thread::Builder::new().stack_size(256 << 10);
    builder.spawn(run).expect("a thread")
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_string()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    Ok(headers)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else { return Ok(None) };
    let (method, target) = (method.to_string(), target.to_string());
    let headers = read_headers(reader)?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, target, headers, body }))
}

/// Reads a whole answer and returns its status.
pub fn read_answer(stream: &TcpStream, timeout: Duration) -> io::Result<u16> {
    stream.set_read_timeout(Some(timeout))?;
    let mut reader = BufReader::new(stream);
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
    let line = read_line(&mut reader)?.ok_or_else(ended)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers = read_headers(&mut reader)?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let mut body = Vec::new();
    match length.and_then(|(_, value)| value.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None => {
            reader.read_to_end(&mut body)?;
        }
    }
    Ok(status)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    // One write, so that an answer arrives whole.
    bytes.reserve(body.len());
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
