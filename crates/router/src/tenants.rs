//! Tenants from an LDAP directory: which tenant a client's key belongs to. They are off unless an
//! operator's file enables them. The directory holds digests of keys, never the keys.

mod directory;

use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use tokio::sync::watch;

/// The delay before a directory that failed is read again.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// The directory, as `ldap://host:port`.
    pub url: String,
    /// The name with which to bind; anonymous without it.
    pub bind_dn: Option<String>,
    /// The file that holds its password.
    pub password_file: Option<PathBuf>,
    /// The base of the search.
    pub base: String,
    /// The filter of the search: which entries are tenants.
    #[serde(default = "default_filter")]
    pub filter: String,
    /// The attribute that names a tenant.
    #[serde(default = "default_name_attribute")]
    pub name_attribute: String,
    /// The attribute that holds the SHA-256 digests of its keys, in hexadecimal.
    pub key_attribute: String,
    /// The interval at which the directory is read, in seconds.
    #[serde(default = "default_refresh")]
    pub refresh_s: u32,
}

fn default_filter() -> String {
    "(objectClass=*)".to_owned()
}

fn default_name_attribute() -> String {
    "uid".to_owned()
}

fn default_refresh() -> u32 {
    60
}

impl Setup {
    /// What is wrong with the values, in one line that names the key.
    pub fn check(&self) -> Result<(), String> {
        if !self.url.starts_with("ldap://") {
            return Err(format!("url: {:?} does not begin with ldap://", self.url));
        }
        if ldap3::parse_filter(&self.filter).is_err() {
            return Err(format!("filter: {:?} is not a search filter", self.filter));
        }
        match (&self.bind_dn, &self.password_file) {
            (Some(_), None) => Err("password_file: is needed with bind_dn".to_owned()),
            (None, Some(_)) => Err("bind_dn: is needed with password_file".to_owned()),
            _ if self.refresh_s == 0 => Err("refresh_s: must be above 0".to_owned()),
            _ => Ok(()),
        }
    }
}

/// The SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// The names of tenants by the digests of their keys.
type TenantTable = HashMap<KeyDigest, Rc<str>>;

/// The tenants as they were last read from the directory.
#[derive(Clone)]
pub struct Tenants(watch::Receiver<Option<TenantTable>>);

/// Whose key it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Bearer {
    /// A tenant's.
    Tenant(Rc<str>),
    /// Nobody's.
    Unknown,
    /// The directory has not been read yet.
    NotLoaded,
}

impl Tenants {
    /// Starts to read the directory at intervals, for as long as the tenants are in use. Must be
    /// called within a `LocalSet`.
    pub fn start(setup: Setup) -> Tenants {
        let (sender, receiver) = watch::channel(None);
        // The task ends once the last receiver has been dropped.
        tokio::task::spawn_local(refresh(setup, sender));
        Tenants(receiver)
    }

    /// Whose key this is.
    pub fn bearer(&self, key: &str) -> Bearer {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        match &*self.0.borrow() {
            None => Bearer::NotLoaded,
            Some(table) => table
                .get(&digest)
                .cloned()
                .map_or(Bearer::Unknown, Bearer::Tenant),
        }
    }
}

/// Reads the directory at intervals until nobody observes the table. The last table that was read
/// stays valid: a directory that is down must not lock tenants out.
async fn refresh(setup: Setup, table: watch::Sender<Option<TenantTable>>) {
    loop {
        let delay = match directory::read(&setup).await {
            Ok(new) => {
                tracing::debug!(keys = new.len(), "tenants read");
                table.send_replace(Some(new));
                Duration::from_secs(setup.refresh_s.into())
            }
            Err(error) => {
                tracing::warn!(%error, "directory of tenants cannot be read, retrying");
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = table.closed() => return,
        }
    }
}

#[cfg(test)]
mod tests;
