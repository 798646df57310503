//! `drain`: let nodes finish what runs, take nothing new, and end.

use bpaf::Parser;

use super::{
    Failure, Job, Subcommand,
    operator::{
        Nodes,
        nodes, //
    },
};

/// Reads `drain --node ADDRESS`.
pub(super) fn parser() -> Subcommand {
    nodes()
        .map(|nodes| -> Job { Box::new(move || run(&nodes)) })
        .to_options()
        .descr("Let a node finish what runs, take nothing new, and end")
        .footer("A node that gets SIGTERM does the same")
        .command("drain")
        .boxed()
}

fn run(nodes: &Nodes) -> Result<(), Failure> {
    nodes.require()?;
    let operator = nodes.operator()?;
    actix_rt::System::new().block_on(async {
        // One at a time: a wrong token or address stops the rest.
        for node in &nodes.nodes {
            operator.post(*node, "/drain").await?;
            println!("the node at {node} drains");
        }
        Ok(())
    })
}
