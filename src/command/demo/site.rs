//! The site of the demonstration: a platform, two pools in a chain over three
//! failure domains, two teams with keys.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc, //
};

use serde_json::json;

use super::{
    ledger::Ledger,
    service::{
        Kind,
        Service, //
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
    error::{
        Error,
        Result, //
    },
    id,
    server::{
        Addresses,
        Handle,
        Server,
        Stop, //
    },
    settings::Settings,
    standin::platform,
    store::Store,
    team::{
        Key,
        Team, //
    },
    unit::{
        Rate,
        Weight, //
    },
};

/// What operators of this site wrote.
const ROUTES: &str = include_str!("routes.jsonc");
const POOLS: &str = include_str!("pools.jsonc");

/// The failure domains; each has an instance of each pool.
const DOMAINS: [&str; 3] = ["north", "south", "west"];
/// How long a call of the platform may take.
const TIMEOUT: Span = Span::from_secs(2);
/// The operators' token of every node here.
pub(super) const TOKEN: &str = "demo-operators-token";

const ISSUER: Kind = Kind {
    slots: 16,
    work: Span::from_ms(25),
    nested: Some("/standards/pine"),
};
const REGISTRY: Kind = Kind {
    slots: 4,
    work: Span::from_ms(40),
    nested: None,
};

/// A key that a caller of the demonstration holds.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// Its team.
    pub(super) team: &'static str,
    /// Its public name.
    pub(super) name: &'static str,
    /// The whole key.
    pub(super) text: String,
}

/// One instance: a service and the node beside it.
pub(super) struct Instance {
    /// Its name.
    pub(super) name: String,
    /// The service.
    pub(super) service: Service,
    /// Where the node listens.
    pub(super) addresses: Addresses,
    /// How the node stops, once it does.
    pub(super) stop: Rc<RefCell<Option<Stop>>>,
    handle: Handle,
}

/// The whole site.
pub(super) struct Site {
    /// All instances.
    pub(super) instances: Vec<Instance>,
    /// The keys that were granted.
    pub(super) keys: Vec<Held>,
    platform: platform::Service,
    client: Client,
}

/// A team of the site: name, rate, burst, weight and the names of its keys.
pub(super) struct Customer {
    /// Its name.
    pub(super) name: &'static str,
    /// Requests a second.
    pub(super) rate: u64,
    /// Requests at once.
    pub(super) burst: u32,
    weight: u32,
    keys: &'static [&'static str],
}

/// The teams: a large one with two keys and a small one.
pub(super) const CUSTOMERS: [Customer; 2] = [
    Customer {
        name: "mills",
        rate: 300,
        burst: 300,
        weight: 3,
        keys: &["mills-office", "mills-old"],
    },
    Customer {
        name: "yards",
        rate: 100,
        burst: 100,
        weight: 1,
        keys: &["yards-office"],
    },
];

impl Site {
    /// Starts everything, with the configuration in the platform's service.
    pub(super) async fn start(ledger: &Rc<RefCell<Ledger>>) -> Result<Self> {
        let platform = platform::Service::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut site = Self {
            client: Client::new(platform.address(), TIMEOUT),
            platform,
            instances: Vec::new(),
            keys: Vec::new(),
        };
        let tables = Proposal::Tables {
            since: id::Version(0),
            routes: ROUTES.to_owned(),
            pools: POOLS.to_owned(),
        };
        site.commit("apply", tables).await?;
        site.grant(ledger).await?;
        for (pool, kind) in [("registry", REGISTRY), ("issuer", ISSUER)] {
            for domain in DOMAINS {
                site.instance(pool, domain, kind, ledger).await?;
            }
        }
        Ok(site)
    }

    /// Makes the teams, and grants their keys.
    async fn grant(&mut self, ledger: &Rc<RefCell<Ledger>>) -> Result<()> {
        for customer in &CUSTOMERS {
            let team: id::Team = customer.name.parse()?;
            let mut keys = Vec::new();
            for name in customer.keys {
                let (key, text) = Key::grant(name.parse()?, team.clone(), &mut rand::rng());
                ledger.borrow_mut().secret(&text);
                keys.push(key);
                self.keys.push(Held {
                    team: customer.name,
                    name,
                    text,
                });
            }
            let record = Team {
                name: team,
                rate: Rate::per_second(customer.rate),
                burst: customer.burst,
                weight: Weight(customer.weight),
            };
            let edit: Edit = Box::new(move |document| {
                document.teams.teams.push(record.clone());
                document.teams.keys.extend(keys.iter().cloned());
                Ok(())
            });
            self.commit("team set", Proposal::Edit(edit)).await?;
        }
        Ok(())
    }

    /// Starts one instance, with the first as its seed.
    async fn instance(
        &mut self,
        pool: &str,
        domain: &str,
        kind: Kind,
        ledger: &Rc<RefCell<Ledger>>,
    ) -> Result<()> {
        let service = Service::start(kind, ledger.clone()).await?;
        let name = format!("{pool}-{domain}");
        let seeds: Vec<_> = self.instances.iter().map(|i| i.addresses.links).collect();
        let settings = json!({
            "instance": name, "domain": domain, "pool": pool,
            "listen": {
                "callers": "127.0.0.1:0", "service": "127.0.0.1:0",
                "links": "127.0.0.1:0", "operators": "127.0.0.1:0",
            },
            "upstream": service.address(),
            "platform": self.platform.address(),
            "secrets": ["demo-fleet-secret-of-one-run"],
            "operators_token": TOKEN,
            "seeds": seeds,
        });
        let settings = Settings::parse(&settings.to_string())?;
        let store: Rc<dyn Store> = Rc::new(self.client.clone());
        let server = Server::start(settings, Some(store)).await?;
        let addresses = server.addresses();
        service.announce(addresses.service).await?;
        let handle = server.handle();
        let stop = Rc::new(RefCell::new(None));
        let stopped = stop.clone();
        actix_rt::spawn(async move {
            let end = server.wait().await;
            *stopped.borrow_mut() = Some(end);
        });
        self.instances.push(Instance {
            name,
            service,
            addresses,
            stop,
            handle,
        });
        Ok(())
    }

    /// Carries a change into the platform's service.
    pub(super) async fn commit(&self, what: &str, wish: Proposal) -> Result<Done> {
        let author = Author {
            by: "demo".to_owned(),
            what: what.to_owned(),
            at: Clock.wall(),
        };
        let mut commit = Commit::new(wish, author, false, rand::random());
        let mut step = commit.begin();
        loop {
            match step {
                Step::Call(wait, call) => {
                    tokio::time::sleep(wait.to_std()).await;
                    step = commit.on(self.client.call(call).await);
                }
                Step::Done(done) => return Ok(*done),
                Step::Failed(faults) => {
                    let first = faults.into_iter().next();
                    return Err(first.unwrap_or_else(|| Error::broken("a change failed")));
                }
            }
        }
    }

    /// What the platform counted.
    pub(super) fn calls(&self) -> platform::Stats {
        self.platform.stats()
    }

    /// Finds an instance.
    pub(super) fn named(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|instance| instance.name == name)
    }

    /// Ends everything.
    pub(super) async fn stop(&self) {
        self.instances.iter().for_each(|i| i.handle.drain());
        self.platform.stop().await;
    }
}
