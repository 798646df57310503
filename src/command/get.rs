//! `get`: read the tables in force, to look at or to edit.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use serde_json::json;

use super::{
    Failure, Job, Subcommand,
    access::{
        Access,
        access, //
    },
    place::{
        self,
        VERSION, //
    },
};
use crate::{
    check::{
        POOLS_FILE,
        ROUTES_FILE, //
    },
    document::Document,
    error::{
        Code,
        Error,
        Result, //
    },
};

/// Reads `get [DIR]`.
pub(super) fn parser() -> Subcommand {
    let access = access();
    let force = long("force")
        .help("Overwrite files that say something else")
        .switch();
    let dir = positional::<PathBuf>("DIR")
        .help("Where to write routes.jsonc, pools.jsonc and VERSION; printed when absent")
        .optional();
    construct!(access, force, dir)
        .map(|(access, force, dir)| -> Job {
            Box::new(move || run(&access, force, dir.as_deref()))
        })
        .to_options()
        .descr("Read the two tables in force, with their comments")
        .command("get")
        .boxed()
}

fn run(access: &Access, force: bool, dir: Option<&Path>) -> Result<(), Failure> {
    let document = access.read()?;
    if let Some(dir) = dir {
        write(&document, dir, force)?;
    }
    if access.json {
        let Document {
            version,
            routes,
            pools,
            ..
        } = &document;
        println!(
            "{}",
            json!({ "version": version, "routes": routes, "pools": pools })
        );
    } else if let Some(dir) = dir {
        println!("version {} written to {}", document.version, dir.display());
    } else {
        println!("// Version {}: {ROUTES_FILE}", document.version);
        println!("{}", document.routes.trim_end());
        println!("// Version {}: {POOLS_FILE}", document.version);
        println!("{}", document.pools.trim_end());
    }
    Ok(())
}

fn write(document: &Document, dir: &Path, force: bool) -> Result<()> {
    fs::create_dir_all(dir).map_err(|e| Error::from(e).within(dir.display().to_string()))?;
    let files = [
        (ROUTES_FILE, &document.routes),
        (POOLS_FILE, &document.pools),
    ];
    for (name, text) in files {
        let path = dir.join(name);
        if !force && path.exists() && place::read(&path)?.text != **text {
            let reason = "the file has other content: move it away, or use --force";
            return Err(Error::new(Code::Conflict, reason).within(path.display().to_string()));
        }
    }
    for (name, text) in files {
        place::write(&dir.join(name), text)?;
    }
    place::write(&dir.join(VERSION), &format!("{}\n", document.version))
}
