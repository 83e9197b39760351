//! Just enough HTTP/1.1 for stand-ins: one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::Arc,
    thread,
    time::Duration,
};

/// A request, or a response with its status as `target`.
#[derive(Debug, Default)]
pub struct Message {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.target.parse().unwrap_or(0)
    }
}

/// A response of a stand-in.
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it has no length and is reset on its way.
    is_broken_off: bool,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            is_broken_off: false,
        }
    }

    pub fn broken_off(mut self) -> Self {
        self.is_broken_off = true;
        self
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Answers requests; `None` closes the connection without an answer.
pub trait Handler: Send + Sync + 'static {
    /// Returns whether a new connection from `peer` is accepted.
    fn accepts(&self, _stream: &TcpStream, _peer: SocketAddr) -> bool {
        true
    }

    fn handle(&self, request: &Message, peer: SocketAddr) -> Option<Reply>;

    /// A connection ends.
    fn closed(&self, _peer: SocketAddr) {}
}

pub fn serve(listener: TcpListener, handler: Arc<impl Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let peer = stream.peer_addr();
                let _ = serve_connection(stream, &*handler);
                if let Ok(peer) = peer {
                    handler.closed(peer);
                }
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &impl Handler) -> io::Result<()> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    if !handler.accepts(&stream, peer) {
        return Ok(());
    }
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_message(&mut reader, true)? {
        let Some(reply) = handler.handle(&request, peer) else {
            return Ok(());
        };
        let mut text = format!("HTTP/1.1 {} X\r\n", reply.status);
        for (name, value) in &reply.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if reply.is_broken_off {
            text.push_str("\r\n");
            writer.write_all(text.as_bytes())?;
            writer.write_all(&reply.body)?;
            thread::sleep(Duration::from_millis(20));
            reset(&writer);
            return Ok(());
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", reply.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend(&reply.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

/// Makes the connection end with a reset once it is dropped.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, size: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the socket is open, and the value lives until the call returns.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &raw const linger,
            8,
        );
    }
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a request, or a response if `is_request` is false.
pub fn read_message(reader: &mut impl BufRead, is_request: bool) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let second = words.nth(1).unwrap_or("");
    let mut message = Message {
        target: second.to_owned(),
        is_whole: true,
        ..Message::default()
    };
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?.unwrap_or_default();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(usize::MAX);
            if size == usize::MAX {
                message.is_whole = false;
                return Ok(Some(message));
            }
            let mut chunk = vec![0; size];
            if reader.read_exact(&mut chunk).is_err() {
                message.is_whole = false;
                return Ok(Some(message));
            }
            message.body.extend(&chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            message.is_whole = reader.read_exact(&mut body).is_ok();
            message.body = body;
        }
        None if !is_request => {
            message.is_whole = reader.read_to_end(&mut message.body).is_ok();
        }
        None => {}
    }
    Ok(Some(message))
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits up to `limit` for a response; `None` if the connection ends without one.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Option<Message>> {
        self.stream.set_read_timeout(Some(limit))?;
        read_message(&mut self.reader, false)
    }

    pub fn exchange(&mut self, bytes: &[u8], limit: Duration) -> io::Result<Option<Message>> {
        self.send(bytes)?;
        self.receive(limit)
    }
}
