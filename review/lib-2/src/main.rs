//! Runs one case: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod discovery;
mod http;
mod record;
mod router;
mod worker;
mod xds;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::time::Duration;

use record::Record;

/// What a case needs to run.
pub struct Context {
    /// The root of the repository.
    pub root: PathBuf,
    /// A private folder for configuration files and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub record: Record,
}

/// The result of a case: whether the rule held.
pub type Verdict = std::io::Result<bool>;

const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    exit(run(case, Path::new(folder)));
}

fn run(case: &str, case_folder: &Path) -> i32 {
    let Ok(case_folder) = case_folder.canonicalize() else {
        eprintln!("there is no folder {}", case_folder.display());
        return 2;
    };
    let Some(root) = case_folder.parent().and_then(Path::parent) else {
        return 2;
    };
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    let record = match Record::create(&case_folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return 2;
        }
    };
    let context = Context {
        root: root.to_path_buf(),
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: record.clone(),
    };
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("cannot make a temporary folder: {error}");
        return 2;
    }
    record.say(format!(
        "case {case}, {} the disruption",
        if context.trouble { "with" } else { "without" }
    ));
    let case = case.to_owned();
    let (sender, verdicts) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let verdict = std::panic::catch_unwind(|| cases::run(&case, &context));
        let verdict = verdict.unwrap_or_else(|_| Err(std::io::Error::other("a stand-in panicked")));
        let _ = sender.send(verdict);
    });
    let code = match verdicts.recv_timeout(TIME_LIMIT) {
        Ok(Ok(true)) => {
            record.say("verdict: the rule held");
            0
        }
        Ok(Ok(false)) => {
            record.say("verdict: the rule was broken");
            1
        }
        Ok(Err(error)) => {
            record.say(format!("verdict: the case could not run: {error}"));
            2
        }
        Err(_) => {
            record.say("verdict: the case could not run: it took too long");
            router::kill_all();
            2
        }
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("kept: {}", folder.display());
    }
    code
}
