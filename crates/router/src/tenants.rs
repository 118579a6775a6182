//! Tenants from an LDAP directory: whose key a client of the second front bears. Off unless an operator's file
//! sets it up. The directory holds digests of keys, never the keys.

use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use ldap3::{Ldap, LdapConnAsync, LdapConnSettings, LdapError, Scope, SearchEntry};
use serde::Deserialize;
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::timeout;

/// How long a connection, and each answer of the directory, may take.
const CONNECT_WAIT: Duration = Duration::from_secs(2);
const ANSWER_WAIT: Duration = Duration::from_secs(10);
/// After how long a directory that failed is asked again.
const AGAIN: Duration = Duration::from_secs(2);

/// The operator's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// The directory, as `ldap://host:port`.
    pub url: String,
    /// Who asks; anonymous without it.
    pub bind_dn: Option<String>,
    /// The file that holds its password.
    pub password_file: Option<PathBuf>,
    /// Where tenants are.
    pub base: String,
    /// Which entries there are tenants.
    #[serde(default = "default_filter")]
    pub filter: String,
    /// The attribute that names a tenant.
    #[serde(default = "default_name")]
    pub name_attribute: String,
    /// The attribute that holds the SHA-256 digests of its keys, in hexadecimal.
    pub key_attribute: String,
    /// How often the directory is read.
    #[serde(default = "default_refresh")]
    pub refresh_s: u32,
}

fn default_filter() -> String {
    "(objectClass=*)".to_owned()
}

fn default_name() -> String {
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

/// Tenants by the digests of their keys.
type Table = HashMap<[u8; 32], Rc<str>>;

/// The tenants as the directory had them last.
#[derive(Clone)]
pub struct Tenants(watch::Receiver<Option<Table>>);

/// Whose key it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Bearer {
    /// A tenant's.
    Tenant(Rc<str>),
    /// Nobody's.
    Unknown,
    /// The directory has not been read yet.
    NotYet,
}

impl Tenants {
    /// Begins to read the directory, again and again while anybody looks. Must be called within a `LocalSet`.
    pub fn follow(setup: Setup) -> Tenants {
        let (tx, rx) = watch::channel(None);
        tokio::task::spawn_local(async move {
            loop {
                let wait = match read(&setup).await {
                    Ok(table) => {
                        tracing::debug!(keys = table.len(), "tenants read");
                        tx.send_replace(Some(table));
                        Duration::from_secs(setup.refresh_s.into())
                    }
                    // What was known stays valid: a directory that is down must not lock tenants out.
                    Err(error) => {
                        tracing::warn!(%error, "the directory of tenants cannot be read");
                        AGAIN
                    }
                };
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = tx.closed() => return,
                }
            }
        });
        Tenants(rx)
    }

    /// Whose key this is.
    pub fn bearer(&self, key: &str) -> Bearer {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        match &*self.0.borrow() {
            None => Bearer::NotYet,
            Some(table) => table
                .get(&digest)
                .cloned()
                .map_or(Bearer::Unknown, Bearer::Tenant),
        }
    }
}

/// Why the directory was not read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Ldap(#[from] LdapError),
    #[error("the password's file: {0}")]
    Password(#[from] std::io::Error),
    #[error("it took too long")]
    Slow(#[from] tokio::time::error::Elapsed),
}

async fn read(setup: &Setup) -> Result<Table, ReadError> {
    let settings = LdapConnSettings::new().set_conn_timeout(CONNECT_WAIT);
    let (connection, mut ldap) = LdapConnAsync::with_settings(settings, &setup.url).await?;
    let driver = tokio::task::spawn_local(async move { drop(connection.drive().await) });
    let table = timeout(ANSWER_WAIT, search(&mut ldap, setup)).await;
    // Whatever came of it, the connection ends here.
    let _ = timeout(CONNECT_WAIT, ldap.unbind()).await;
    driver.abort();
    table?
}

async fn search(ldap: &mut Ldap, setup: &Setup) -> Result<Table, ReadError> {
    if let (Some(dn), Some(file)) = (&setup.bind_dn, &setup.password_file) {
        let password = std::fs::read_to_string(file)?;
        ldap.simple_bind(dn, password.trim_end_matches(['\r', '\n']))
            .await?
            .success()?;
    }
    let attributes = [setup.name_attribute.as_str(), setup.key_attribute.as_str()];
    let found = ldap
        .search(&setup.base, Scope::Subtree, &setup.filter, attributes)
        .await?;
    let mut table = Table::new();
    for entry in found.success()?.0 {
        let entry = SearchEntry::construct(entry);
        let Some(name) = values(&entry, &setup.name_attribute).next() else {
            tracing::warn!(dn = entry.dn, "a tenant without a name is left out");
            continue;
        };
        for key in values(&entry, &setup.key_attribute) {
            match digest(key) {
                Some(digest) => drop(table.insert(digest, name.as_str().into())),
                None => tracing::warn!(
                    dn = entry.dn,
                    "a key that is not a SHA-256 digest is left out"
                ),
            }
        }
    }
    Ok(table)
}

/// The values of an attribute, whose name the directory may write in its own way.
fn values<'a>(entry: &'a SearchEntry, name: &'a str) -> impl Iterator<Item = &'a String> {
    let same = entry
        .attrs
        .iter()
        .filter(move |(n, _)| n.eq_ignore_ascii_case(name));
    same.flat_map(|(_, values)| values)
}

/// 64 hexadecimal digits.
fn digest(text: &str) -> Option<[u8; 32]> {
    let text = text.trim().as_bytes();
    let mut digest = [0; 32];
    if text.len() != 64 || !text.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    for (byte, pair) in digest.iter_mut().zip(text.chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(digest)
}

#[cfg(test)]
mod tests;
