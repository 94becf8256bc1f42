//! Selects the days that a rehearsal runs: a settings file, a converted day of the simulator, or all files of
//! a folder.

use super::Rehearse;
use crate::error::{with_context, CommandError};
use nickelgw_rehearsal::core::simulator_day::{convert, ConvertedDay, MachineLimits};
use nickelgw_settings::Day;
use std::path::{Path, PathBuf};

/// Extension of day files.
const DAY_EXTENSION: &str = "txtpb";
/// Stem of the name of the file that other days build on and that is not a day by itself.
const BASE_NAME: &str = "base";

/// A day to rehearse.
pub(super) struct SelectedDay {
    pub(super) day: Day,
    /// Notes on the conversion of a simulator day, for the report.
    pub(super) notes: Vec<String>,
}

fn load(file: &Path) -> Result<SelectedDay, CommandError> {
    let day = nickelgw_settings::load_day(file).map_err(CommandError::from_settings)?;
    Ok(SelectedDay { day, notes: Vec::new() })
}

fn is_day_file(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == DAY_EXTENSION)
        && file.file_stem().is_some_and(|name| name != BASE_NAME)
}

fn load_folder(dir: &Path) -> Result<Vec<SelectedDay>, CommandError> {
    let entries = std::fs::read_dir(dir).map_err(with_context(dir.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|file| is_day_file(file));
    files.sort();
    files.iter().map(|file| load(file)).collect()
}

/// Converts a day of the simulator, and prints the notes on what was scaled.
fn convert_file(file: &Path) -> Result<ConvertedDay, CommandError> {
    let text = std::fs::read_to_string(file).map_err(with_context(file.display()))?;
    let json = serde_json::from_str(&text).map_err(with_context(file.display()))?;
    let converted = convert(&json, MachineLimits::default())
        .map_err(with_context(format!("{}: not a day of the simulator's bench", file.display())))?;
    converted.notes.iter().for_each(|note| println!("{note}"));
    Ok(converted)
}

impl Rehearse {
    /// Returns the days to run; empty if the day was only to be written to a file.
    pub(super) fn selected_days(&self) -> Result<Vec<SelectedDay>, CommandError> {
        if let Some(dir) = &self.all {
            return load_folder(dir);
        }
        if let Some(file) = &self.from_bench {
            return self.converted_day(file);
        }
        match &self.day {
            Some(file) => Ok(vec![load(file)?]),
            None => {
                Err(CommandError("no day given: expected a file, --from-bench FILE, or --all FOLDER".into()))
            }
        }
    }

    fn converted_day(&self, file: &Path) -> Result<Vec<SelectedDay>, CommandError> {
        let ConvertedDay { day, notes } = convert_file(file)?;
        let text = nickelgw_settings::day_to_text(&day);
        nickelgw_settings::parse_day("converted day", &text).map_err(CommandError::from_settings)?;
        if let Some(target) = &self.write_day {
            std::fs::write(target, text)?;
            return Ok(Vec::new());
        }
        Ok(vec![SelectedDay { day, notes }])
    }
}
