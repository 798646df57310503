//! `platform`: a stand-in for the platform's key-value service.

use std::net::SocketAddr;

use bpaf::{
    Parser,
    long, //
};

use super::{
    Failure,
    Job,
    Subcommand, //
};
use crate::standin::platform::Service;

/// Reads `platform [--listen ADDRESS]`.
pub(super) fn parser() -> Subcommand {
    long("listen")
        .help("Where to listen")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7400)))
        .display_fallback()
        .map(|listen| -> Job { Box::new(move || run(listen)) })
        .to_options()
        .descr("Run a stand-in for the platform's key-value service, for trials and tests")
        .footer(
            "Everything is in memory and gone when it ends. GET /stats counts the calls; \
             POST /faults sets outages, slowness and lost answers",
        )
        .command("platform")
        .boxed()
}

fn run(listen: SocketAddr) -> Result<(), Failure> {
    actix_rt::System::new().block_on(async {
        let service = Service::start(listen)?;
        println!("listening on {}", service.address());
        terminated().await?;
        service.stop().await;
        Ok(())
    })
}

/// Waits for an interrupt or a request to end.
async fn terminated() -> std::io::Result<()> {
    use tokio::signal::unix::{
        SignalKind,
        signal, //
    };
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
