//! `nickelgw rehearse`: runs a day's traffic and faults against child processes, and audits the records of
//! what crossed their sockets. A day is a scripted scenario.

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

use crate::error::{with_context, CommandError};
use days::SelectedDay;
use nickelgw_rehearsal::report::{render_page, DayReport};
use nickelgw_settings::proto::Retries;
use nickelgw_settings::Day;
use outcome::Outcome;
use performance::NodeOverrides;
use smol::LocalExecutor;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

pub use summary::audit;

/// Tolerated delay between an action and its record; the driver itself must not stall for longer.
const SLACK_S: f64 = 0.25;
/// Share and burst of a retry budget that admits every retry.
const UNLIMITED_RETRIES: f64 = 1e9;
/// Folders of a run, which are emptied before it starts.
const RUN_FOLDERS: [&str; 3] = ["records", "logs", "certs"];

#[derive(clap::Args)]
pub struct Rehearse {
    /// Settings file of the day, in protobuf text format.
    day: Option<PathBuf>,
    /// Day of the simulator's bench, as `lbsim draw` prints it; it is scaled to this machine.
    #[arg(long, conflicts_with = "day")]
    from_bench: Option<PathBuf>,
    /// Folder of which every day is run, one after the other, with one report page for all.
    #[arg(long, conflicts_with_all = ["day", "from_bench"])]
    all: Option<PathBuf>,
    /// Writes the day that `--from-bench` converted to this file, and runs nothing.
    #[arg(long, requires = "from_bench")]
    write_day: Option<PathBuf>,
    /// Seed of the traffic, the script of faults and the nodes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for report.json, records and logs; without it only the table is printed.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Number of retries of each client, in place of the day's own setting; clients ignore Retry-After.
    #[arg(long)]
    retries: Option<u32>,
    /// Nodes admit tenants by their shares when there is not enough capacity for all.
    #[arg(long)]
    fair: bool,
    /// Nodes run without a store, so that they lose its contents when they restart.
    #[arg(long)]
    cold: bool,
    /// Nodes admit every retry.
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
        let has_no_violations = outcomes.iter().all(|outcome| outcome.verdict.violations.is_empty());
        Ok(if has_no_violations { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn run_day(&self, selected: SelectedDay, root: &Path) -> Result<Outcome, CommandError> {
        let has_several_days = self.all.is_some();
        let dir = match has_several_days {
            true => root.join(selected.day.name.replace(' ', "-")),
            false => root.to_path_buf(),
        };
        let outcome = self.run_and_audit(selected, &dir);
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

    fn run_and_audit(&self, selected: SelectedDay, dir: &Path) -> Result<Outcome, CommandError> {
        let SelectedDay { mut day, notes } = selected;
        self.apply_overrides(&mut day);
        prepare_folder(dir).map_err(with_context(dir.display()))?;
        let executor = Rc::new(LocalExecutor::new());
        let overrides = NodeOverrides { without_store: self.cold, fair_admission: self.fair };
        let day_run =
            performance::run_day(day.clone(), self.seed, overrides, dir.to_path_buf(), executor.clone());
        let longest_stall_s = smol::block_on(executor.run(day_run))?;
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

/// Creates the folders of a run, and removes what an earlier run left.
fn prepare_folder(dir: &Path) -> std::io::Result<()> {
    for name in RUN_FOLDERS {
        let folder = dir.join(name);
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(folder)?;
    }
    // Stores and endpoint lists that the nodes of an earlier run kept.
    for entry in std::fs::read_dir(dir)?.flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|extension| extension == "store" || extension == "list") {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}
