//! The story of one request, put together from the log lines of several daemons.

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

/// How long before a request what happened to its key and its servers is told, too.
pub const BEFORE: Duration = Duration::from_secs(10);

/// How long after a request's last line that is told.
pub const AFTER: Duration = Duration::from_secs(1);

/// Events that tell of one request; those of others are left out.
const OF_REQUESTS: [&str; 4] = [
    "request-answered",
    "request-refused",
    "request-cancelled",
    "try-failed",
];

/// A log line, as daemons write it in JSON.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch.
    pub timestamp: u64,
    /// What happened, in words.
    pub payload: String,
    /// What the decision went by.
    #[serde(default)]
    pub kv: Fields,
}

/// The fields of a line.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Fields(Map<String, Value>);

/// A line with the place it comes from.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The daemon, as far as its log names it, or else the file.
    pub source: Arc<str>,
    /// Whether the line is about the request itself.
    pub is_own: bool,
    /// The line.
    pub line: Line,
}

/// A line that is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// The file.
    pub source: Arc<str>,
    /// Its number in the file, from 1.
    pub number: usize,
    /// What is wrong.
    pub reason: String,
}

/// Gathers what logs tell of one request.
#[derive(Debug)]
pub struct Collector {
    request: String,
    entries: Vec<Entry>,
    unreadable: Vec<Unreadable>,
}

/// What logs tell of one request, in the order of time.
#[derive(Debug, Clone, PartialEq)]
pub struct Story {
    /// When the request began, in milliseconds since the Unix epoch; none if no line is about it.
    pub began: Option<u64>,
    /// The lines about it, and those that tell what was decided about its key, its servers, its
    /// configuration and the leadership it went by.
    pub entries: Vec<Entry>,
    /// Lines that could not be read.
    pub unreadable: Vec<Unreadable>,
}

impl Collector {
    /// Collects the lines about a request.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            entries: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Reads the log of one daemon to its end.
    ///
    /// # Errors
    ///
    /// An error if it cannot be read on. Lines that are no log lines are none; see
    /// [`Story::unreadable`].
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
                    if let Some(daemon) = line.kv.text("name").filter(|_| line.kv.is("start")) {
                        source = daemon.into();
                    }
                    self.take(&source, line);
                }
                Err(_) if bytes.iter().all(u8::is_ascii_whitespace) => {}
                Err(error) => self.unreadable.push(Unreadable {
                    source: name.into(),
                    number,
                    reason: error.to_string(),
                }),
            }
        }
        // Lines before the one that names the daemon are its own, too.
        for entry in &mut self.entries[first..] {
            if *entry.source == *name {
                entry.source = source.clone();
            }
        }
        Ok(())
    }

    /// The story, once all logs were read.
    #[must_use]
    pub fn finish(self) -> Story {
        let Some(subject) = Subject::of(&self.entries) else {
            return Story {
                began: None,
                entries: Vec::new(),
                unreadable: self.unreadable,
            };
        };
        let mut entries = self.entries;
        entries.retain(|entry| entry.is_own || subject.concerns(entry));
        entries.sort_by_key(|entry| entry.line.timestamp);
        Story {
            began: Some(subject.began),
            entries,
            unreadable: self.unreadable,
        }
    }

    fn take(&mut self, source: &Arc<str>, line: Line) {
        let is_own = line.kv.text("request") == Some(&self.request);
        let is_others = OF_REQUESTS.iter().any(|event| line.kv.is(event));
        if is_own || !is_others {
            self.entries.push(Entry {
                source: source.clone(),
                is_own,
                line,
            });
        }
    }
}

/// What a request's own lines name.
#[derive(Debug, Default)]
struct Subject {
    began: u64,
    ended: u64,
    sources: HashSet<Arc<str>>,
    keys: HashSet<u64>,
    servers: HashSet<String>,
    terms: HashSet<u64>,
    configurations: HashSet<u64>,
}

impl Subject {
    fn of(entries: &[Entry]) -> Option<Self> {
        let mut subject = Self {
            began: u64::MAX,
            ..Self::default()
        };
        for entry in entries.iter().filter(|entry| entry.is_own) {
            let fields = &entry.line.kv;
            let whole = fields.number("whole_ms").or(fields.number("took_ms"));
            let began = entry.line.timestamp.saturating_sub(whole.unwrap_or(0));
            subject.began = subject.began.min(began);
            subject.ended = subject.ended.max(entry.line.timestamp);
            subject.sources.insert(entry.source.clone());
            subject.keys.extend(fields.number("key"));
            subject
                .servers
                .extend(fields.text("server").map(str::to_owned));
            subject.terms.extend(fields.number("term"));
            subject
                .configurations
                .extend(fields.number("configuration"));
        }
        (subject.began <= subject.ended).then_some(subject)
    }

    /// Whether a line tells something that the request's fate may come from.
    fn concerns(&self, entry: &Entry) -> bool {
        let fields = &entry.line.kv;
        let is_same_daemon = self.sources.contains(&entry.source);
        if fields.is("configuration") {
            let version = fields.number("version");
            return is_same_daemon && version.is_some_and(|it| self.configurations.contains(&it));
        }
        let names = |field, set: &HashSet<u64>| {
            let number = fields.number(field);
            number.is_some_and(|number| set.contains(&number))
        };
        if fields.is("lead") && names("term", &self.terms) {
            return true;
        }
        if !self.time().contains(&entry.line.timestamp) {
            return false;
        }
        let is_of_server = fields
            .text("server")
            .is_some_and(|server| self.servers.contains(server));
        is_of_server
            || self.is_of_key(fields)
            || names("term", &self.terms)
            || (is_same_daemon && (fields.has("dependency") || fields.has("count")))
    }

    fn is_of_key(&self, fields: &Fields) -> bool {
        let (Some(first), Some(last)) = (fields.number("first"), fields.number("last")) else {
            return false;
        };
        self.keys.iter().any(|key| (first..=last).contains(key))
    }

    fn time(&self) -> RangeInclusive<u64> {
        self.began.saturating_sub(millis(BEFORE))..=self.ended.saturating_add(millis(AFTER))
    }
}

impl Fields {
    /// Whether the line tells of an event.
    fn is(&self, event: &str) -> bool {
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

/// All fields but the request's id, each as `name=value`.
impl fmt::Display for Fields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut gap = "";
        for (name, value) in self.0.iter().filter(|(name, _)| *name != "request") {
            match value {
                Value::String(text) => write!(f, "{gap}{name}={text}")?,
                value => write!(f, "{gap}{name}={value}")?,
            }
            gap = " ";
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
