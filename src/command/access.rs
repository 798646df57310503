//! How commands reach the configuration in the platform's service.

use std::net::SocketAddr;

use bpaf::{
    Parser,
    construct,
    long, //
};
use rand::RngExt;
use serde_json::json;

use super::{
    Failure,
    operator::Nodes,
    rollout::{
        Rollout,
        rollout, //
    },
};
use crate::{
    change::{
        Author,
        Edit,
        Proposal, //
    },
    client::Client,
    clock::{
        Clock,
        Span, //
    },
    commit::{
        Commit,
        Done,
        Step, //
    },
    document::{
        Document,
        KEY, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
    store::{
        Answer,
        Call,
        Store, //
    },
};

/// How long one call may take; a lost one is tried again.
const CALL_TIMEOUT: Span = Span::from_secs(2);
/// How often a read is tried.
const MAX_READS: u32 = 5;
/// The wait between two reads.
const READ_RETRY_INTERVAL: Span = Span::from_ms(300);

/// Where the platform's service is, and how to print.
#[derive(Clone, Debug)]
pub(super) struct Access {
    platform: SocketAddr,
    /// Whether results are printed as JSON.
    pub(super) json: bool,
}

/// How a change is to be made.
#[derive(Clone, Debug)]
pub(super) struct Manner {
    /// Where to.
    pub(super) access: Access,
    dry: bool,
    by: String,
    rollout: Rollout,
}

/// Reads `--platform ADDRESS` and `--json`.
pub(super) fn access() -> impl Parser<Access> {
    let platform = long("platform")
        .env("BLUEBELLSWITCH_PLATFORM")
        .help("The platform's key-value service, by IP number and port")
        .argument::<SocketAddr>("ADDRESS");
    let json = long("json").help("Print the result as JSON").switch();
    construct!(Access { platform, json })
}

/// Reads what every change takes beside its own arguments.
pub(super) fn manner() -> impl Parser<Manner> {
    let access = access();
    let dry = long("dry-run")
        .help("Check and print what would change, and change nothing")
        .switch();
    let by = long("by")
        .env("USER")
        .help("Who makes the change, for the history")
        .argument::<String>("NAME")
        .fallback("operator".to_owned());
    let rollout = rollout();
    construct!(Manner {
        access,
        dry,
        by,
        rollout
    })
}

impl Access {
    fn client(&self) -> Client {
        Client::new(self.platform, CALL_TIMEOUT)
    }

    /// Reads the document in force; an empty one when there is none.
    pub(super) fn read(&self) -> Result<Document> {
        actix_rt::System::new().block_on(async {
            let client = self.client();
            for turn in 0..MAX_READS {
                if turn > 0 {
                    tokio::time::sleep(READ_RETRY_INTERVAL.to_std()).await;
                }
                let key = KEY.to_owned();
                match client.call(Call::Get { key }).await {
                    Answer::Value(Some(entry)) => return Document::decode(&entry.value),
                    Answer::Value(None) => return Ok(Document::default()),
                    Answer::Lost => {}
                    other => return Err(refused(&other)),
                }
            }
            let reason = format!(
                "the platform's service at {} does not answer",
                self.platform
            );
            Err(Error::new(Code::StoreLost, reason))
        })
    }
}

fn refused(answer: &Answer) -> Error {
    let reason = format!("the store gave no fitting answer: {answer:?}");
    Error::new(Code::StoreRefused, reason)
}

impl Manner {
    /// The nodes that the command names.
    pub(super) fn nodes(&self) -> &Nodes {
        self.rollout.nodes()
    }

    /// Whether nothing is to be changed.
    pub(super) fn is_dry(&self) -> bool {
        self.dry
    }

    /// Edits rows and prints what came of it.
    pub(super) fn edit(&self, what: String, edit: Edit) -> Result<Done, Failure> {
        let done = self.commit(what, Proposal::Edit(edit))?;
        self.print(&done);
        self.wait(&done)?;
        Ok(done)
    }

    /// Waits until a change is in force, if that was asked for.
    pub(super) fn wait(&self, done: &Done) -> Result<()> {
        if self.dry {
            return Ok(());
        }
        let version = done.document.version;
        if let Some(passed) = self.rollout.wait(version)?
            && !self.access.json
        {
            println!("version {version} is in force, after {passed}");
        }
        Ok(())
    }

    /// Carries a change into the store.
    pub(super) fn commit(&self, what: String, wish: Proposal) -> Result<Done, Failure> {
        self.rollout.check()?;
        let author = Author {
            by: self.by.clone(),
            what,
            at: Clock.wall(),
        };
        let mut commit = Commit::new(wish, author, self.dry, rand::rng().random());
        actix_rt::System::new().block_on(async {
            let client = self.access.client();
            let mut step = commit.begin();
            loop {
                match step {
                    Step::Call(wait, call) => {
                        tokio::time::sleep(wait.to_std()).await;
                        step = commit.on(client.call(call).await);
                    }
                    Step::Done(done) => return Ok(*done),
                    Step::Failed(faults) => return Err(Failure(faults)),
                }
            }
        })
    }

    /// Prints what came of a change.
    pub(super) fn print(&self, done: &Done) {
        let rows: Vec<_> = done.rows.iter().map(ToString::to_string).collect();
        if self.access.json {
            let result = json!({
                "changed": done.version.is_some() && !self.dry,
                "dry_run": self.dry,
                "version": done.document.version,
                "rows": rows,
                "races": done.races,
            });
            println!("{result}");
            return;
        }
        let Some(version) = done.version else {
            println!("nothing to change in version {}", done.document.version);
            return;
        };
        let verb = if self.dry { "would be" } else { "is" };
        let rows = match rows.is_empty() {
            true => "only comments changed".to_owned(),
            false => rows.join(", "),
        };
        println!("version {version} {verb} accepted: {rows}");
    }
}
