//! The request path over real sockets: two nodes, an upstream, a caller.

#[macro_use]
mod support;

#[path = "path/answer.rs"]
mod answer;
#[path = "path/answer_to_head.rs"]
mod answer_to_head;
#[path = "path/bench.rs"]
mod bench;
#[path = "path/body.rs"]
mod body;
#[path = "path/closing.rs"]
mod closing;
#[path = "path/control.rs"]
mod control;
#[path = "path/endless.rs"]
mod endless;
#[path = "path/head_cut.rs"]
mod head_cut;
#[path = "path/header.rs"]
mod header;
#[path = "path/limit.rs"]
mod limit;
#[path = "path/link.rs"]
mod link;
#[path = "path/operator.rs"]
mod operator;
#[path = "path/reader.rs"]
mod reader;
#[path = "support/received.rs"]
mod received;
#[path = "path/settings.rs"]
mod settings;
#[path = "path/stop.rs"]
mod stop;
#[path = "path/upstream.rs"]
mod upstream;
