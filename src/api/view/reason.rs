//! What each outcome of a request means, and what to do about it.

use crate::core::outcome::{NotRun, Outcome, Unknown};

use super::Explanation;

impl Explanation {
    /// What an outcome says of a request: whether it ran, why, and what helps.
    pub fn of_request(id: &str, outcome: &Outcome) -> Self {
        let told = Self::new(format!("request {id}"));
        match outcome {
            Outcome::Answered => told.fact("answered", "a minion answered it"),
            Outcome::NotRun { reason, after } => {
                let told = told.fact("not-run", "it provably didn't run, so a resend is safe");
                let told = told.fact(reason.label(), not_run(*reason));
                match after {
                    Some(after) => {
                        let text =
                            format!("its caller may come back after {} ms", after.as_millis());
                        told.fact("retry-after", text)
                    }
                    None => told,
                }
            }
            Outcome::Unknown { reason } => {
                let text = "it may have run, once at most for each attempt; a resend is safe only \
                            if the service is idempotent";
                told.fact("unknown", text)
                    .fact(reason.label(), unknown(*reason))
            }
        }
    }
}

const fn not_run(reason: NotRun) -> &'static str {
    match reason {
        NotRun::BadRequest => {
            "its head isn't of the form that the callers' interface asks for; the caller must \
             correct it"
        }
        NotRun::BodyTooLarge => {
            "its body is larger than `limits.body` of this node's settings; send less, or raise \
             the limit on all nodes"
        }
        NotRun::SlowCaller => {
            "its caller sent it more slowly than `limits.read` allows; look at the caller's network"
        }
        NotRun::NoService => {
            "no such service is declared; check the first segment of the path, or apply a \
             declaration that has it"
        }
        NotRun::NoMinion => {
            "this node knew of no minion of the service that takes new work; check that its \
             minions run and announce themselves, and `egretpin status`"
        }
        NotRun::Refused => {
            "each minion that was tried refused before running it; they are full or stopping: wait, \
             or start more"
        }
        NotRun::Unreachable => {
            "none of the minions that were tried could be reached, and nothing was sent; look at \
             the minions' hosts and the network between"
        }
        NotRun::QueueFull => {
            "too many requests already waited for the service; wait, or start more minions"
        }
        NotRun::OverRate => {
            "the caller's group is over its rate; slow it down, or raise the rate in a preset"
        }
        NotRun::OverShare => {
            "the service was contended and the caller's group over its share; wait, or raise the \
             share in a preset"
        }
        NotRun::Deadline => {
            "its deadline would have passed before a minion could take it; allow it more time, or \
             start more minions"
        }
        NotRun::Stopping => "this node was stopping; send it to another entry host",
        NotRun::CutOff => {
            "it has an idempotency key, and this node was cut off and couldn't claim the key; send \
             it to another entry host"
        }
        NotRun::KeyBusy => {
            "another send of its key hadn't ended; wait for that one's answer, then send again"
        }
        NotRun::KeysFull => "the table of idempotency keys was full; send it again later",
    }
}

const fn unknown(reason: Unknown) -> &'static str {
    match reason {
        Unknown::Timeout => {
            "a minion took it and didn't answer within the deadline; look at the minion's load, or \
             raise the service's timeout"
        }
        Unknown::Truncated => {
            "the connection ended before the whole answer had come; look whether the minion failed"
        }
        Unknown::Lost => {
            "the connection broke after the request was sent, or this node lost track of it; look \
             whether the minion or the node failed"
        }
        Unknown::Mismatched => {
            "the answer was to another request; the minion must echo `Egretpin-Request`"
        }
        Unknown::Oversized => {
            "the answer was larger than `limits.answer` of this node's settings; answer less, or \
             raise the limit on all nodes"
        }
        Unknown::Malformed => "the answer wasn't well-formed HTTP; the minion must be corrected",
        Unknown::KeySpent => {
            "an earlier send of its key may have run and its answer isn't held here; find out from \
             the service whether it did before using a new key"
        }
    }
}
