//! The file that tells both processes of a node, and the next one, which transcribers are out by hand.

use lupincrank_placement::admin_drain::set_drained;
use lupincrank_placement::ServerId;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The first word of the file and the version of its form.
const HEAD: &str = "lupincrank-out 1 ";
/// A longer file is none of ours.
const LONGEST: u64 = 1 << 20;
/// How long the other process may hold the file: it takes microseconds, unless it was stopped in the middle.
const PATIENCE: Duration = Duration::from_millis(50);

/// The text of the file: a head with a checksum, then the ids as JSON.
fn text(out: &BTreeSet<ServerId>) -> Result<String, String> {
    let ids: Vec<&str> = out.iter().map(|server| &*server.0).collect();
    let body = serde_json::to_string(&ids).map_err(|error| error.to_string())?;
    Ok(format!(
        "{HEAD}{:08x}\n{body}\n",
        crc32fast::hash(body.as_bytes())
    ))
}

/// Reads the text back whole, or not at all.
fn parse(text: &str) -> Result<BTreeSet<ServerId>, String> {
    let rest = text
        .strip_prefix(HEAD)
        .ok_or("its head is not of this version")?;
    let (sum, body) = rest.split_once('\n').ok_or("it is cut short")?;
    let body = body.strip_suffix('\n').ok_or("it is cut short")?;
    if sum != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
        return Err("its checksum does not fit".into());
    }
    let ids: Vec<String> = serde_json::from_str(body).map_err(|error| error.to_string())?;
    Ok(ids.iter().map(|id| ServerId::from(id.as_str())).collect())
}

/// The file.
pub struct Bans {
    path: PathBuf,
}

impl Bans {
    /// The file at `path`; it need not exist.
    pub fn new(path: PathBuf) -> Bans {
        Bans { path }
    }

    fn named(&self, error: impl std::fmt::Display) -> String {
        format!("{}: {error}", self.path.display())
    }

    /// Who is out; nobody if there is no file.
    pub fn read(&self) -> Result<BTreeSet<ServerId>, String> {
        match fs::metadata(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
            Ok(about) if about.len() > LONGEST => return Err(self.named("it is too long")),
            _ => {}
        }
        let text = fs::read_to_string(&self.path).map_err(|error| self.named(error))?;
        parse(&text).map_err(|why| self.named(why))
    }

    /// Takes one server out or back in, in the file too, and gives who is out now. `present` is believed where the file is
    /// damaged. On an error nothing has changed.
    pub fn change(
        &self,
        server: &ServerId,
        down: bool,
        present: &BTreeSet<ServerId>,
    ) -> Result<BTreeSet<ServerId>, String> {
        // Guards against the other process's change between this one's reading and writing.
        let _held =
            hold(&self.path.with_extension("out-lock")).map_err(|error| self.named(error))?;
        let mut out = self.read().unwrap_or_else(|_| present.clone());
        if set_drained(&mut out, server, down) {
            self.write(&out)?;
        }
        Ok(out)
    }

    /// Writes a file that was found damaged anew, unless the other process has done so by now.
    pub fn mend(&self, out: &BTreeSet<ServerId>) -> Result<(), String> {
        let _held =
            hold(&self.path.with_extension("out-lock")).map_err(|error| self.named(error))?;
        self.read().map_or_else(|_| self.write(out), |_| Ok(()))
    }

    /// Only under the lock.
    fn write(&self, out: &BTreeSet<ServerId>) -> Result<(), String> {
        let fresh = self.path.with_extension("out-new");
        let written = fs::write(&fresh, text(out)?).and_then(|()| fs::rename(&fresh, &self.path));
        written.map_err(|error| self.named(error))
    }
}

fn hold(path: &Path) -> io::Result<File> {
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)?;
    let until = Instant::now() + PATIENCE;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(fs::TryLockError::WouldBlock) if Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => return Err(error.into()),
        }
    }
}

#[cfg(test)]
mod tests;
