//! Where the two tables lie on the operator's machine.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use super::Failure;
use crate::{
    check::{
        POOLS_FILE,
        ROUTES_FILE, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
    id::Version,
};

/// The largest file that is read, in bytes; the platform's service takes no
/// larger value.
const FILE_LIMIT: u64 = 1 << 20;

/// The file that says which version the tables beside it were made from.
pub(super) const VERSION: &str = "VERSION";

/// A file as it was read.
#[derive(Clone, Debug)]
pub(super) struct File {
    /// Its name, as the operator wrote it.
    pub(super) name: String,
    /// Its text.
    pub(super) text: String,
}

/// Both tables as they were read.
#[derive(Clone, Debug)]
pub(super) struct Files {
    /// The table of routes.
    pub(super) routes: File,
    /// The table of pools.
    pub(super) pools: File,
    /// The directory of both, when that was named.
    dir: Option<PathBuf>,
}

/// Reads one text file.
pub(super) fn read(path: &Path) -> Result<File> {
    let name = path.display().to_string();
    let failed = |e: std::io::Error| Error::from(e).within(name.clone());
    let size = fs::metadata(path).map_err(failed)?.len();
    if size > FILE_LIMIT {
        let reason = format!("the file has {size} bytes, and {FILE_LIMIT} are the most");
        return Err(Error::new(Code::Unit, reason).within(name));
    }
    let bytes = fs::read(path).map_err(failed)?;
    let text = String::from_utf8(bytes).map_err(|e| not_text(&name, &e))?;
    Ok(File { name, text })
}

fn not_text(name: &str, error: &std::string::FromUtf8Error) -> Error {
    let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
    let valid = String::from_utf8_lossy(valid);
    let line = valid.matches('\n').count() + 1;
    let column = valid.chars().rev().take_while(|c| *c != '\n').count() + 1;
    Error::new(Code::Syntax, "the file is no UTF-8 text")
        .at(line, column)
        .within(name)
}

impl Files {
    /// Reads both tables: from a directory, or from two files in any order.
    pub(super) fn read(paths: &[PathBuf]) -> Result<Self> {
        match paths {
            [dir] if dir.is_dir() => Ok(Self {
                routes: read(&dir.join(ROUTES_FILE))?,
                pools: read(&dir.join(POOLS_FILE))?,
                dir: Some(dir.clone()),
            }),
            [one, other] => {
                let (routes, pools) = match (is_routes(one), is_routes(other)) {
                    (true, false) => (one, other),
                    (false, true) => (other, one),
                    _ => return Err(usage()),
                };
                Ok(Self {
                    routes: read(routes)?,
                    pools: read(pools)?,
                    dir: None,
                })
            }
            _ => Err(usage()),
        }
    }
}

impl Files {
    /// The version that the tables were made from, by the file beside them.
    pub(super) fn version(&self) -> Result<Version> {
        let Some(dir) = &self.dir else {
            let reason = "say with --read which version the files were made from";
            return Err(Error::new(Code::Usage, reason));
        };
        let path = dir.join(VERSION);
        if !path.exists() {
            // Tables that never came from the store: good for an empty one.
            return Ok(Version::default());
        }
        let file = read(&path)?;
        let version = file.text.trim().parse();
        version.map_err(|error: Error| error.at(1, 1).within(file.name))
    }

    /// Gives faults the names by which the operator knows the files.
    pub(super) fn rename(&self, mut failure: Failure) -> Failure {
        let rename = |error: Error| match error.file() {
            Some(ROUTES_FILE) => error.within(self.routes.name.clone()),
            Some(POOLS_FILE) => error.within(self.pools.name.clone()),
            _ => error,
        };
        failure.0 = failure.0.into_iter().map(rename).collect();
        failure
    }
}

/// Notes which version the tables in a directory now are.
pub(super) fn write_version(paths: &[PathBuf], version: Version) -> Result<()> {
    match paths {
        [dir] if dir.is_dir() => write(&dir.join(VERSION), &format!("{version}\n")),
        _ => Ok(()),
    }
}

/// Writes a file whole: one that was cut short never takes its place.
pub(super) fn write(path: &Path, text: &str) -> Result<()> {
    let failed = |e: std::io::Error| Error::from(e).within(path.display().to_string());
    let mut part = path.as_os_str().to_owned();
    part.push(".part");
    fs::write(&part, text).map_err(failed)?;
    fs::rename(&part, path).map_err(failed)
}

fn is_routes(path: &Path) -> bool {
    let name = path.file_name().map(|name| name.to_string_lossy());
    name.is_some_and(|name| name.contains("routes"))
}

fn usage() -> Error {
    let reason = format!(
        "name a directory that holds {ROUTES_FILE} and {POOLS_FILE}, or two files, one of which has \
         `routes` in its name"
    );
    Error::new(Code::Usage, reason)
}
