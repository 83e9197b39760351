//! The trace of one request, collected from the log lines of several daemons.

use std::{
    fmt,
    io::{self, BufRead},
    ops::RangeInclusive,
    sync::Arc,
    time::Duration,
};

use copperwell_keyspace::HashSet;
use serde::Deserialize;
use serde_json::{Map, Value};

/// How long before a request starts events of its key and its servers are part of the trace.
pub const CONTEXT_BEFORE: Duration = Duration::from_secs(10);

/// How long after a request's last line such events are part of the trace.
pub const CONTEXT_AFTER: Duration = Duration::from_secs(1);

/// Events of a single request; those of other requests are left out of a trace.
const REQUEST_EVENTS: [&str; 4] = [
    "request-answered",
    "request-refused",
    "request-cancelled",
    "try-failed",
];

/// A log line in the JSON format of the daemons.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch.
    pub timestamp: u64,
    /// The message.
    pub payload: String,
    /// The structured fields of the line.
    #[serde(default)]
    pub kv: Fields,
}

/// The structured fields of a line, by name.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Fields(Map<String, Value>);

/// A log line with its source.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The daemon if its log names it, and the file otherwise.
    pub source: Arc<str>,
    /// Whether the line carries the id of the traced request.
    pub is_own: bool,
    /// The log line.
    pub line: Line,
}

/// A line that is not a log line in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// The file.
    pub source: Arc<str>,
    /// The line's number in the file, from 1.
    pub number: usize,
    /// The error of the JSON decoder.
    pub reason: String,
}

/// Collects the log lines about one request.
#[derive(Debug)]
pub struct Collector {
    request: String,
    entries: Vec<Entry>,
    unreadable: Vec<Unreadable>,
}

/// The log lines about one request, in order of time.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// When the request started, in milliseconds since the Unix epoch; `None` if no line is about
    /// it.
    pub started_at: Option<u64>,
    /// The lines about the request, and those about decisions on its key, its servers, its
    /// configuration and the leader terms that it refers to.
    pub entries: Vec<Entry>,
    /// The lines that are not log lines.
    pub unreadable: Vec<Unreadable>,
}

impl Collector {
    /// Creates a collector of the lines about the request with this id.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            entries: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Reads the log of one daemon to its end; `name` is the source until the log names the daemon.
    ///
    /// # Errors
    ///
    /// Returns the error if reading fails. A line that is not a log line is no error; see
    /// [`Trace::unreadable`].
    pub fn read(&mut self, name: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut source: Arc<str> = name.into();
        let first = self.entries.len();
        let mut bytes = Vec::new();
        for number in 1.. {
            bytes.clear();
            if log.read_until(b'\n', &mut bytes)? == 0 {
                break;
            }
            match serde_json::from_slice::<Line>(&bytes) {
                Ok(line) => {
                    if let Some(daemon) = line.kv.text("name").filter(|_| line.kv.is_event("start"))
                    {
                        source = daemon.into();
                    }
                    self.add(&source, line);
                }
                Err(_) if bytes.iter().all(u8::is_ascii_whitespace) => {}
                Err(error) => self.unreadable.push(Unreadable {
                    source: name.into(),
                    number,
                    reason: error.to_string(),
                }),
            }
        }
        // Lines before the one that names the daemon are from the same daemon.
        for entry in &mut self.entries[first..] {
            if *entry.source == *name {
                entry.source = source.clone();
            }
        }
        Ok(())
    }

    /// Returns the trace after all logs have been read.
    #[must_use]
    pub fn finish(self) -> Trace {
        let Some(scope) = Scope::of(&self.entries) else {
            return Trace {
                started_at: None,
                entries: Vec::new(),
                unreadable: self.unreadable,
            };
        };
        let mut entries = self.entries;
        entries.retain(|entry| entry.is_own || scope.is_relevant(entry));
        entries.sort_by_key(|entry| entry.line.timestamp);
        Trace {
            started_at: Some(scope.started_at),
            entries,
            unreadable: self.unreadable,
        }
    }

