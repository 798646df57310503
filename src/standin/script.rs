//! The scenario language: a story a file, an event or an expectation a line.
//!
//! ```text
//! site tuul                         # or kandy; must come first
//! load 80% retries=2                # all flows together, of capacity
//! at 5s slow batchbook x10          # faults and changes, at a time
//! at 35s slow batchbook x1
//! run 60s
//! expect broken = 0                 # promises that were broken
//! expect whole critical >= 99%      # requests answered whole
//! expect recovery after 35s <= 5s
//! ```

use logos::Logos;

use crate::{
    clock::Span,
    context::Importance,
    error::{
        Code,
        Error,
        Result, //
    },
};

#[derive(Logos, Clone, Debug, PartialEq)]
#[logos(skip r"[ \t\r]+")]
#[logos(skip(r"#[^\n]*", allow_greedy = true))]
enum Token {
    #[regex(r"[0-9]+(ms|s|min)", |lex| lex.slice().parse::<Span>().ok())]
    Span(Span),
    #[regex(r"[0-9]+(\.[0-9]+)?%", |lex| number(lex.slice().trim_end_matches('%'), 0.01))]
    #[regex(r"x[0-9]+(\.[0-9]+)?", |lex| number(&lex.slice()[1..], 1.0))]
    #[regex(r"[0-9]+(\.[0-9]+)?", |lex| number(lex.slice(), 1.0), priority = 4)]
    Number(f64),
    #[regex(r"[A-Za-z][A-Za-z0-9_.-]*", |lex| lex.slice().to_owned(), priority = 1)]
    Word(String),
    #[token("=")]
    Equal,
    #[token(">=")]
    AtLeast,
    #[token("<=")]
    AtMost,
    #[token("\n")]
    Line,
}

fn number(text: &str, factor: f64) -> Option<f64> {
    text.parse::<f64>().ok().map(|value| value * factor)
}

/// Something that is done to the run at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// All flows together make this share of capacity.
    Load(f64),
    /// One team's flows make this many times their share.
    Team(String, f64),
    /// A node is stopped in time for a while.
    Pause(String, Span),
    /// A node's process ends.
    Kill(String),
    /// A killed node comes back.
    Restart(String),
    /// A node is told to finish.
    Drain(String),
    /// A group (a failure domain, a pool or a node) is cut off, or joined.
    Part(String, bool),
    /// A group's upstreams take this many times their time.
    Slow(String, f64),
    /// A group's upstreams answer at once with status 500, or are well again.
    Fail(String, bool),
    /// A group's upstreams refuse connections, or accept them again.
    Refuse(String, bool),
    /// A group's links each break once.
    Sever(String),
    /// A group cannot reach the store, or can again.
    Unreached(String, bool),
    /// The store does not answer, or does again.
    Out(bool),
    /// The store takes longer.
    Lag(Span),
    /// The store loses this share of its answers.
    Lost(f64),
    /// A key is withdrawn.
    Withdraw(String),
    /// This share of datagrams is lost.
    Loss(f64),
}

/// What an expectation looks at.
#[derive(Clone, Debug, PartialEq)]
pub enum Subject {
    /// Promises broken, of any kind.
    Broken,
    /// The worst excess of any team over its rate, in requests.
    Excess,
    /// Share of requests answered whole, of one importance or of all.
    Whole(Option<Importance>),
    /// Whole answers as a share of capacity.
    Capacity,
    /// The worst-served team's share answered whole.
    Worst,
    /// Share of slot time spent in vain.
    Wasted,
    /// Share of calls that ended with this code.
    Refused(String),
    /// Time after a point until goodput is back at 95% of before.
    Recovery(Span),
    /// Time after a point at which a team's last request ran.
    LastRun(String, Span),
    /// Requests that callers made.
    Sent,
}

/// How a measure is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Equal to the bound.
    Equal,
    /// The bound or more.
    AtLeast,
    /// The bound or less.
    AtMost,
}

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Its line in the file, counted from one.
    pub line: usize,
    /// What it looks at.
    pub subject: Subject,
    /// How it compares.
    pub relation: Relation,
    /// What it compares with; times are in milliseconds.
    pub bound: f64,
    /// The part of the run it looks at.
    pub from: Span,
    /// The end of that part.
    pub until: Option<Span>,
}

/// A scenario that has been read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// The site's name.
    pub site: String,
    /// The seed of all chance.
    pub seed: u64,
    /// Tries after the first of every caller.
    pub retries: u32,
    /// Whether every request carries an idempotency key.
    pub claims: bool,
    /// Whether nodes begin alone, with the store as their only help.
    pub cold: bool,
    /// Whether every message between nodes is searched for keys.
    pub spy: bool,
    /// Share of frames that arrive although their link was cut.
    pub cross: f64,
    /// Share of datagrams that arrive twice.
    pub double: f64,
    /// Whether cut links are noticed late.
    pub silent: bool,
    /// A rate and burst for each team, in place of generous ones.
    pub rates: Option<(u64, u32)>,
    /// What is done, in the order of time.
    pub deeds: Vec<(Span, Deed)>,
    /// How long it runs.
    pub length: Span,
    /// What must hold in the end.
    pub expectations: Vec<Expectation>,
}

