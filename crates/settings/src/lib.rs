//! The settings of a site, a JSON object that has the same form in a simulator's messages and in a
//! router's configuration file. A site is a group of routers, with the endpoints, request classes
//! and zones that they share.
//!
//! [`SiteSettings`] decodes the object; [`SiteSettings::policy_settings`] checks it and converts it
//! to the policy's types. The JSON keys are fixed by the simulator's protocol. Where a Rust field
//! has another name, such as `router_count` for `balancers`, an attribute gives the key.

mod bounds;
mod error;
mod policy_settings;
mod site;

pub use error::{OutOfRange, SettingsError};
pub use site::{ClassSettings, LoadReportSettings, Permissions, SiteSettings, TenantSettings};
