//! Maps API keys of clients to tenants by an LDAP directory. Off unless an operator's file enables
//! it. The directory holds digests of keys, never the keys.

mod directory;

use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use tokio::sync::watch;

/// Delay between a failed read of the directory and the next one.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The settings for reading tenants from the directory, as the operator's file has them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// The URL of the directory, as `ldap://host:port`.
    pub url: String,
    /// The distinguished name to bind with. Without it, the router searches anonymously.
    pub bind_dn: Option<String>,
    /// The file that contains the password of `bind_dn`.
    pub password_file: Option<PathBuf>,
    /// The distinguished name of the entry whose subtree is searched.
    pub base: String,
    /// The search filter that selects the entries of tenants.
    #[serde(default = "default_filter")]
    pub filter: String,
    /// The attribute that contains the name of a tenant.
    #[serde(default = "default_name_attribute")]
    pub name_attribute: String,
    /// The attribute that contains the SHA-256 digests of the keys of a tenant, in hexadecimal.
    pub key_attribute: String,
    /// The interval between reads of the directory, in seconds.
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
    /// Checks the values. The error is one line that begins with the key at fault.
    pub fn check(&self) -> Result<(), String> {
        if !self.url.starts_with("ldap://") {
            return Err(format!("url: {:?} does not begin with ldap://", self.url));
        }
        if ldap3::parse_filter(&self.filter).is_err() {
            return Err(format!(
                "filter: {:?} is not a valid LDAP search filter",
                self.filter
            ));
        }
        match (&self.bind_dn, &self.password_file) {
            (Some(_), None) => Err("password_file: required when bind_dn is set".to_owned()),
            (None, Some(_)) => Err("bind_dn: required when password_file is set".to_owned()),
            _ if self.refresh_s == 0 => Err("refresh_s: must be above 0".to_owned()),
            _ => Ok(()),
        }
    }
}

/// The SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// The name of the tenant for each key digest.
type TenantTable = HashMap<KeyDigest, Rc<str>>;

/// The table of tenants from the last successful read of the directory.
#[derive(Clone)]
pub struct Tenants(watch::Receiver<Option<TenantTable>>);

/// The owner of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// The key belongs to the tenant with this name.
    Tenant(Rc<str>),
    /// The key belongs to no tenant.
    Unknown,
    /// The owner cannot be determined: the directory has not been read yet.
    NotLoaded,
}

impl Tenants {
    /// Starts a task that reads the directory at intervals until all clones of the returned value
    /// have been dropped. Must be called within a `LocalSet`.
    pub fn start(setup: Setup) -> Tenants {
        let (sender, receiver) = watch::channel(None);
        // The task ends once the last receiver has been dropped.
        tokio::task::spawn_local(refresh_periodically(setup, sender));
        Tenants(receiver)
    }

    /// Looks up the owner of a key.
    pub fn key_owner(&self, key: &str) -> KeyOwner {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        match &*self.0.borrow() {
            None => KeyOwner::NotLoaded,
            Some(table) => table
                .get(&digest)
                .cloned()
                .map_or(KeyOwner::Unknown, KeyOwner::Tenant),
        }
    }
}

/// Reads the directory at intervals until all receivers of the table have been dropped. If a read
/// fails, the previous table stays in use, so that tenants are not locked out while the directory
/// is down.
async fn refresh_periodically(setup: Setup, table: watch::Sender<Option<TenantTable>>) {
    loop {
        let delay = match directory::read(&setup).await {
            Ok(new) => {
                tracing::debug!(keys = new.len(), "read the tenants from the LDAP directory");
                table.send_replace(Some(new));
                Duration::from_secs(setup.refresh_s.into())
            }
            Err(error) => {
                tracing::warn!(%error, "cannot read the tenants from the LDAP directory, retrying");
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