struct Reader<'a> {
    text: &'a str,
    tokens: Vec<(Token, usize)>,
    next: usize,
}

impl Script {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// With line, column and reason at the first thing that cannot be read.
    pub fn parse(text: &str) -> Result<Self> {
        let mut reader = Reader::new(text)?;
        let mut script = Self {
            seed: 1,
            ..Self::default()
        };
        while reader.next < reader.tokens.len() {
            reader.line(&mut script)?;
        }
        if script.site.is_empty() {
            return Err(reader.wrong("a scenario begins with `site tuul` or `site kandy`"));
        }
        if script.length == Span::ZERO || script.expectations.is_empty() {
            return Err(reader.wrong("a scenario needs `run` and at least one `expect`"));
        }
        script.deeds.sort_by_key(|(at, _)| *at);
        Ok(script)
    }
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Result<Self> {
        let mut reader = Self {
            text,
            tokens: Vec::new(),
            next: 0,
        };
        let mut lexer = Token::lexer(text);
        while let Some(token) = lexer.next() {
            let at = lexer.span().start;
            match token {
                Ok(token) => reader.tokens.push((token, at)),
                Err(()) => {
                    return Err(reader.place(at, format!("`{}` means nothing here", lexer.slice())));
                }
            }
        }
        reader.tokens.push((Token::Line, text.len()));
        Ok(reader)
    }

    fn place(&self, at: usize, reason: impl Into<String>) -> Error {
        let before = &self.text[..at];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Error::new(Code::Script, reason).at(line, column)
    }

