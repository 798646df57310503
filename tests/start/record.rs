//! The record of the node's previous life.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bluebellswitch::{
    directory::RECORD_PREFIX,
    node::Bounds,
    platform::{
        interface,
        standin::Store,
        store::Client, //
    },
    server::Server,
    settings::Settings,
};
use serde_json::json;

use crate::process::{
    EVENT_TIMEOUT,
    Site, //
};

/// Guards against a record with the highest incarnation that ends the process at each
/// start.
#[test]
fn highest_incarnation_does_not_end_the_start() {
    let site = Site::new("record", "127.63.6.1");
    let record = json!({
        "instance": "alone", "domain": "a", "pool": "registry",
        "link": "127.63.6.1:1", "datagram": "127.63.6.1:1",
        "incarnation": u64::MAX, "status": "a", "ready": true,
    });
    actix_rt::System::new().block_on(async {
        let store = Store::start();
        store.put(&format!("{RECORD_PREFIX}alone"), &record.to_string());
        let client = Rc::new(Client::new(store.address()));
        let begin = Instant::now();
        loop {
            let settings = Settings::parse(&site.text()).expect("good settings");
            let client: Option<Rc<dyn bluebellswitch::store::Store>> = Some(client.clone());
            match Server::start_in(settings, client, interface(), Bounds::default()).await {
                Ok(_) => break,
                // A process that another test starts may still have a copy of the sockets.
                Err(error) if error.number() == 7002 => assert!(begin.elapsed() < EVENT_TIMEOUT),
                Err(error) => panic!("{error}"),
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    });
}
