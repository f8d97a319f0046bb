//! `yuccalift experiment report`: runs many cases with several seeds and writes tables and plots.
//!
//! The report names the command and the commit that it was generated with. Its plots are in a
//! folder next to it, so that both can be copied into `docs/` unchanged.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lexopt::prelude::{Long, Value, ValueExt};
use yuccalift_core::PolicyKind;

use crate::error::CommandError;
use crate::experiment::case::{ExperimentCase, find_case};
use crate::experiment::cases;
use crate::experiment::measure::{ReportField, RunReport, policy_name};
use crate::experiment::plot::{PlotLine, PlotPoint, PlotSpec, draw_plot};
use crate::experiment::runner::{RunOptions, RunOutcome, run_case};
use crate::experiment::spread::{self, SpreadReport, run_spread};

/// Number of seeds if the command line gives none.
const DEFAULT_SEEDS: u64 = 5;
/// Numbers of daemons with which the propagation of changes is measured.
const SPREAD_DAEMONS: [usize; 4] = [9, 30, 100, 300];

/// Name of the folder with the plots, next to the report.
const PLOT_FOLDER: &str = "measurements";

/// Arguments of the report.
struct ReportArgs {
    out: PathBuf,
    seeds: u64,
    duration: Option<Duration>,
    commit: Box<str>,
    cases: Vec<ExperimentCase>,
    includes_spread: bool,
}

/// All runs of one case with one policy.
struct CaseRuns {
    policy: PolicyKind,
    outcomes: Vec<RunOutcome>,
}

/// Runs the subcommand.
pub fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let args = read_args(parser)?;
    let plots = args.out.join(PLOT_FOLDER);
    std::fs::create_dir_all(&plots)
        .map_err(|error| CommandError::failed(format!("make {}", plots.display()), &error))?;
    let mut text = write_head(&args);
    let mut violation_count = 0;
    for case in &args.cases {
        let mut runs_by_policy = Vec::new();
        for policy in policies(case) {
            runs_by_policy.push(run_seeds(&args, case, policy)?);
        }
        violation_count += count_violations(&runs_by_policy);
        write_case(&mut text, case, args.duration, &runs_by_policy);
        draw_case(&plots, &mut text, case, &runs_by_policy)?;
        write_file(&args.out.join("report.md"), &text)?;
    }
    if args.includes_spread {
        violation_count += report_spread(&plots, &mut text)?;
        write_file(&args.out.join("report.md"), &text)?;
    }
    println!("{}", args.out.join("report.md").display());
    if violation_count > 0 {
        return Err(CommandError::failed(
            "report",
            &format!("{violation_count} violations"),
        ));
    }
    Ok(())
}

fn read_args(mut parser: lexopt::Parser) -> Result<ReportArgs, CommandError> {
    let mut out = None;
    let mut seeds = DEFAULT_SEEDS;
    let mut duration = None;
    let mut commit = Box::from("not given");
    let mut names: Vec<String> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("seeds") => seeds = parser.value()?.parse()?,
            Long("seconds") => duration = Some(Duration::from_secs(parser.value()?.parse()?)),
            Long("commit") => commit = parser.value()?.string()?.into(),
            Value(value) => names.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if names.is_empty() {
        names = cases::ALL.iter().map(|spec| spec.name.to_owned()).collect();
        names.push(spread::NAME.to_owned());
    }
    let count = names.len();
    names.retain(|name| name != spread::NAME);
    let includes_spread = names.len() < count;
    let cases = names.iter().map(|name| find_case(name));
    Ok(ReportArgs {
        out: out.ok_or_else(|| lexopt::Error::from("--out is missing"))?,
        seeds,
        duration,
        commit,
        cases: cases.collect::<Result<_, _>>()?,
        includes_spread,
    })
}

/// Returns the start of the report: how it was generated, without paths of the machine.
fn write_head(args: &ReportArgs) -> String {
    let mut command = String::from("yuccalift experiment report --out DIR");
    let _infallible = write!(command, " --seeds {} --commit {}", args.seeds, args.commit);
    if let Some(duration) = args.duration {
        let _infallible = write!(command, " --seconds {}", duration.as_secs());
    }
    let spread_name = args.includes_spread.then_some(spread::NAME);
    let names = args.cases.iter().map(|case| case.name.as_ref());
    for name in names.chain(spread_name) {
        let _infallible = write!(command, " {name}");
    }
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!(
        "# Measurements\n\nMade by the command below from commit {}, in one process on a machine \
         with {cores} cores.\nEach table gives the median over the seeds and the least and the \
         most of them; the plots\ntake all seeds together.\n\n```sh\n{command}\n```\n",
        args.commit
    )
}

