//! Whether the promises held.
//!
//! Each promise is judged from counts alone, and one that was never put to the test doesn't hold:
//! a demonstration without requests proves nothing about requests.

use serde::Serialize;

use super::tally::{Jobs, Keys, Presets, Requests, Rollout, Tally, Unkeyed, Wave};
use crate::api::Millis;

/// The longest that a change may take to be in force, in milliseconds.
const IN_FORCE: Millis = 10_000;
/// Nodes of the demonstration.
const NODES: u64 = 6;

/// One promise and whether it held.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Verdict {
    /// The promise.
    pub promise: &'static str,
    /// Whether it was tested and held.
    pub held: bool,
    /// What was counted.
    pub count: String,
}

/// Judges every promise.
pub fn judge(tally: &Tally) -> Vec<Verdict> {
    vec![
        steps(tally),
        own_answers(&tally.requests),
        accounted(&tally.requests),
        keys(&tally.keys),
        unkeyed(&tally.unkeyed),
        jobs(&tally.jobs),
        in_force(&tally.measures.rollouts),
        one_preset(&tally.presets),
        no_return(&tally.presets),
        wave_hosts(&tally.wave),
        wave_requests(&tally.wave.requests),
        budgets(tally),
        killed(&tally.kill),
        leaving(tally.late_runs),
        stop(tally),
        cut(&tally.cut),
        measured(tally),
    ]
}

fn verdict(promise: &'static str, held: bool, count: String) -> Verdict {
    Verdict {
        promise,
        held,
        count,
    }
}

fn steps(tally: &Tally) -> Verdict {
    let done = tally.steps.iter().filter(|step| step.done).count();
    let all = tally.steps.len();
    let late: Vec<_> = tally.steps.iter().filter(|step| !step.done).collect();
    let mut count = format!("{done} of {all}");
    for step in late {
        count.push_str(&format!("; not in time: {}", step.what));
    }
    verdict("every step ends in time", all > 0 && done == all, count)
}

fn own_answers(requests: &Requests) -> Verdict {
    let held = requests.answered > 0 && requests.wrong == 0;
    let count = format!("{} answered, {} wrong", requests.answered, requests.wrong);
    verdict(
        "a caller receives the whole answer to its own request",
        held,
        count,
    )
}

fn accounted(requests: &Requests) -> Verdict {
    let (not_run, unknown) = (requests.all_not_run(), requests.all_unknown());
    let told = requests.answered + requests.wrong + not_run + unknown;
    let held = requests.sent > 0 && told == requests.sent && requests.silent == 0;
    let count = format!(
        "{} sent: {} answered, {not_run} not run, {unknown} unknown, {} without a word",
        requests.sent, requests.answered, requests.silent
    );
    verdict(
        "every request is told answered, not run or unknown",
        held,
        count,
    )
}

/// What ran beyond the answered can only be of unknown outcome, else something ran that was said
/// not to have run, or ran twice.
fn runs_agree(requests: &Requests, runs: u64) -> bool {
    let most = requests.answered + requests.all_unknown() + requests.silent;
    requests.answered > 0 && (requests.answered..=most).contains(&runs)
}

fn keys(keys: &Keys) -> Verdict {
    let held = keys.twice == 0 && runs_agree(&keys.requests, keys.ran);
    let count = format!(
        "{} keys sent, {} answered, {} not run, {} unknown; {} ran, {} ran twice",
        keys.requests.sent,
        keys.requests.answered,
        keys.requests.all_not_run(),
        keys.requests.all_unknown(),
        keys.ran,
        keys.twice
    );
    verdict(
        "a keyed request that isn't idempotent runs at most once",
        held,
        count,
    )
}

fn unkeyed(unkeyed: &Unkeyed) -> Verdict {
    let held = runs_agree(&unkeyed.requests, unkeyed.runs);
    let count = format!(
        "{} sent, {} answered, {} not run, {} unknown; {} runs",
        unkeyed.requests.sent,
        unkeyed.requests.answered,
        unkeyed.requests.all_not_run(),
        unkeyed.requests.all_unknown(),
        unkeyed.runs
    );
    verdict(
        "one without a key runs at most once, and not if told so",
        held,
        count,
    )
}

