//! Small fakes of what the system meets: for the demonstration, for
//! measurements and for tests. No node uses them.

pub mod caller;
pub mod crowd;
pub mod driver;
pub mod keyvalue;
pub mod ledger;
pub mod platform;
pub mod play;
pub mod promise;
pub mod rates;
pub mod script;
pub mod site;
pub mod trial;
pub mod upstream;
