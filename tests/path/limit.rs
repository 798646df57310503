//! What an upstream names in its answers, on the product's own interface.

use bluebellswitch::standin::{
    caller::Caller,
    upstream::Act, //
};
use serde_json::Value;

use crate::bench::{
    AUTH,
    Site,
    TOKEN,
    run,
    until, //
};

async fn operator(site: &Site, path: &str) -> String {
    let bearer = format!("Bearer {TOKEN}");
    let caller = Caller::new(site.inner.addresses().operators);
    let answer = caller.get(path, &[("authorization", &bearer)]).await;
    String::from_utf8_lossy(&answer.expect("an answer").body).into_owned()
}

/// Guards against an upstream that gets more than it names, and against operators who
/// cannot see that.
#[test]
fn an_upstream_gets_what_it_names() {
    run(async {
        let headers = vec![("x-bluebellswitch-limit", "0.5".to_owned())];
        let act = Act::Answer(200, headers, "stock".into());
        let site = Site::start(move |_| act.clone()).await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("whole");
        assert_eq!(answer.status, 200);
        let service = Caller::new(site.inner.addresses().service);
        let announced = service.send("POST", "/announce", &[], String::new()).await;
        assert!(announced.expect("an answer").status < 300, "said again");
        let before = site.upstream.seen().len();
        for _ in 0..20 {
            let answer = site.caller().get("/a", &[AUTH]).await.expect("an answer");
            assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
        }
        let got = site.upstream.seen().len() - before;
        assert!(got <= 3, "{got} requests");
        let status: Value = serde_json::from_str(&operator(&site, "/status").await).expect("JSON");
        assert_eq!(status["named_limit"], 0.5);
        let metrics = operator(&site, "/metrics").await;
        for name in ["named_limit 0.5", "started_total", "UpstreamLimited"] {
            assert!(metrics.contains(name), "{name} in {metrics}");
        }
    });
}

/// Guards against a limit that is no rate and yet counts.
fn ignored(limit: &'static str) {
    run(async move {
        let headers = vec![("x-bluebellswitch-limit", limit.to_owned())];
        let act = Act::Answer(200, headers, "stock".into());
        let site = Site::start(move |_| act.clone()).await;
        for _ in 0..20 {
            let answer = site.caller().get("/a", &[AUTH]).await.expect("whole");
            assert_eq!(answer.status, 200);
        }
        let metrics = operator(&site, "/metrics").await;
        assert!(metrics.contains("limit_unreadable_total"), "{metrics}");
    });
}

cases! { ignored:
    a_word => ("many"),
    nothing => (""),
    no_number => ("NaN"),
    without_end => ("inf"),
    less_than_nothing => ("-1"),
    with_a_unit => ("5/s"),
}

/// Guards against requests for an upstream whose answers say that it leaves. It takes
/// that back with an announcement.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_no_more() {
    run(async {
        let headers = vec![("x-bluebellswitch-leaving", "1".to_owned())];
        let act = Act::Answer(200, headers, "stock".into());
        let site = Site::start(move |_| act.clone()).await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("whole");
        assert_eq!(answer.status, 200);
        let before = site.upstream.seen().len();
        for _ in 0..10 {
            let answer = site.caller().get("/a", &[AUTH]).await.expect("an answer");
            assert_eq!(answer.status, 503);
        }
        assert_eq!(site.upstream.seen().len(), before);
        let service = Caller::new(site.inner.addresses().service);
        let announced = service.send("POST", "/announce", &[], String::new()).await;
        assert!(announced.expect("an answer").status < 300);
        until("it is served again", || {
            site.upstream.seen().len() > before || {
                let caller = site.caller();
                actix_rt::spawn(async move { caller.get("/a", &[AUTH]).await.is_ok() });
                false
            }
        })
        .await;
    });
}
