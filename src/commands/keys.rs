//! `celerythread keys`: creates a certificate authority and instances' keys, without any entry.

use super::parsed;
use crate::Error;
use crate::error::{FileSnafu, KeySnafu};
use celerythread_wire::authority::{self, Pair};
use snafu::ResultExt;
use std::ffi::OsString;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Creates keys for the connections between entries.
        cmd celerythread-keys {
            /// Creates a certificate authority: authority.pem and authority.key in a folder.
            ///
            /// Example: celerythread keys authority co-antioquia keys/
            cmd authority {
                /// The workspace.
                required workspace: String
                /// The folder.
                required folder: PathBuf
            }
            /// Creates an instance's key and a certificate signed by the folder's authority.
            ///
            /// Example: celerythread keys issue med-a-1 keys/
            cmd issue {
                /// The instance.
                required instance: String
                /// The folder.
                required folder: PathBuf
            }
        }
    }
}

use flags::{CelerythreadKeys, CelerythreadKeysCmd};

/// File mode of a private key: only its owner may read it.
const KEY_MODE: u32 = 0o600;

pub(crate) fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    match parsed(CelerythreadKeys::from_vec(arguments))?.subcommand {
        CelerythreadKeysCmd::Authority(command) => {
            let pair = authority::create(&command.workspace).context(KeySnafu)?;
            write(&command.folder, "authority", &pair)
        }
        CelerythreadKeysCmd::Issue(command) => {
            let certificate = read(&command.folder.join("authority.pem"))?;
            let key = read(&command.folder.join("authority.key"))?;
            let pair = authority::issue(&Pair { certificate, key }, &command.instance)
                .context(KeySnafu)?;
            write(&command.folder, &command.instance, &pair)
        }
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).context(FileSnafu { path })
}

/// Writes a key and its certificate; never overwrites an existing key.
fn write(folder: &Path, name: &str, pair: &Pair) -> Result<(), Error> {
    fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    let path = folder.join(format!("{name}.key"));
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_MODE)
        .open(&path)
        .context(FileSnafu { path: &path })?;
    file.write_all(pair.key.as_bytes()).context(FileSnafu { path: &path })?;
    let path = folder.join(format!("{name}.pem"));
    fs::write(&path, &pair.certificate).context(FileSnafu { path: &path })?;
    println!("{}", path.display());
    Ok(())
}
