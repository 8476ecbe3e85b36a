//! Errors that prevent a benchmark from producing results.

use crate::scenario_files::ReadScenarioError;
use crate::socket_comparison::ComparisonError;
use cluster_trace::plan::PlanError;
use cluster_trace::{OpenError, RejectedRow};
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that prevents a benchmark from producing results.
#[derive(Debug, Error)]
pub enum BenchmarkError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    OpenTrace(#[from] OpenError),
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// The trace reader rejected a row that the benchmark generated.
    #[error("trace reader rejected a generated row: {0}")]
    RejectedRow(RejectedRow),
    #[error("trace layout `{0}` is not defined")]
    UndefinedLayout(&'static str),
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Scenario(#[from] ReadScenarioError),
    #[error(transparent)]
    Comparison(#[from] ComparisonError),
    #[error("failed to measure the program {}: {source}", program.display())]
    Program { program: PathBuf, source: io::Error },
}
