//! Fleets whose nodes find each other and their configuration in the store.

use bluebellswitch::{
    Result,
    clock::Span,
    document::Snapshot,
    id::Version,
    interface::Source,
    node::{
        Bounds,
        Core, //
    },
    standin::driver::{
        Driver,
        Net,
        Service,
        Setup, //
    },
    store::Call,
};

/// The key of the configuration, which is here just the number of its version.
pub const KEY: &str = "operators/configuration";

fn read(text: &str) -> Result<Snapshot> {
    Ok(Snapshot {
        version: text.parse::<Version>()?,
        ..Snapshot::default()
    })
}

fn discover(core: &mut Core, bound: Span) {
    let source = Source {
        prefix: KEY,
        key: KEY,
        evacuated: |_| None,
        read,
    };
    let bounds = Bounds {
        propagation: bound,
        ..Bounds::default()
    };
    core.enable_store_discovery(source, bounds);
}

/// A fleet in three failure domains that starts all at once, with the operators' bound on
/// changes. If `silent`, a cut link is noticed late.
pub fn fleet(domain_size: usize, bound: Span, silent: bool) -> Driver {
    let mut driver = Driver::new(Setup {
        seed: 7,
        domains: vec!["a", "b", "c"],
        services: vec![Service {
            pool: "registry".parse().expect("a name"),
            instances: vec![domain_size; 3],
            slots: 50,
            work: Span::from_ms(5),
            nested: vec![],
        }],
        snapshot: None,
        acquainted: false,
        net: Net {
            near: Span::from_ms(0),
            far: Span::from_ms(1),
            jitter: Span::from_ms(1),
            loss: 0.0,
            double: 0.0,
            cross: 0.0,
            undelivered: 0.0,
            silent,
        },
        spy: false,
        prepare: Box::new(move |core| discover(core, bound)),
    });
    put(&mut driver, KEY, "1");
    driver
}

/// Writes a value to the store, which has then acknowledged it.
pub fn put(driver: &mut Driver, key: &str, value: &str) {
    let now = driver.now();
    let call = Call::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        lease: None,
    };
    driver.store.on(now, &call);
    driver.notify();
}