fn policies(case: &ExperimentCase) -> Vec<PolicyKind> {
    if case.specs.iter().all(|spec| spec.compares_baseline) {
        vec![PolicyKind::Full, PolicyKind::Baseline]
    } else {
        vec![PolicyKind::Full]
    }
}

fn run_seeds(
    args: &ReportArgs,
    case: &ExperimentCase,
    policy: PolicyKind,
) -> Result<CaseRuns, CommandError> {
    let mut outcomes = Vec::new();
    for seed in 1..=args.seeds {
        eprintln!("{} {} seed {seed}", case.name, policy_name(policy));
        let options = RunOptions {
            seed,
            policy,
            duration: args.duration.unwrap_or(case.duration),
            progress: false,
        };
        outcomes.push(run_case(case, options)?);
    }
    Ok(CaseRuns { policy, outcomes })
}

fn count_violations(runs_by_policy: &[CaseRuns]) -> usize {
    let outcomes = runs_by_policy.iter().flat_map(|runs| &runs.outcomes);
    outcomes
        .map(|outcome| outcome.report.violations_total)
        .sum()
}

/// Appends the table of a case, with a row for each field.
fn write_case(
    text: &mut String,
    case: &ExperimentCase,
    duration: Option<Duration>,
    runs_by_policy: &[CaseRuns],
) {
    let seconds = duration.unwrap_or(case.duration);
    let seeds = runs_by_policy.first().map_or(0, |runs| runs.outcomes.len());
    let summary = case.specs.iter().map(|spec| spec.summary);
    let summary = summary.collect::<Vec<_>>().join("; and ");
    let _infallible = write!(
        text,
        "\n## {}\n\n{summary}. Seeds 1 to {seeds}, {} s of load each.\n\n",
        case.name,
        seconds.as_secs()
    );
    text.push_str("| figure |");
    for runs in runs_by_policy {
        let name = policy_name(runs.policy);
        let _infallible = write!(text, " {name}, median | {name}, least to most |");
    }
    text.push_str("\n|---|");
    text.push_str(&"---:|---:|".repeat(runs_by_policy.len()));
    text.push('\n');
    for name in figure_names(runs_by_policy) {
        let _infallible = write!(text, "| {name} |");
        for runs in runs_by_policy {
            let figure = FigureSummary::new(figures_named(runs, name));
            let _infallible = write!(
                text,
                " {:.3} | {:.3} to {:.3} |",
                figure.median, figure.min, figure.max
            );
        }
        text.push('\n');
    }
    write_violations(text, runs_by_policy);
}

fn write_violations(text: &mut String, runs_by_policy: &[CaseRuns]) {
    for runs in runs_by_policy {
        for RunOutcome { report, .. } in &runs.outcomes {
            let RunReport { seed, policy, .. } = report;
            for violation in &report.violations {
                let _infallible = write!(text, "\nViolation, {policy}, seed {seed}: {violation}\n");
            }
        }
    }
}

fn figure_names(runs_by_policy: &[CaseRuns]) -> Vec<&'static str> {
    let first = runs_by_policy
        .first()
        .and_then(|runs| runs.outcomes.first());
    let figures = first.map(|outcome| outcome.report.figures());
    let names = figures.unwrap_or_default().into_iter();
    names.map(|figure: ReportField| figure.name).collect()
}

fn figures_named(runs: &CaseRuns, name: &str) -> Vec<f64> {
    let figures = runs
        .outcomes
        .iter()
        .flat_map(|outcome| outcome.report.figures());
    let named = figures.filter(|figure| figure.name == name);
    named.map(|figure| figure.value).collect()
}

/// Median and range of a field over the seeds.
struct FigureSummary {
    min: f64,
    median: f64,
    max: f64,
}

impl FigureSummary {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |position: usize| values.get(position).copied().unwrap_or(f64::NAN);
        let last = values.len().saturating_sub(1);
        Self {
            min: at(0),
            median: f64::midpoint(at(last / 2), at(last.div_ceil(2))),
            max: at(last),
        }
    }
}

