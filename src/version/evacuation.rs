//! Lets operators stop all traffic to the upstreams of a failure domain.
//!
//! An evacuation is part of the document, so it is accepted, distributed and
//! confirmed like any other change. The domain's nodes keep accepting requests
//! from clients; only their upstreams receive none.

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

/// Evacuates `domain`, which must be one of the `known` domains.
///
/// # Errors
///
/// Returns an error if the domain is unknown, or if every known domain would
/// then be evacuated.
pub fn evacuate(document: &mut Document, domain: &Domain, known: &BTreeSet<Domain>) -> Result<()> {
    if !known.contains(domain) {
        let reason = format!(
            "there is no failure domain `{domain}`; the nodes are in {}",
            quoted_list(known)
        );
        return Err(Error::new(Code::Absent, reason));
    }
    let remains_active = |other: &&Domain| *other != domain && !document.evacuated.contains(*other);
    if known.iter().find(remains_active).is_none() {
        let reason = format!("`{domain}` is the last failure domain that gets requests");
        return Err(Error::new(Code::Usage, reason));
    }
    document.evacuated.insert(domain.clone());
    Ok(())
}

/// Ends the evacuation of a domain.
///
/// # Errors
///
/// Returns an error if the domain is not evacuated.
pub fn end(document: &mut Document, domain: &Domain) -> Result<()> {
    if document.evacuated.remove(domain) {
        return Ok(());
    }
    let reason = format!("the failure domain `{domain}` is not evacuated");
    Err(Error::new(Code::Absent, reason))
}

fn quoted_list(domains: &BTreeSet<Domain>) -> String {
    let names: Vec<_> = domains.iter().map(|name| format!("`{name}`")).collect();
    names.join(", ")
}
