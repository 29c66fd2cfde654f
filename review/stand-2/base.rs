//! Plumbing of the stand-ins: JSON, a small HTTP/1.1 server and client, and child processes. Only
//! the standard library is used, so that it builds without a network.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        skip(text, &mut at);
        (at == text.len()).then_some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn num(&self) -> Option<u64> {
        match self {
            Json::Num(n) => Some(*n as u64),
            _ => None,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
}

fn skip(t: &[u8], at: &mut usize) {
    while t.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(t: &[u8], at: &mut usize) -> Option<Json> {
    skip(t, at);
    match *t.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(t, at);
                if *t.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                if *t.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                let key = parse_str(t, at)?;
                skip(t, at);
                if *t.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                map.insert(key, parse_value(t, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(t, at);
                match *t.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(t, at)?),
                }
            }
        }
        b'"' => Some(Json::Str(parse_str(t, at)?)),
        b't' => literal(t, at, "true", Json::Bool(true)),
        b'f' => literal(t, at, "false", Json::Bool(false)),
        b'n' => literal(t, at, "null", Json::Null),
        _ => {
            let from = *at;
            while t
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&t[from..*at]).ok()?;
            Some(Json::Num(text.parse().ok()?))
        }
    }
}

fn literal(t: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let found = t.get(*at..*at + word.len())? == word.as_bytes();
    *at += word.len();
    found.then_some(value)
}

fn parse_str(t: &[u8], at: &mut usize) -> Option<String> {
    if *t.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *t.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escape = *t.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let code = std::str::from_utf8(t.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(code.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and path of a request; empty in a response.
    pub method: String,
    pub path: String,
    /// Status of a response; 0 in a request.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request or a response; `None` if the connection ended.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (one, two) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut message = Message::default();
    if one.starts_with("HTTP/") {
        message.status = two.parse().ok()?;
    } else {
        (message.method, message.path) = (one, two);
    }
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let name = name.to_ascii_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// An open connection that a server may cut.
pub type Kept = TcpStream;

/// Serves HTTP on a listener, each connection on a thread. `opened` is given a handle of each
/// connection and says whether to serve it; the handler returns status and body, or `None` to end
/// the connection without an answer.
pub fn serve(
    listener: TcpListener,
    opened: impl Fn(Kept) -> bool + Send + Sync + 'static,
    handler: impl Fn(&Message) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let (opened, handler) = (Arc::new(opened), Arc::new(handler));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (opened, handler) = (Arc::clone(&opened), Arc::clone(&handler));
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(kept) = stream.try_clone() else { return };
                if !opened(kept) {
                    return;
                }
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    let Some((status, body)) = handler(&request) else {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a connection of its own. `None` if there is no whole answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
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
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)
}

/// Calls a node that serves `control`, and follows a 307 twice.
pub fn call_control(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut to = to;
    for _ in 0..3 {
        let answer = call(to, method, path, &[], body, limit)?;
        if answer.status != 307 {
            return Some(answer);
        }
        let location = answer.header("location").strip_prefix("http://")?;
        to = location.split('/').next()?.parse().ok()?;
    }
    None
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// A process of the project. It is killed when this is dropped, or when the stand-in ends.
pub struct Process(Child);

impl Process {
    pub fn start(program: &Path, role: &str, settings: &Path, log: &Path, folder: &Path) -> Self {
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(program);
        command
            .arg(role)
            .current_dir(folder)
            .env("EGRETPIN_BOOT", settings)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().unwrap()))
            .stdout(Stdio::from(log));
        // The child gets SIGKILL when its parent ends, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        Self(command.spawn().expect("the program of the deploy file starts"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Waits until the condition holds; `false` if it didn't in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
