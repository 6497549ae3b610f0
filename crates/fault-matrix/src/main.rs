//! The command `tindock-fault-matrix`.

use std::process::ExitCode;
use tindock_fault_matrix::command;

/// Exit code: the tool itself failed.
const FAILED: u8 = 1;
/// Exit code: a scenario failed or could not be run.
const BROKEN: u8 = 3;

fn main() -> ExitCode {
    match command::run(&command::command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("tindock-fault-matrix: {error}");
            ExitCode::from(FAILED)
        }
    }
}
