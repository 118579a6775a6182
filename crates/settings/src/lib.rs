//! The settings of a site: the same object on the simulator's wire and in a router's configuration
//! file.
//!
//! [`SiteSettings`] decodes the object; [`SiteSettings::policy_settings`] checks it and gives it in
//! the policy's own types. Keys keep the spelling that the protocol gives them, fields have the
//! field's terms.

mod bounds;
mod error;
mod policy_settings;
mod site;

pub use error::{OutOfRange, SettingsError};
pub use site::{Allowed, ClassSettings, Named, Report, SiteSettings};
