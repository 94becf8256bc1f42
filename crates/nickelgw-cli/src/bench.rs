//! `nickelgw bench`: to come in this file's place.
use crate::Unusable;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct Bench {}

impl Bench {
    pub fn run(self) -> Result<ExitCode, Unusable> {
        Err(Unusable("not built".into()))
    }
}
