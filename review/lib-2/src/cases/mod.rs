//! The cases.

mod burst;
mod choices;
mod gone;
mod memory;
mod pipeline;
mod settings;
mod shutdown;
mod slow;
mod view;

use crate::{Context, Verdict};

pub fn run(case: &str, context: &Context) -> Verdict {
    match case {
        "burst" => burst::run(context),
        "choices" => choices::run(context),
        "memory" => memory::run(context),
        "slow" => slow::run(context),
        "gone" => gone::run(context),
        "view" => view::run(context),
        "settings" => settings::run(context),
        "shutdown" => shutdown::run(context),
        "pipeline" => pipeline::run(context),
        _ => Err(std::io::Error::other(format!("there is no case {case}"))),
    }
}
