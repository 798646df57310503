//! A service of the demonstration: it has slots, takes time for its work, and
//! may call another service through the node beside it.

use std::{
    cell::RefCell,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc, //
};

use actix_http::{
    HttpMessage,
    HttpService,
    Request,
    Response,
    StatusCode,
    body::BoxBody, //
};
use actix_rt::task::JoinHandle;
use actix_service::{
    Service as _,
    ServiceFactory,
    fn_service, //
};
use tokio::{
    net::TcpListener,
    sync::Semaphore, //
};

use super::ledger::Ledger;
use crate::{
    clock::{
        Clock,
        Span, //
    },
    connection::header::Names,
    error::{
        Error,
        Result, //
    },
    standin::caller::Caller,
};

/// The header with the caller's number of a request.
pub(super) const ID_HEADER: &str = "x-demo-id";
/// The header with the name of the caller's flow, its team first.
pub(super) const FLOW_HEADER: &str = "x-demo-flow";
/// What says that a call is nested, so that it is no root.
pub(super) const NESTED_HEADER: &str = "x-demo-nested";
/// The body of an answer when something below failed.
pub(super) const NESTED_FAILURE_BODY: &str = "below";

/// What a service is like.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    /// Requests that it runs at a time.
    pub(super) slots: usize,
    /// Time for each.
    pub(super) work: Span,
    /// The path of its nested call, for requests that are no `GET`.
    pub(super) nested: Option<&'static str>,
}

/// A running service.
pub(super) struct Service {
    address: SocketAddr,
    inner: Rc<Inner>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

struct Inner {
    kind: Kind,
    slots: Semaphore,
    egress: RefCell<Option<Rc<Caller>>>,
    ledger: Rc<RefCell<Ledger>>,
}

impl Service {
    /// Listens on a free port.
    pub(super) async fn start(kind: Kind, ledger: Rc<RefCell<Ledger>>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Rc::new(Inner {
            kind,
            slots: Semaphore::new(kind.slots),
            egress: RefCell::default(),
            ledger,
        });
        let tasks = Rc::new(RefCell::new(Vec::new()));
        let task = actix_rt::spawn(accept(listener, inner.clone(), tasks.clone()));
        tasks.borrow_mut().push(task);
        Ok(Self {
            address,
            inner,
            tasks,
        })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces it to the node beside it, through which it makes its nested
    /// calls from now on.
    pub(super) async fn announce(&self, egress: SocketAddr) -> Result<()> {
        let egress = Rc::new(Caller::new(egress));
        let told = egress.send("POST", "/announce", &[], "").await;
        *self.inner.egress.borrow_mut() = Some(egress);
        match told {
            Ok(answer) if answer.status < 300 => Ok(()),
            other => Err(Error::broken(format!("an announcement failed: {other:?}"))),
        }
    }

    /// Ends it at once, with everything that it runs.
    pub(super) fn kill(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }
}

async fn accept(listener: TcpListener, inner: Rc<Inner>, tasks: Rc<RefCell<Vec<JoinHandle<()>>>>) {
    let factory = HttpService::build()
        .keep_alive(std::time::Duration::from_secs(75))
        .h1(fn_service(move |request| {
            let inner = inner.clone();
            async move { Ok::<_, Infallible>(inner.serve(request).await) }
        }))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    while let Ok((stream, _)) = listener.accept().await {
        let service = service.clone();
        let task = actix_rt::spawn(async move {
            let _ = service.call(stream).await;
        });
        tasks.borrow_mut().push(task);
    }
}

impl Inner {
    async fn serve(&self, request: Request) -> Response<BoxBody> {
        let header = |name: &str| {
            let value = request.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.unwrap_or_default().to_owned()
        };
        let (id, flow, token) = (
            header(ID_HEADER),
            header(FLOW_HEADER),
            header(Names::own().token.unwrap_or_default()),
        );
        let is_root = header(NESTED_HEADER).is_empty();
        self.look(&request);
        let Ok(_slot) = self.slots.acquire().await else {
            return reply(
                StatusCode::SERVICE_UNAVAILABLE,
                NESTED_FAILURE_BODY.to_owned(),
            );
        };
        let idempotent = request.method() == "GET";
        if is_root {
            let number = id.parse().unwrap_or_default();
            let team = flow.split(' ').next().unwrap_or_default();
            let mut ledger = self.ledger.borrow_mut();
            ledger.ran(Clock.now(), number, &flow, team, idempotent);
        }
        tokio::time::sleep(self.kind.work.to_std()).await;
        if let Some(path) = self.kind.nested.filter(|_| !idempotent)
            && !self.call(path, &token).await
        {
            return reply(
                StatusCode::SERVICE_UNAVAILABLE,
                NESTED_FAILURE_BODY.to_owned(),
            );
        }
        reply(StatusCode::OK, id)
    }

    /// Makes the nested call, and tells whether it went well.
    async fn call(&self, path: &str, token: &str) -> bool {
        let egress = self.egress.borrow().clone();
        let Some(egress) = egress else { return false };
        let answer = egress
            .get(
                path,
                &[
                    (Names::own().token.unwrap_or_default(), token),
                    (NESTED_HEADER, "yes"),
                ],
            )
            .await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn look(&self, request: &Request) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.upstream_saw(&request.uri().to_string());
        for (_, value) in request.headers() {
            ledger.upstream_saw(&String::from_utf8_lossy(value.as_bytes()));
        }
    }
}

fn reply(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status).body(body).map_into_boxed_body()
}
