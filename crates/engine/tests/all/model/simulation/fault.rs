//! The faults of the simulation, which are injected at calls of an owner.

use super::takeover::Departure;
use super::{
    CALL_DELAY, MINION_IDS, OUTAGE_DURATION, PARTITION_DURATION, PAUSE_DURATION, Simulation,
};
use crate::model::owner::{Answer, Call};
use celerythread_engine::cell::Refusal;
use strum::VariantArray;

/// A fault injected at a call.
#[derive(Clone, Copy, Debug, VariantArray)]
pub(crate) enum Fault {
    /// The call is lost.
    Lost,
    /// The call is executed, but its answer is lost.
    AnswerLost,
    /// The call is executed seconds later, and its answer is lost.
    Delayed,
    /// The owner crashes before it sends the call.
    KilledBefore,
    /// The owner crashes after the call is executed.
    KilledAfter,
    /// The owner pauses until every lease has expired, then sends the call.
    Paused,
    /// The minion crashes and comes back after a delay.
    Crash,
    /// The minion restarts immediately under the same id.
    Restart,
    /// The minion is disconnected from all entries, but continues its runs.
    Partitioned,
    /// The owner is disconnected from the table and from all minions but one.
    Isolated,
    /// The table is unavailable.
    Outage,
    /// The owner and a minion are disconnected from the table, from all other minions and from all
    /// other entries.
    ZoneCut,
    /// The owner stops and hands its cell over.
    HandedOver,
    /// The owner crashes, and the next process of its instance deletes its row.
    Replaced,
}

impl Simulation {
    /// Makes a call, with its fault if there is one; false if the owner makes no further call now.
    pub(super) fn make_call(&mut self, index: usize, call: Call) -> bool {
        if self.owners[index].is_forbidden(&call, self.now) {
            self.owners[index].handle_answer(&call, Answer::Refused(Refusal::Unhealthy), self.now);
            return true;
        }
        let call = match call {
            Call::Renew { sent } => Call::Renew { sent: sent.or(Some(self.now)) },
            call => call,
        };
        let token = self.owners[index].token;
        let fault = self.faults.get(&self.call_count).copied();
        self.begin_loss(call.minion());
        self.call_count += 1;
        if self.is_poll_held(&call) {
            return true;
        }
        let answer = match fault {
            Some(Fault::Lost) => Answer::Unknown,
            Some(Fault::AnswerLost) => {
                self.execute(token, &call);
                Answer::Unknown
            }
            Some(Fault::Delayed) => {
                let receiver = self.incarnation_of(call.minion());
                self.delayed_calls.push((self.now + CALL_DELAY, token, call.clone(), receiver));
                Answer::Unknown
            }
            Some(Fault::KilledBefore) => {
                self.record(|| format!("owner {token} killed before {call:?}"));
                self.owners[index].is_stopped = true;
                return false;
            }
            Some(Fault::KilledAfter) => {
                self.record(|| format!("owner {token} killed after {call:?}"));
                self.execute(token, &call);
                self.owners[index].is_stopped = true;
                return false;
            }
            Some(Fault::Paused) => {
                self.record(|| format!("owner {token} paused before {call:?}"));
                let owner = &mut self.owners[index];
                owner.paused_until = Some(self.now + PAUSE_DURATION);
                owner.calls.push_front(call);
                return false;
            }
            Some(Fault::Crash) => {
                self.crash(call.minion());
                self.execute(token, &call)
            }
            Some(Fault::Restart) => {
                if let Some(name) = self.remove_minion(call.minion()) {
                    self.start_minion(&name);
                }
                self.execute(token, &call)
            }
            Some(Fault::Partitioned) => {
                let minion = call.minion().unwrap_or(MINION_IDS[0].into());
                self.partitioned_until.insert(minion, self.now + self.partition_duration);
                self.execute(token, &call)
            }
            Some(Fault::Isolated) => {
                let minion = call.minion().unwrap_or(MINION_IDS[0].into());
                self.owners[index].isolation = Some((self.now + PARTITION_DURATION, minion));
                Answer::Unknown
            }
            Some(Fault::ZoneCut) => {
                let minion = call.minion().unwrap_or(MINION_IDS[0].into());
                let until = self.now + PARTITION_DURATION;
                self.zone_cuts.insert(minion.clone(), (token, until));
                self.owners[index].isolation = Some((until, minion));
                Answer::Unknown
            }
            Some(Fault::HandedOver) => {
                self.record(|| format!("owner {token} hands over before {call:?}"));
                let is_complete = self.owners[index].cell.is_takeover_complete(self.now);
                self.end_owner(index, Departure::HandedOver { is_complete });
                return false;
            }
            Some(Fault::Replaced) => {
                self.record(|| format!("owner {token} is replaced before {call:?}"));
                self.end_owner(index, Departure::Replaced);
                return false;
            }
            Some(Fault::Outage) => {
                self.outage_until = self.now + OUTAGE_DURATION;
                self.execute(token, &call)
            }
            None if !self.owners[index].can_reach(call.minion(), self.now) => Answer::Unknown,
            None => self.execute(token, &call),
        };
        if !matches!(answer, Answer::Unknown | Answer::OtherIncarnation) {
            self.record_clock(index, &call);
        }
        let recorded_answer = self.timeline.as_ref().map(|_| answer.clone());
        self.owners[index].handle_answer(&call, answer, self.now);
        if let Some(answer) = recorded_answer {
            self.record_call(index, &call, fault, &answer);
        }
        !self.owners[index].is_stopped
    }

    /// Ends an owner, and lets another entry take over if the table records the departure.
    fn end_owner(&mut self, index: usize, departure: Departure) {
        let owner = &mut self.owners[index];
        owner.is_stopped = true;
        let reaches_table = owner.can_reach(None, self.now) && self.now >= self.outage_until;
        if reaches_table && owner.token == self.table.token {
            self.take_over(departure);
        }
    }
}
