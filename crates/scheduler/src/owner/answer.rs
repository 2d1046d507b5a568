//! Answers of an owner to other entries' questions.

use super::cancellation::{ReceivedCancellation, Source};
use super::{Owner, release};
use crate::admission;
use celerythread_wire::job::{Answer, Question};

impl Owner {
    /// Answers a question of another entry or of this entry's HTTP interface; none while the cell
    /// is not loaded, or while it can't tell.
    pub(crate) fn answer(&self, question: &Question) -> Option<Answer> {
        if self.is_stopped() || self.cell.lock().is_none() {
            return None;
        }
        match question {
            Question::Accepted { id, row, .. } => {
                self.add_job(*id, row, None);
                Some(admission::acknowledge(&self.node))
            }
            Question::Admit { id, bytes, .. } => {
                Some(Answer::Admitted(admission::admit(self, *id, *bytes)))
            }
            Question::Cancelled { id, .. } => {
                self.cancel_job(*id, Source::Message, &ReceivedCancellation::of_stored_job());
                Some(Answer::Noted)
            }
            Question::CancelledEarly { id, row, version, .. } => {
                let notice = ReceivedCancellation::read(self, id, row, *version);
                self.cancel_job(*id, Source::Message, &notice);
                Some(Answer::Noted)
            }
            Question::State { id, origin, .. } => self
                .with(|cell| {
                    cell.is_state_known(id).then(|| Answer::State(cell.state_for(id, origin)))
                })
                .flatten(),
            // Any entry answers these, not only the owner.
            Question::Submit { .. } | Question::Configuration { .. } => None,
            Question::Load { .. } => release::load(self, None).map(Answer::Load),
            Question::Release { machines, token, without_row, .. } => {
                let minions: Vec<&str> = machines.iter().map(|(_, id)| id.as_str()).collect();
                release::answer(self, &minions, *token, *without_row)
            }
            Question::Pending { queue, .. } => {
                self.with(|cell| Answer::Pending(cell.queued_jobs(queue) as u32))
            }
        }
    }
}
