//! Why a benchmark has no figures.

use crate::scenario_files::ReadScenarioError;
use crate::socket_comparison::ComparisonError;
use cluster_trace::plan::PlanError;
use cluster_trace::{OpenError, RejectedRow};
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a benchmark has no figures.
#[derive(Debug, Error)]
pub enum BenchmarkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    OpenTrace(#[from] OpenError),
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// A row that the benchmark itself has written.
    #[error("generated row: {0}")]
    RejectedRow(RejectedRow),
    #[error("the trace layout `{0}` is missing")]
    MissingLayout(&'static str),
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Scenario(#[from] ReadScenarioError),
    #[error(transparent)]
    Comparison(#[from] ComparisonError),
    #[error("{}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
}
