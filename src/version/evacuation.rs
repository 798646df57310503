//! Orders of operators to send nothing more to the upstreams of a failure domain.
//!
//! An order is part of the document, so it is accepted, spread and confirmed like
//! any other change. Its nodes go on as ingress; only their upstreams get nothing.

use std::collections::BTreeSet;

use crate::{
    document::Document,
    error::{
        Code,
        Error,
        Result, //
    },
    id::Domain, //
};

/// Evacuates a domain, one of those that nodes know.
///
/// # Errors
///
/// When no node knows the domain, or when no other would be left.
pub fn evacuate(document: &mut Document, domain: &Domain, known: &BTreeSet<Domain>) -> Result<()> {
    if !known.contains(domain) {
        let reason = format!(
            "there is no failure domain `{domain}`; the nodes are in {}",
            list(known)
        );
        return Err(Error::new(Code::Absent, reason));
    }
    let is_left = |other: &&Domain| *other != domain && !document.evacuated.contains(*other);
    if known.iter().find(is_left).is_none() {
        let reason = format!("`{domain}` is the last failure domain that gets requests");
        return Err(Error::new(Code::Usage, reason));
    }
    document.evacuated.insert(domain.clone());
    Ok(())
}

/// Takes a domain back that was evacuated.
///
/// # Errors
///
/// When it is not evacuated.
pub fn end_evacuation(document: &mut Document, domain: &Domain) -> Result<()> {
    if document.evacuated.remove(domain) {
        return Ok(());
    }
    let reason = format!("the failure domain `{domain}` is not evacuated");
    Err(Error::new(Code::Absent, reason))
}

fn list(domains: &BTreeSet<Domain>) -> String {
    let names: Vec<_> = domains.iter().map(|name| format!("`{name}`")).collect();
    names.join(", ")
}
