//! Reads the table of tenants from an LDAP directory.

use std::time::Duration;

use ldap3::{Ldap, LdapConnAsync, LdapConnSettings, LdapError, Scope, SearchEntry};
use tokio::time::timeout;

use super::{KeyDigest, Setup, TenantTable};

/// Timeout for connecting to the directory, and for closing the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for binding and searching together.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why the directory could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error("{0}")]
    Ldap(#[from] LdapError),
    #[error("cannot read the password file: {0}")]
    Password(#[from] std::io::Error),
    #[error("binding and searching took longer than {SEARCH_TIMEOUT:?}")]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

/// Reads all tenants over a new connection, which is closed afterwards.
pub(super) async fn read(setup: &Setup) -> Result<TenantTable, ReadError> {
    let settings = LdapConnSettings::new().set_conn_timeout(CONNECT_TIMEOUT);
    let (connection, mut ldap) = LdapConnAsync::with_settings(settings, &setup.url).await?;
    let driver = tokio::task::spawn_local(async move { drop(connection.drive().await) });
    let table = timeout(SEARCH_TIMEOUT, search(&mut ldap, setup)).await;
    // The connection is closed whether the search succeeded or not.
    let _ = timeout(CONNECT_TIMEOUT, ldap.unbind()).await;
    driver.abort();
    table?
}

async fn search(ldap: &mut Ldap, setup: &Setup) -> Result<TenantTable, ReadError> {
    if let (Some(dn), Some(file)) = (&setup.bind_dn, &setup.password_file) {
        let password = std::fs::read_to_string(file)?;
        let password = password.trim_end_matches(['\r', '\n']);
        ldap.simple_bind(dn, password).await?.success()?;
    }
    let attributes = [setup.name_attribute.as_str(), setup.key_attribute.as_str()];
    let result = ldap
        .search(&setup.base, Scope::Subtree, &setup.filter, attributes)
        .await?;
    let (entries, _) = result.success()?;
    let mut table = TenantTable::new();
    for entry in entries {
        add_keys(&mut table, &SearchEntry::construct(entry), setup);
    }
    Ok(table)
}

/// Adds the key digests in a tenant's entry to the table.
fn add_keys(table: &mut TenantTable, entry: &SearchEntry, setup: &Setup) {
    let Some(name) = values(entry, &setup.name_attribute).next() else {
        tracing::warn!(
            dn = entry.dn,
            "tenant ignored: its directory entry lacks the attribute that name_attribute sets"
        );
        return;
    };
    for key in values(entry, &setup.key_attribute) {
        match parse_digest(key) {
            Some(digest) => {
                table.insert(digest, name.as_str().into());
            }
            None => tracing::warn!(
                dn = entry.dn,
                "key ignored: not a SHA-256 digest of 64 hexadecimal digits"
            ),
        }
    }
}

/// The values of an attribute. Attribute names are compared without case, as LDAP requires.
fn values<'a>(entry: &'a SearchEntry, name: &'a str) -> impl Iterator<Item = &'a String> {
    entry
        .attrs
        .iter()
        .filter(move |(attribute, _)| attribute.eq_ignore_ascii_case(name))
        .flat_map(|(_, values)| values)
}

/// Parses a digest of 64 hexadecimal digits; white space around it is ignored.
fn parse_digest(text: &str) -> Option<KeyDigest> {
    let text = text.trim().as_bytes();
    let mut digest = KeyDigest::default();
    if text.len() != 2 * digest.len() || !text.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    for (byte, pair) in digest.iter_mut().zip(text.chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(digest)
}

#[cfg(test)]
mod tests;