fn draw_case(
    out: &Path,
    text: &mut String,
    case: &ExperimentCase,
    runs_by_policy: &[CaseRuns],
) -> Result<(), CommandError> {
    let mut plots = vec![latency_plot(case, runs_by_policy)];
    plots.extend(case.specs.iter().filter_map(|spec| {
        let draw = spec.plot?;
        let lines = runs_by_policy.iter().flat_map(|runs| {
            let records: Vec<_> = runs
                .outcomes
                .iter()
                .map(|outcome| &outcome.record)
                .collect();
            draw(policy_name(runs.policy), &records)
        });
        let lines: Vec<PlotLine> = lines.collect();
        Some(PlotSpec {
            name: format!("{}-time", case.name).into(),
            title: format!("{}: service over time", case.name).into(),
            x_label: "time since the start of the load, s",
            y_label: "share answered whole in its patience",
            lines,
        })
    }));
    for plot in plots {
        let file = format!("{}.svg", plot.name);
        draw_plot(&out.join(&file), &plot)?;
        let _infallible = write!(text, "\n![{}]({PLOT_FOLDER}/{file})\n", plot.title);
    }
    Ok(())
}

/// Measures the propagation of changes with several numbers of daemons, and returns the number of
/// violated guarantees.
fn report_spread(out: &Path, text: &mut String) -> Result<usize, CommandError> {
    let mut reports = Vec::new();
    for daemons in SPREAD_DAEMONS {
        eprintln!("{} {daemons} daemons", spread::NAME);
        reports.push(run_spread(daemons, 1, spread::DEFAULT_DURATION)?);
    }
    let _infallible = write!(text, "\n## {}\n\n{}.\n\n", spread::NAME, spread::SUMMARY);
    let figures = |report: &SpreadReport| report.fields.clone();
    let names = reports.first().map(figures).unwrap_or_default();
    let names: Vec<&str> = names.iter().map(|figure| figure.name).collect();
    let _infallible = writeln!(text, "| {} |", names.join(" | "));
    let _infallible = writeln!(text, "|{}", "---:|".repeat(names.len()));
    for report in &reports {
        let values = report
            .fields
            .iter()
            .map(|figure| format!("{:.3}", figure.value));
        let values: Vec<String> = values.collect();
        let _infallible = writeln!(text, "| {} |", values.join(" | "));
    }
    for violation in reports.iter().flat_map(|report| &report.violations) {
        let _infallible = write!(text, "\nViolation: {violation}\n");
    }
    let plot = spread_plot(&reports);
    draw_plot(&out.join("config-spread.svg"), &plot)?;
    let _infallible = write!(
        text,
        "\n![{}]({PLOT_FOLDER}/config-spread.svg)\n",
        plot.title
    );
    Ok(reports.iter().map(|report| report.violations.len()).sum())
}

fn spread_plot(reports: &[SpreadReport]) -> PlotSpec {
    let line = |name: &str| PlotLine {
        label: name.into(),
        points: reports
            .iter()
            .map(|report| PlotPoint {
                x: report.figure("daemons"),
                y: report.figure(name),
            })
            .collect(),
    };
    PlotSpec {
        name: spread::NAME.into(),
        title: "time to spread a change".into(),
        x_label: "daemons",
        y_label: "time until in force, ms",
        lines: ["spread_p50_ms", "spread_p99_ms", "spread_max_ms"]
            .map(line)
            .into(),
    }
}

/// Returns the plot of latency percentiles of a case, with a line for each policy.
fn latency_plot(case: &ExperimentCase, runs_by_policy: &[CaseRuns]) -> PlotSpec {
    let lines = runs_by_policy.iter().map(|runs| {
        let records: Vec<_> = runs
            .outcomes
            .iter()
            .map(|outcome| &outcome.record)
            .collect();
        PlotLine::from_latencies(policy_name(runs.policy), &records)
    });
    PlotSpec {
        name: format!("{}-latency", case.name).into(),
        title: format!("{}: latency of searches", case.name).into(),
        x_label: "nines: 1 is p90, 2 is p99, 3 is p99.9",
        y_label: "latency, ms",
        lines: lines.collect(),
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text)
        .map_err(|error| CommandError::failed(format!("write {}", path.display()), &error))
}