fn jobs(jobs: &Jobs) -> Verdict {
    let all = jobs.accepted;
    let whole = jobs.once == all && jobs.succeeded == all;
    let held = all > 0 && whole && jobs.more == 0 && jobs.doubled == 0;
    let count = format!(
        "{all} accepted, {} begun once, {} more than once, {} succeeded; {} resends made a second job",
        jobs.once, jobs.more, jobs.succeeded, jobs.doubled
    );
    verdict("no accepted job is lost and none begins twice", held, count)
}

fn in_force(rollouts: &[Rollout]) -> Verdict {
    let slow = |rollout: &&Rollout| rollout.took > IN_FORCE;
    let late = rollouts.iter().filter(slow).count();
    let everywhere = rollouts.iter().any(|rollout| rollout.nodes == NODES);
    let longest = rollouts.iter().map(|r| r.took).max().unwrap_or(0);
    let count = format!(
        "{} changes, the slowest in {longest} ms, {late} later than {IN_FORCE} ms",
        rollouts.len()
    );
    verdict(
        "a change is in force everywhere within seconds",
        everywhere && late == 0,
        count,
    )
}

fn one_preset(presets: &Presets) -> Verdict {
    let held = presets.looks > 0 && presets.clashes == 0;
    let count = format!(
        "{} times at once in {} looks",
        presets.clashes, presets.looks
    );
    verdict("no two nodes act under different presets", held, count)
}

fn no_return(presets: &Presets) -> Verdict {
    let held = presets.looks > 0 && presets.reversions == 0;
    let count = format!("{} in {} looks", presets.reversions, presets.looks);
    verdict("a configuration in force never reverts", held, count)
}

fn wave_hosts(wave: &Wave) -> Verdict {
    let held = wave.hosts > 0 && wave.restarted == wave.hosts;
    let count = format!(
        "{} of {} restarted in {} ms",
        wave.restarted, wave.hosts, wave.took
    );
    verdict("a wave maintains every host of its pool", held, count)
}

fn wave_requests(requests: &Requests) -> Verdict {
    let whole = requests.answered == requests.sent;
    let count = format!(
        "{} sent during it, {} answered, {} not run, {} unknown",
        requests.sent,
        requests.answered,
        requests.all_not_run(),
        requests.all_unknown()
    );
    verdict(
        "maintenance costs no request",
        requests.sent > 0 && whole,
        count,
    )
}

fn budgets(tally: &Tally) -> Verdict {
    let held = tally.budget_looks > 0 && tally.budget_breaks == 0;
    let count = format!("{} in {} looks", tally.budget_breaks, tally.budget_looks);
    verdict("availability budgets hold", held, count)
}

fn killed(requests: &Requests) -> Verdict {
    let told = requests.answered + requests.all_not_run() + requests.all_unknown();
    let held = requests.answered > 0 && told == requests.sent;
    let count = format!(
        "{} sent, {} answered, {} not run, {} unknown",
        requests.sent,
        requests.answered,
        requests.all_not_run(),
        requests.all_unknown()
    );
    verdict("a killed minion costs no caller the truth", held, count)
}

fn leaving(late: Option<u64>) -> Verdict {
    let count = match late {
        Some(late) => format!("{late} runs from three seconds after it said so"),
        None => "not tested".into(),
    };
    verdict("a leaving minion gets no new work", late == Some(0), count)
}

fn stop(tally: &Tally) -> Verdict {
    let requests = &tally.stop;
    let (unknown, silent) = (requests.all_unknown(), requests.silent);
    let uncut = requests.answered > 0 && unknown == 0 && silent == 0;
    let count = match tally.stopped {
        Some(node) => format!(
            "node {node} stopped; {} sent, {} answered, {unknown} unknown, {silent} cut",
            requests.sent, requests.answered
        ),
        None => "no node stopped".into(),
    };
    let held = uncut && tally.stopped.is_some();
    verdict("a planned stop cuts no request in flight", held, count)
}

fn cut(requests: &Requests) -> Verdict {
    let whole = requests.sent > 0 && requests.answered == requests.sent;
    let count = format!(
        "{} sent there without a key, {} answered",
        requests.sent, requests.answered
    );
    verdict(
        "a data centre that is cut off goes on serving",
        whole,
        count,
    )
}

fn measured(tally: &Tally) -> Verdict {
    let measures = &tally.measures;
    let known = [
        measures.buffer.is_some(),
        !measures.rollouts.is_empty(),
        measures.moves.is_some(),
    ];
    let count = known.iter().filter(|known| **known).count();
    verdict(
        "buffer cost, roll-out time and moves are measured",
        count == known.len(),
        format!("{count} of {}", known.len()),
    )
}
