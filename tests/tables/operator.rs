//! Commands that ask nodes, against a stand-in of their operators' listener.

use std::{
    sync::mpsc,
    thread, //
};

use actix_web::{
    App,
    HttpRequest,
    HttpResponse,
    HttpServer,
    web, //
};
use serde_json::{
    Value,
    json, //
};

use super::command::Trial;

/// Two nodes: one that surveys the fleet and one that only knows itself.
struct Nodes {
    survey: String,
    single: String,
    end: Option<(actix_web::dev::ServerHandle, thread::JoinHandle<()>)>,
}

fn answer(request: &HttpRequest, page: &Value) -> HttpResponse {
    let token = request.headers().get("authorization");
    if token.is_none_or(|token| token != "Bearer operators-token") {
        return HttpResponse::Unauthorized().finish();
    }
    HttpResponse::Ok().json(page)
}

/// What the nodes say: both have version 1, a third has not confirmed it.
fn status() -> Value {
    json!({ "instance": "issuer-1", "domain": "north", "pool": "issuer", "version": 1,
        "calls": 3, "draining": false, "members": [{ "instance": "issuer-2", "domain": "south" }] })
}

fn rollout() -> Value {
    json!({ "instance": "issuer-1", "version": 1, "domains": [
        { "domain": "north", "version": 1, "members": 2, "behind": 0, "names": [] },
        { "domain": "south", "version": 1, "members": 9, "behind": 3, "names": ["issuer-3"] },
    ] })
}

impl Nodes {
    fn new() -> Self {
        let (tell, told) = mpsc::channel();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let status = async |request: HttpRequest| answer(&request, &status());
                let survey = async |request: HttpRequest| answer(&request, &rollout());
                let drain = async |request: HttpRequest| answer(&request, &Value::Null);
                let single = HttpServer::new(move || {
                    App::new()
                        .route("/status", web::get().to(status))
                        .route("/drain", web::post().to(drain))
                });
                let both = HttpServer::new(move || {
                    App::new()
                        .route("/status", web::get().to(status))
                        .route("/rollout", web::get().to(survey))
                });
                let single = single.workers(1).disable_signals();
                let single = single.bind("127.0.0.1:0").expect("a port");
                let both = both.workers(1).disable_signals();
                let both = both.bind("127.0.0.1:0").expect("a port");
                let addresses = [both.addrs()[0], single.addrs()[0]];
                let single = single.run();
                let both = both.run();
                tell.send((addresses, both.handle()))
                    .expect("somebody listens");
                let single = actix_rt::spawn(single);
                let _ = both.await;
                single.abort();
            });
        });
        let (addresses, handle) = told.recv().expect("addresses");
        Self {
            survey: addresses[0].to_string(),
            single: addresses[1].to_string(),
            end: Some((handle, thread)),
        }
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        let (handle, thread) = self.end.take().expect("once");
        drop(handle.stop(false));
        let _ = thread.join();
    }
}

#[test]
fn commands_ask_nodes_and_name_those_behind() {
    let nodes = Nodes::new();
    let trial = Trial::new("operator");
    trial.write("token", "operators-token\n");
    trial.write("wrong", "another-token\n");
    let single = format!("--node {} --token-file token", nodes.single);
    let survey = format!("--node {} --token-file token", nodes.survey);

    let table = trial.done(&format!("status {single}"));
    assert!(
        table.contains("issuer-1") && table.contains("running"),
        "{table}"
    );
    assert!(
        trial
            .done(&format!("status --members {single}"))
            .contains("issuer-2")
    );
    assert_eq!(
        trial.json(&format!("status --json {single}"))[0]["status"],
        status()
    );
    trial.done(&format!("drain {single}"));

    trial.fails("status", 2, "--node");
    trial.fails(&format!("drain --node {}", nodes.single), 2, "token");
    let wrong = format!("drain --node {} --token-file wrong", nodes.single);
    trial.fails(&wrong, 6, "refuses the operators' token (code 6002)");
    trial.fails(
        "drain --node 127.0.0.1:1 --token-file token",
        6,
        "(code 6003)",
    );

    // A wait that could ask nobody changes nothing.
    trial.fails("apply --wait 1s .", 2, "--node");
    assert_eq!(trial.json("get --json")["version"], 0);
    let done = trial.done(&format!("apply --wait 60s {single} ."));
    assert!(done.contains("version 1 is in force"), "{done}");
    let ended = trial.run(&format!("pool set issuer slots=7 --wait 1ms {survey}"));
    assert_eq!(ended.code, 4);
    assert!(ended.out.contains("version 2 is accepted"), "{}", ended.out);
    let want = "not confirmed by issuer-1, the failure domain north, the failure domain south";
    assert!(ended.err.contains(want), "{}", ended.err);
}

/// The nodes asked have the version; others of their fleet have not.
#[test]
fn survey_names_members_behind() {
    let nodes = Nodes::new();
    let trial = Trial::new("survey");
    trial.write("token", "operators-token");
    let line = format!(
        "apply --wait 1ms --node {} --token-file token .",
        nodes.survey
    );
    let ended = trial.run(&line);
    assert_eq!(ended.code, 4);
    let want = "not confirmed by issuer-3, 2 more in south (code 4103)";
    assert!(ended.err.contains(want), "{}", ended.err);
}

/// Guards against orders on domains that do not exist, and against the one that
/// would leave no domain.
#[test]
fn domains_are_evacuated_and_taken_back() {
    let nodes = Nodes::new();
    let trial = Trial::new("domain");
    trial.write("token", "operators-token\n");
    let node = format!("--node {} --token-file token", nodes.single);

    trial.fails("domain evacuate north", 2, "name a node with --node");
    trial.fails(
        &format!("domain evacuate west {node}"),
        4,
        "there is no failure domain `west`; the nodes are in `north`, `south` (code 4102)",
    );
    trial.fails(
        "domain return north",
        4,
        "`north` is not evacuated (code 4102)",
    );

    let done = trial.done(&format!("domain evacuate north --wait 60s {node}"));
    assert!(
        done.contains("version 1 is accepted: domain north"),
        "{done}"
    );
    assert!(done.contains("version 1 is in force"), "{done}");
    assert_eq!(trial.done("domain list"), "north\n");
    let again = trial.done(&format!("domain evacuate north {node}"));
    assert!(again.contains("nothing to change in version 1"), "{again}");
    trial.fails(
        &format!("domain evacuate south {node}"),
        2,
        "`south` is the last failure domain that gets requests (code 4006)",
    );

    let done = trial.done("domain return north");
    assert!(
        done.contains("version 2 is accepted: domain north"),
        "{done}"
    );
    assert_eq!(trial.json("domain list --json"), json!([]));
    assert!(trial.done("history").contains("domain evacuate north"));
}