    fn add(&mut self, source: &Arc<str>, line: Line) {
        let is_own = line.kv.text("request") == Some(&self.request);
        let is_of_other_request = REQUEST_EVENTS.iter().any(|event| line.kv.is_event(event));
        if is_own || !is_of_other_request {
            self.entries.push(Entry {
                source: source.clone(),
                is_own,
                line,
            });
        }
    }
}

/// The time span, daemons, keys, servers, terms and configurations in the lines of a request.
#[derive(Debug, Default)]
struct Scope {
    started_at: u64,
    ended_at: u64,
    sources: HashSet<Arc<str>>,
    keys: HashSet<u64>,
    servers: HashSet<String>,
    terms: HashSet<u64>,
    configurations: HashSet<u64>,
}

impl Scope {
    fn of(entries: &[Entry]) -> Option<Self> {
        let mut scope = Self {
            started_at: u64::MAX,
            ..Self::default()
        };
        for entry in entries.iter().filter(|entry| entry.is_own) {
            let fields = &entry.line.kv;
            let duration = fields.number("whole_ms").or(fields.number("took_ms"));
            let started_at = entry.line.timestamp.saturating_sub(duration.unwrap_or(0));
            scope.started_at = scope.started_at.min(started_at);
            scope.ended_at = scope.ended_at.max(entry.line.timestamp);
            scope.sources.insert(entry.source.clone());
            scope.keys.extend(fields.number("key"));
            scope
                .servers
                .extend(fields.text("server").map(str::to_owned));
            scope.terms.extend(fields.number("term"));
            scope.configurations.extend(fields.number("configuration"));
        }
        (scope.started_at <= scope.ended_at).then_some(scope)
    }

    /// Whether a line without the request's id may explain the outcome of the request.
    fn is_relevant(&self, entry: &Entry) -> bool {
        let fields = &entry.line.kv;
        let is_same_daemon = self.sources.contains(&entry.source);
        if fields.is_event("configuration") {
            let version = fields.number("version");
            return is_same_daemon && version.is_some_and(|it| self.configurations.contains(&it));
        }
        let has_number = |field, set: &HashSet<u64>| {
            let number = fields.number(field);
            number.is_some_and(|number| set.contains(&number))
        };
        if fields.is_event("lead") && has_number("term", &self.terms) {
            return true;
        }
        if !self.context_window().contains(&entry.line.timestamp) {
            return false;
        }
        let has_server = fields
            .text("server")
            .is_some_and(|server| self.servers.contains(server));
        has_server
            || self.has_key(fields)
            || has_number("term", &self.terms)
            || (is_same_daemon && (fields.has("dependency") || fields.has("count")))
    }

    fn has_key(&self, fields: &Fields) -> bool {
        let (Some(first), Some(last)) = (fields.number("first"), fields.number("last")) else {
            return false;
        };
        self.keys.iter().any(|key| (first..=last).contains(key))
    }

    fn context_window(&self) -> RangeInclusive<u64> {
        self.started_at.saturating_sub(millis(CONTEXT_BEFORE))
            ..=self.ended_at.saturating_add(millis(CONTEXT_AFTER))
    }
}

impl Fields {
    /// Whether the line is about an event of this name.
    fn is_event(&self, event: &str) -> bool {
        self.text("event") == Some(event)
    }

    fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.as_str()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.0.get(name)?.as_u64()
    }
}

/// Formats all fields except the request's id as `name=value`.
impl fmt::Display for Fields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (name, value) in self.0.iter().filter(|(name, _)| *name != "request") {
            match value {
                Value::String(text) => write!(f, "{separator}{name}={text}")?,
                value => write!(f, "{separator}{name}={value}")?,
            }
            separator = " ";
        }
        Ok(())
    }
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            source,
            number,
            reason,
        } = self;
        write!(f, "{source}:{number}: not a log line in JSON: {reason}")
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
