//! `explain`: one request's way, from the logs of all nodes.

use std::{
    collections::BTreeSet,
    path::{
        Path,
        PathBuf, //
    },
};

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use serde_json::{
    Map,
    Value, //
};

use super::{
    Failure,
    Job,
    Subcommand, //
};
use crate::{
    clock::Span,
    error::{
        Code,
        Error, //
    },
};

/// How far around a request lines count that tell what nodes came to believe.
/// Clocks of nodes differ a little, and a cause lies before its effect.
const CONTEXT_WINDOW: Span = Span::from_secs(3);
/// Lines of that kind that are shown.
const MAX_CONTEXT_LINES: usize = 12;

/// Reads `explain ID FILE...`.
pub(super) fn parser() -> Subcommand {
    let json = long("json")
        .help("Print the lines and the summary as one JSON object")
        .switch();
    let id = positional::<String>("ID").help("The request's id, as its caller gave it");
    let files = positional::<PathBuf>("FILE")
        .help("Logs of nodes; text before the JSON of a line is kept as its source")
        .some("name at least one log");
    construct!(json, id, files)
        .map(|(json, id, files)| -> Job { Box::new(move || run(json, &id, &files)) })
        .to_options()
        .descr("Gather what the nodes logged of one request, in order, and say what happened")
        .footer("Exits with 3 when no line is about the request")
        .command("explain")
        .boxed()
}

fn run(json: bool, id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| Error::from(error).within(file.display().to_string()))?;
        lines.extend(text.lines().filter_map(|line| Line::read(file, line)));
    }
    lines.sort_by_key(|line| line.time);
    let story = Story::of(id, &lines);
    if story.own.is_empty() {
        let reason = format!("no line is about a request `{id}`");
        return Err(Error::new(Code::Field, reason).into());
    }
    match json {
        true => println!("{}", story.json()),
        false => story.print(),
    }
    Ok(())
}

/// One line of a log.
struct Line {
    time: u64,
    /// What stands before the JSON, else the file's name.
    source: String,
    fields: Map<String, Value>,
}

