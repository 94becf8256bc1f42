//! `nickelgw rehearse`: a day's traffic and faults on child processes, judged from what crossed the sockets.

mod certificates;
mod clients;
mod days;
mod faults;
mod node_settings;
mod outcome;
mod performance;
mod recorded_rules;
mod stage;
mod summary;

use crate::error::{about, CommandError};
use days::SelectedDay;
use nickelgw_rehearsal::report::{render_page, DayReport};
use nickelgw_settings::proto::Retries;
use nickelgw_settings::Day;
use outcome::Outcome;
use performance::NodeVariants;
use smol::LocalExecutor;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

pub use summary::audit;

/// Allowed for between an action and its record; the driver itself must not stall for longer.
const SLACK_S: f64 = 0.25;
/// A retry budget that admits every retry.
const UNLIMITED_RETRIES: f64 = 1e9;
/// Folders of a run, which are emptied before it.
const RUN_FOLDERS: [&str; 3] = ["records", "logs", "certs"];

#[derive(clap::Args)]
pub struct Rehearse {
    /// The day, in protobuf text format.
    day: Option<PathBuf>,
    /// A day of the bench, as `lbsim draw` prints it, scaled to this machine.
    #[arg(long, conflicts_with = "day")]
    from_bench: Option<PathBuf>,
    /// Every day of a folder, one after the other, and one page of all.
    #[arg(long, conflicts_with_all = ["day", "from_bench"])]
    all: Option<PathBuf>,
    /// Writes what `--from-bench` made of the day to this file, and plays nothing.
    #[arg(long, requires = "from_bench")]
    write_day: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for report.json, records and logs; without it only the table is shown.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Clients ask again so often, at once, whatever the day and the answers say.
    #[arg(long)]
    retries: Option<u32>,
    /// Tenants are let in by their parts when there is not enough for all.
    #[arg(long)]
    fair: bool,
    /// Nodes keep nothing over restarts.
    #[arg(long)]
    cold: bool,
    /// Nodes let every retry in.
    #[arg(long)]
    no_retry_budget: bool,
}

impl Rehearse {
    pub fn run(self) -> Result<ExitCode, CommandError> {
        let root = self.report.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("nickelgw-rehearsal-{}", std::process::id()))
        });
        let mut outcomes = Vec::new();
        for day in self.selected_days()? {
            outcomes.push(self.run_day(day, &root)?);
        }
        if self.report.is_some() {
            let reports: Vec<DayReport> = outcomes.iter().map(Outcome::report).collect();
            std::fs::write(root.join("report.html"), render_page("Rehearsal", &reports))?;
        }
        let has_no_breaks = outcomes.iter().all(|outcome| outcome.verdict.violations.is_empty());
        Ok(if has_no_breaks { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn run_day(&self, selected: SelectedDay, root: &Path) -> Result<Outcome, CommandError> {
        let has_several_days = self.all.is_some();
        let dir = match has_several_days {
            true => root.join(selected.day.name.replace(' ', "-")),
            false => root.to_path_buf(),
        };
        let outcome = self.perform(selected, &dir);
        if self.report.is_none() {
            let _ = std::fs::remove_dir_all(&dir);
        }
        let outcome = outcome?;
        if has_several_days {
            summary::print_line(&outcome);
        } else {
            summary::print_outcome(&outcome);
        }
        if self.report.is_some() {
            let report = serde_json::to_string_pretty(&outcome.json())?;
            std::fs::write(dir.join("report.json"), report)?;
        }
        Ok(outcome)
    }

    fn perform(&self, selected: SelectedDay, dir: &Path) -> Result<Outcome, CommandError> {
        let SelectedDay { mut day, notes } = selected;
        self.apply_overrides(&mut day);
        prepare_folder(dir).map_err(about(dir.display()))?;
        let executor = Rc::new(LocalExecutor::new());
        let variants = NodeVariants { without_store: self.cold, fair_admission: self.fair };
        let performance =
            performance::perform(day.clone(), self.seed, variants, dir.to_path_buf(), executor.clone());
        let longest_stall_s = smol::block_on(executor.run(performance))?;
        let records = nickelgw_audit::read_records(&dir.join("records"))?;
        Ok(Outcome::from_records(&records, day, self.seed, notes, longest_stall_s))
    }

    fn apply_overrides(&self, day: &mut Day) {
        if let Some(retries) = self.retries {
            for traffic in &mut day.traffic {
                traffic.retries = Some(retries);
                traffic.impatient = Some(true);
            }
        }
        if self.no_retry_budget {
            let (share, burst) = (Some(UNLIMITED_RETRIES), Some(UNLIMITED_RETRIES));
            day.retries = Some(Retries { share, burst, ..Default::default() });
        }
    }
}

/// Makes the folders of a run, without anything of an earlier one.
fn prepare_folder(dir: &Path) -> std::io::Result<()> {
    for name in RUN_FOLDERS {
        let folder = dir.join(name);
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(folder)?;
    }
    // What the nodes of an earlier run kept.
    for entry in std::fs::read_dir(dir)?.flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|extension| extension == "store" || extension == "list") {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}
