//! The rows of the module's table of workloads, by name. A task keeps the row under which it came, so a workload that
//! changes gets another row, and one that is dropped keeps its own until its last task is over.

use std::rc::Rc;
use std::time::Duration;
use tindock::types::{PolicySettings, Workload};
use tindock_berth::Words;

/// The outside words that a task's head may name, the workloads by row; a row without a name takes none.
#[derive(Clone, Debug, Default)]
pub struct TaskNames {
    pub workloads: Vec<Option<Rc<str>>>,
    pub customers: Vec<String>,
}

impl TaskNames {
    pub fn row(&self, name: &str) -> Option<usize> {
        self.workloads.iter().position(|row| row.as_deref() == Some(name))
    }
}

#[derive(Clone, Debug, Default)]
pub struct WorkloadTable {
    pub names: Vec<Option<Rc<str>>>,
    pub table: Vec<Workload>,
    pub customers: Vec<String>,
    /// The longest time after which clients may be asked to come back, if they may.
    pub max_retry_after: Option<Duration>,
    /// Where it stands among the schedulers: `members`, `position` and `zone` of the start.
    membership: (usize, usize, usize),
}

impl WorkloadTable {
    pub fn new(settings: &PolicySettings, words: &Words) -> Self {
        let names = words.workloads.iter().map(|name| Some(name.as_str().into())).collect();
        let (table, customers) = (settings.workloads.clone(), words.customers.clone());
        let max_retry_after = settings.max_retry_after;
        WorkloadTable { names, table, customers, max_retry_after, membership: (settings.members, settings.position, settings.zone) }
    }

    /// The names by which tasks are taken now.
    pub fn task_names(&self) -> TaskNames {
        TaskNames { workloads: self.names.clone(), customers: self.customers.clone() }
    }

    /// The sheet of a new file with the rows of this table. What sockets and workers stand on is as it was at the start.
    pub fn settings(&self, settings: PolicySettings) -> PolicySettings {
        let (members, position, zone) = self.membership;
        PolicySettings { workloads: self.table.clone(), members, position, zone, ..settings }
    }

    /// Takes in what a new file says. Gives for each row the one before whose figures it goes on with, none for
    /// one that begins anew.
    pub fn reconfigure(
        &mut self,
        names: &[String],
        table: &[Workload],
        busy: impl Fn(usize) -> bool,
    ) -> Vec<Option<usize>> {
        let before = std::mem::take(&mut self.names);
        let mut from: Vec<_> = (0..before.len()).map(Some).collect();
        self.names.resize(before.len(), None);
        let max_assignments = table.iter().map(|row| row.max_assignments).max().unwrap_or(1);
        for (name, row) in names.iter().zip(table) {
            let known = before.iter().position(|n| n.as_deref() == Some(name.as_str()));
            let free = |at: &usize| self.names[*at].is_none() && before[*at].is_none() && !busy(*at);
            let at = match known {
                Some(at) if self.table[at] == *row || !busy(at) => at,
                _ => (0..before.len()).find(free).unwrap_or(self.names.len()),
            };
            if at == self.names.len() {
                self.names.push(None);
                self.table.push(row.clone());
                from.push(None);
            }
            (self.names[at], from[at]) = (Some(name.as_str().into()), known);
            self.table[at] = row.clone();
        }
        for (row, name) in self.table.iter_mut().zip(&self.names) {
            if name.is_none() {
                // Guards against more assignments than either file allows, and against a utility that nothing
                // brings any more and by which the others would be judged.
                (row.utility, row.max_assignments) = (0.0, row.max_assignments.min(max_assignments));
            }
        }
        from
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tindock::types::Effect;

    fn row(effect: Effect, max_assignments: usize) -> Workload {
        let second = Duration::from_secs(1);
        Workload {
            effect,
            memory: second,
            promised: second,
            stretch: 1.0,
            hard_limit: second,
            utility: 1.0,
            kind: None,
            max_assignments,
        }
    }

    fn words(words: &[&str]) -> Vec<String> {
        words.iter().map(|w| w.to_string()).collect()
    }

    /// Guards against a task in hand that is judged by what came after it, and against a table without end.
    #[test]
    fn tasks_in_hand_keep_their_row_and_rows_are_used_again() {
        let (idempotent, once) = (row(Effect::Idempotent, 4), row(Effect::Unrepeatable, 4));
        let mut rows = WorkloadTable::new(
            &PolicySettings {
                workloads: vec![idempotent.clone(), once.clone()],
                ..PolicySettings::default()
            },
            &Words { workloads: words(&["a", "b"]), ..Words::default() },
        );
        // b changes while a task of it is in hand: another row, which goes on with what was learned.
        let from =
            rows.reconfigure(&words(&["a", "b"]), &[idempotent.clone(), row(Effect::Idempotent, 2)], |r| r == 1);
        assert_eq!(from, [Some(0), Some(1), Some(1)]);
        assert_eq!((rows.names[1].as_deref(), rows.names[2].as_deref()), (None, Some("b")));
        assert_eq!((rows.table[1].effect, rows.table[1].max_assignments), (Effect::Unrepeatable, 4));
        // c comes when that task is over: it takes the unused row and begins anew; a is dropped.
        let from = rows.reconfigure(&words(&["b", "c"]), &[row(Effect::Idempotent, 2), once.clone()], |_| false);
        assert_eq!(from, [Some(0), None, Some(2)]);
        let names: Vec<_> = rows.names.iter().map(|n| n.as_deref()).collect();
        assert_eq!(names, [None, Some("c"), Some("b")]);
        assert_eq!(rows.table[0].max_assignments, 4);
        // Fewer assignments for all: also for what is in hand under an old row.
        rows.reconfigure(&words(&["c"]), &[row(Effect::Unrepeatable, 1)], |_| true);
        assert!(rows.table.iter().all(|row| row.max_assignments == 1), "{rows:?}");
        assert_eq!(rows.table.len(), 4);
    }
}