impl Line {
    fn read(file: &Path, text: &str) -> Option<Self> {
        let (before, _) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(&text[before.len()..]).ok()?;
        let named = before.split_whitespace().last().map(str::to_owned);
        let file = || file.file_stem().unwrap_or_default().to_string_lossy();
        Some(Self {
            time: fields.get("time_ms")?.as_u64()?,
            source: named.unwrap_or_else(|| file().into_owned()),
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    fn message(&self) -> &str {
        self.text("message")
    }

    /// Whether it tells of a request, and not of what a node believes.
    fn is_event(&self) -> bool {
        crate::event::MESSAGES.contains(&self.message())
    }

    /// The line without what all lines have.
    fn shown(&self) -> String {
        let common = ["id", "level", "message", "target", "time_ms"];
        let fields = self.fields.iter();
        let rest = fields.filter(|(name, _)| !common.contains(&name.as_str()));
        let rest: Vec<_> = rest
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!("{}  {}  {}", self.source, self.message(), rest.join(" "))
    }
}

/// What the logs tell of one request.
struct Story<'a> {
    own: Vec<&'a Line>,
    /// Calls that failed at the node beside a server while the request ran there.
    calls: Vec<&'a Line>,
    /// What the nodes on its way came to believe around it.
    beliefs: Vec<&'a Line>,
}

impl<'a> Story<'a> {
    fn of(id: &str, lines: &'a [Line]) -> Self {
        let own: Vec<&Line> = lines.iter().filter(|line| line.text("id") == id).collect();
        let nodes: BTreeSet<&str> = own.iter().map(|line| line.source.as_str()).collect();
        let (first, last) = match (own.first(), own.last()) {
            (Some(first), Some(last)) => (first.time, last.time),
            _ => (0, 0),
        };
        let runs = runs(&own);
        let failed = |line: &&Line| {
            let within =
                |run: &Run<'_>| line.source == run.node && (run.from..=run.to).contains(&line.time);
            line.message() == "refused" && line.text("id") != id && runs.iter().any(within)
        };
        let near = |line: &&Line| {
            let around = CONTEXT_WINDOW.as_ms();
            let time = line.time + around >= first && line.time <= last + around;
            let plain = !line.is_event() && line.message() != "summary";
            time && plain && nodes.contains(line.source.as_str())
        };
        Self {
            calls: lines.iter().filter(failed).collect(),
            beliefs: lines.iter().filter(near).collect(),
            own,
        }
    }

    /// What happened, in two sentences.
    fn summary(&self) -> String {
        let ends = ["refused", "answered", "unanswered"];
        let end = self.own.iter().rev().find(|l| ends.contains(&l.message()));
        let Some(end) = end else {
            let last = self.own.last().map_or("", |line| line.message());
            return format!(
                "No end of it was logged; the last line is `{last}`. The node that it was \
                 called at may have stopped, or left the line out (see `left_out`)."
            );
        };
        let (node, waited) = (&end.source, end.number("waited_ms"));
        let what = match end.message() {
            "refused" => format!(
                "{node} refused it after {waited} ms with {} ({}), and it {}.",
                end.number("code"),
                end.text("reason"),
                match end.fields.get("may_have_run") == Some(&Value::Bool(true)) {
                    true => "may have run",
                    false => "has not run",
                }
            ),
            "answered" => format!(
                "{node} delivered its server's answer, status {}, after {waited} ms.",
                end.number("status")
            ),
            _ => unanswered(end),
        };
        format!("{what} {}", self.cause(end))
    }

    /// What most likely decided the end.
    fn cause(&self, end: &Line) -> String {
        let last = |message: &str| self.own.iter().rev().find(|l| l.message() == message);
        match end.text("reason") {
            "RateExceeded" => {
                return "Its team's rate had no token left for it in that time.".to_owned();
            }
            "ConfigStale" => {
                let age = end.fields.get("version_age_ms");
                let age = age.and_then(Value::as_i64).unwrap_or(-1);
                return format!(
                    "The store had last confirmed version {} {age} ms before, too long ago to \
                     trust a key.",
                    end.number("version")
                );
            }
            _ => {}
        }
        if let Some(turned) = last("turned away") {
            return format!(
                "{} turned it away as {}: {} of {} slots ran, {} waited, level {}.",
                turned.source,
                turned.text("reason"),
                turned.number("running"),
                turned.number("limit"),
                turned.number("waiting"),
                turned.fields.get("shed_level").unwrap_or(&Value::Null),
            );
        }
        if !self.calls.is_empty() {
            let reasons: BTreeSet<&str> = self.calls.iter().map(|l| l.text("reason")).collect();
            let reasons: Vec<&str> = reasons.into_iter().collect();
            return format!(
                "While it ran, {} calls of servers beside it were refused ({}).",
                self.calls.len(),
                reasons.join(", ")
            );
        }
        if let Some(ended) = last("ended") {
            return format!(
                "At {} its server's part ended as {} after {} ms.",
                ended.source,
                ended.text("end"),
                ended.number("took_ms")
            );
        }
        if let Some(declined) = last("declined") {
            return format!(
                "{} declined it as {}.",
                declined.text("peer"),
                declined.text("reason")
            );
        }
        match last("sent") {
            Some(sent) => format!(
                "It was sent to {} and nothing came back.",
                sent.text("peer")
            ),
            None => "It was sent to no instance.".to_owned(),
        }
    }

    fn print(&self) {
        let first = self.own.first().map_or(0, |line| line.time);
        let show = |line: &Line| {
            let after = line.time as i64 - first as i64;
            println!("{after:>7} ms  {}", line.shown());
        };
        self.own.iter().for_each(|line| show(line));
        if !self.calls.is_empty() {
            println!("calls that failed beside it meanwhile:");
            self.calls
                .iter()
                .take(MAX_CONTEXT_LINES)
                .for_each(|line| show(line));
        }
        if !self.beliefs.is_empty() {
            println!("what its nodes came to believe around it:");
            self.beliefs
                .iter()
                .take(MAX_CONTEXT_LINES)
                .for_each(|line| show(line));
        }
        println!("{}", self.summary());
    }

    fn json(&self) -> Value {
        let list = |lines: &[&Line]| -> Vec<Value> {
            let object = |line: &&Line| {
                let mut fields = line.fields.clone();
                fields.insert("source".to_owned(), line.source.clone().into());
                Value::Object(fields)
            };
            lines.iter().map(object).collect()
        };
        serde_json::json!({
            "lines": list(&self.own),
            "calls": list(&self.calls),
            "beliefs": list(&self.beliefs),
            "summary": self.summary(),
        })
    }
}

/// How a connection ended on which the request was not answered.
fn unanswered(line: &Line) -> String {
    let (node, waited) = (&line.source, line.number("waited_ms"));
    let end = match line.text("end") {
        "CallerGone" => format!("Its caller left {node} after {waited} ms."),
        "Stopped" => format!("{node} stopped {waited} ms after it got the request."),
        "Cut" => format!("{node} broke off an answer before it on the connection."),
        _ => format!("{node} closed the connection after {waited} ms."),
    };
    let ready = line.fields.get("ready_ms").and_then(Value::as_i64);
    match ready.filter(|ready| *ready >= 0) {
        Some(ready) => format!(
            "{end} The answer had been ready for {ready} ms, behind {} others.",
            line.number("ahead")
        ),
        None => format!("{end} There was no answer yet."),
    }
}

/// The time that an attempt spent at a server.
struct Run<'a> {
    node: &'a str,
    from: u64,
    to: u64,
}

fn runs<'a>(own: &[&'a Line]) -> Vec<Run<'a>> {
    let started = own.iter().filter(|line| line.message() == "started");
    let run = |start: &&'a Line| {
        let of_it = |line: &&&Line| {
            line.message() == "ended" && line.text("request") == start.text("request")
        };
        let end = own.iter().find(of_it).map_or(u64::MAX, |line| line.time);
        Run {
            node: &start.source,
            from: start.time,
            to: end,
        }
    };
    started.map(run).collect()
}
