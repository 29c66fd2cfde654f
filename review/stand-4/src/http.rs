//! HTTP/1.1 over blocking sockets: a client for one request a connection, and a server.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server reads it.
#[derive(Clone)]
pub struct Request {
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a connection of its own. Nothing if there is no complete answer in time.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String, Option<String>)> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let first = line(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let location = headers.into_iter().find(|(name, _)| name == "location");
    Some((status, body, location.map(|(_, value)| value)))
}

/// Like [`send`], following up to two redirects.
pub fn send_following(
    mut to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    for _ in 0..3 {
        let (status, text, location) = send(to, method, path, &[], body, limit)?;
        let Some(location) = location.filter(|_| status == 307) else {
            return Some((status, text));
        };
        let host = location.trim_start_matches("http://").split('/').next()?;
        to = host.parse().ok()?;
    }
    None
}

/// Serves requests, a thread for each connection, until the process ends. The handler returns a
/// status and a body, or nothing to close the connection without an answer.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(&stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some((status, body)) = handler(&request) else {
                        return;
                    };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if (&stream).write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let path = words.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request {
        path,
        headers,
        body,
    })
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    let read = reader.read_line(&mut text).ok()?;
    (read > 0).then(|| text.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Some(headers);
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}