    fn wrong(&self, reason: impl Into<String>) -> Error {
        let at = self
            .tokens
            .get(self.next)
            .or(self.tokens.last())
            .map_or(0, |(_, at)| *at);
        self.place(at, reason)
    }

    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.next).map(|(token, _)| token)
    }

    fn eat(&mut self, want: &Token) -> bool {
        let found = self.peek() == Some(want);
        self.next += usize::from(found);
        found
    }

    fn maybe(&mut self, word: &str) -> bool {
        self.eat(&Token::Word(word.to_owned()))
    }

    fn word(&mut self, what: &str) -> Result<String> {
        match self.peek() {
            Some(Token::Word(word)) => {
                let word = word.clone();
                self.next += 1;
                Ok(word)
            }
            _ => Err(self.wrong(format!("{what} is missing"))),
        }
    }

    fn number(&mut self, what: &str) -> Result<f64> {
        match self.peek() {
            Some(Token::Number(value)) => {
                let value = *value;
                self.next += 1;
                Ok(value)
            }
            _ => Err(self.wrong(format!("{what} is missing, such as 80%, x3 or 7"))),
        }
    }

    fn span(&mut self) -> Result<Span> {
        match self.peek() {
            Some(Token::Span(span)) => {
                let span = *span;
                self.next += 1;
                Ok(span)
            }
            _ => Err(self.wrong("a time is missing, such as 250ms, 5s or 2min")),
        }
    }

    fn line(&mut self, script: &mut Script) -> Result<()> {
        if self.eat(&Token::Line) {
            return Ok(());
        }
        let begun = self.next;
        match self.word("a word")?.as_str() {
            "site" => script.site = self.site()?,
            "seed" => script.seed = self.number("a seed")? as u64,
            "load" => {
                let share = self.number("a share")?;
                script.deeds.push((Span::ZERO, Deed::Load(share)));
                if self.maybe("retries") {
                    self.equal()?;
                    script.retries = self.number("a count")? as u32;
                }
            }
            "rates" => {
                let rate = self.number("a rate a second")? as u64;
                let burst = self.number("a burst")? as u32;
                script.rates = Some((rate, burst));
            }
            "claims" => script.claims = true,
            "cold" => script.cold = true,
            "silent" => script.silent = true,
            "spy" => script.spy = true,
            "cross" => script.cross = self.number("a share")?,
            "double" => script.double = self.number("a share")?,
            "at" => {
                let at = self.span()?;
                let deed = self.deed()?;
                script.deeds.push((at, deed));
            }
            "run" => script.length = self.span()?,
            "expect" => {
                let expectation = self.expectation()?;
                script.expectations.push(expectation);
            }
            other => {
                self.next = begun;
                return Err(self.wrong(format!("no line begins with `{other}`")));
            }
        }
        if !self.eat(&Token::Line) {
            return Err(self.wrong("the line should end here"));
        }
        Ok(())
    }

    fn site(&mut self) -> Result<String> {
        let begun = self.next;
        let name = self.word("a site")?;
        if matches!(name.as_str(), "tuul" | "kandy") {
            return Ok(name);
        }
        self.next = begun;
        Err(self.wrong(format!("there is no site `{name}`: write tuul or kandy")))
    }

    fn equal(&mut self) -> Result<()> {
        if self.eat(&Token::Equal) {
            return Ok(());
        }
        Err(self.wrong("`=` is missing"))
    }

    fn deed(&mut self) -> Result<Deed> {
        let begun = self.next;
        let deed = match self.word("a deed")?.as_str() {
            "load" => Deed::Load(self.number("a share")?),
            "team" => Deed::Team(self.word("a team")?, self.number("a factor")?),
            "pause" => {
                let node = self.word("a node")?;
                if !self.maybe("for") {
                    return Err(self.wrong("`for` is missing"));
                }
                Deed::Pause(node, self.span()?)
            }
            "kill" => Deed::Kill(self.word("a node")?),
            "restart" => Deed::Restart(self.word("a node")?),
            "drain" => Deed::Drain(self.word("a node")?),
            "part" => Deed::Part(self.word("a group")?, true),
            "join" => Deed::Part(self.word("a group")?, false),
            "sever" => Deed::Sever(self.word("a group")?),
            "slow" => Deed::Slow(self.word("a group")?, self.number("a factor")?),
            "fail" => Deed::Fail(self.word("a group")?, true),
            "mend" => Deed::Fail(self.word("a group")?, false),
            "refuse" => Deed::Refuse(self.word("a group")?, true),
            "accept" => Deed::Refuse(self.word("a group")?, false),
            "store" => self.store()?,
            "withdraw" => Deed::Withdraw(self.word("a key")?),
            "loss" => Deed::Loss(self.number("a share")?),
            other => {
                self.next = begun;
                return Err(self.wrong(format!("nothing is done by `{other}`")));
            }
        };
        Ok(deed)
    }

    fn store(&mut self) -> Result<Deed> {
        let begun = self.next;
        match self
            .word("`out`, `back`, `unreached`, `reached`, `slow` or `lost`")?
            .as_str()
        {
            "out" => Ok(Deed::Out(true)),
            "back" => Ok(Deed::Out(false)),
            "unreached" => Ok(Deed::Unreached(self.word("a group")?, true)),
            "reached" => Ok(Deed::Unreached(self.word("a group")?, false)),
            "slow" => Ok(Deed::Lag(self.span()?)),
            "lost" => Ok(Deed::Lost(self.number("a share")?)),
            other => {
                self.next = begun;
                Err(self.wrong(format!("the store knows no `{other}`")))
            }
        }
    }

    fn expectation(&mut self) -> Result<Expectation> {
        let line = self.wrong("").line();
        let subject = self.subject()?;
        let relation = match self.peek() {
            Some(Token::Equal) => Relation::Equal,
            Some(Token::AtLeast) => Relation::AtLeast,
            Some(Token::AtMost) => Relation::AtMost,
            _ => return Err(self.wrong("`=`, `>=` or `<=` is missing")),
        };
        self.next += 1;
        let bound = match self.peek() {
            Some(Token::Span(span)) => {
                let ms = span.as_ms() as f64;
                self.next += 1;
                ms
            }
            _ => self.number("a bound")?,
        };
        let from = if self.maybe("from") {
            self.span()?
        } else {
            Span::ZERO
        };
        let until = if self.maybe("until") {
            Some(self.span()?)
        } else {
            None
        };
        Ok(Expectation {
            line,
            subject,
            relation,
            bound,
            from,
            until,
        })
    }

    fn after(&mut self) -> Result<Span> {
        if self.maybe("after") {
            return self.span();
        }
        Err(self.wrong("`after` and a time are missing"))
    }

    fn subject(&mut self) -> Result<Subject> {
        let begun = self.next;
        let subject = match self.word("a measure")?.as_str() {
            "broken" => Subject::Broken,
            "excess" => Subject::Excess,
            "whole" => Subject::Whole(self.importance()),
            "capacity" => Subject::Capacity,
            "worst" => Subject::Worst,
            "wasted" => Subject::Wasted,
            "sent" => Subject::Sent,
            "refused" => Subject::Refused(self.word("a code's name")?),
            "recovery" => Subject::Recovery(self.after()?),
            "last-run" => {
                let team = self.word("a team")?;
                Subject::LastRun(team, self.after()?)
            }
            other => {
                self.next = begun;
                return Err(self.wrong(format!("nothing is measured as `{other}`")));
            }
        };
        Ok(subject)
    }

    fn importance(&mut self) -> Option<Importance> {
        Importance::ALL
            .into_iter()
            .find(|importance| self.maybe(&importance.to_string()))
    }
}
