//! The rows of the decision module's workload table, by name. A task keeps the row under which it arrived: a
//! changed workload gets a new row, and a removed one keeps its row until its last task has ended.

use std::rc::Rc;
use std::time::Duration;
use tindock::types::{PolicySettings, Workload};
use tindock_scheduler_config::Names;

/// The names that a request may use. Workloads are indexed by row; a row without a name accepts no tasks.
#[derive(Clone, Debug, Default)]
pub struct TaskNames {
    pub workloads: Vec<Option<Rc<str>>>,
    pub tenants: Vec<String>,
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
    pub tenants: Vec<String>,
    /// The longest delay to name in Retry-After, if one may be sent.
    pub max_retry_after: Option<Duration>,
    /// `members`, `position` and `zone` among the schedulers, as they were at the start.
    membership: (usize, usize, usize),
}

impl WorkloadTable {
    pub fn new(settings: &PolicySettings, index_names: &Names) -> Self {
        let names = index_names.workloads.iter().map(|name| Some(name.as_str().into())).collect();
        let (table, tenants) = (settings.workloads.clone(), index_names.tenants.clone());
        let max_retry_after = settings.max_retry_after;
        WorkloadTable {
            names,
            table,
            tenants,
            max_retry_after,
            membership: (settings.members, settings.position, settings.zone),
        }
    }

    /// The names by which tasks are accepted now.
    pub fn task_names(&self) -> TaskNames {
        TaskNames { workloads: self.names.clone(), tenants: self.tenants.clone() }
    }

    /// The settings of a new file with the rows of this table. What sockets and workers depend on stays as it
    /// was at the start.
    pub fn settings(&self, settings: PolicySettings) -> PolicySettings {
        let (members, position, zone) = self.membership;
        PolicySettings { workloads: self.table.clone(), members, position, zone, ..settings }
    }

    /// Applies the workloads of a new file. Returns for each row the earlier row whose learned figures it
    /// continues, or none if it starts fresh.
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
                // Guards against more assignments than either file allows, and against a utility that no task
                // earns any more but that the other workloads are compared with.
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

    fn strings(texts: &[&str]) -> Vec<String> {
        texts.iter().map(|w| w.to_string()).collect()
    }

    /// Guards against tasks in flight that are judged by later settings, and against a table that grows
    /// without bound.
    #[test]
    fn tasks_in_flight_keep_their_row_and_free_rows_are_reused() {
        let (idempotent, once) = (row(Effect::Idempotent, 4), row(Effect::Unrepeatable, 4));
        let mut rows = WorkloadTable::new(
            &PolicySettings {
                workloads: vec![idempotent.clone(), once.clone()],
                ..PolicySettings::default()
            },
            &Names { workloads: strings(&["a", "b"]), ..Names::default() },
        );
        // b changes while one of its tasks is in flight: it gets a new row, which continues with the learned
        // figures.
        let from =
            rows.reconfigure(&strings(&["a", "b"]), &[idempotent.clone(), row(Effect::Idempotent, 2)], |r| {
                r == 1
            });
        assert_eq!(from, [Some(0), Some(1), Some(1)]);
        assert_eq!((rows.names[1].as_deref(), rows.names[2].as_deref()), (None, Some("b")));
        assert_eq!((rows.table[1].effect, rows.table[1].max_assignments), (Effect::Unrepeatable, 4));
        // c is added after that task has ended: it reuses the free row and starts fresh; a is removed.
        let from =
            rows.reconfigure(&strings(&["b", "c"]), &[row(Effect::Idempotent, 2), once.clone()], |_| false);
        assert_eq!(from, [Some(0), None, Some(2)]);
        let names: Vec<_> = rows.names.iter().map(|n| n.as_deref()).collect();
        assert_eq!(names, [None, Some("c"), Some("b")]);
        assert_eq!(rows.table[0].max_assignments, 4);
        // Fewer assignments for all, including tasks in flight under an old row.
        rows.reconfigure(&strings(&["c"]), &[row(Effect::Unrepeatable, 1)], |_| true);
        assert!(rows.table.iter().all(|row| row.max_assignments == 1), "{rows:?}");
        assert_eq!(rows.table.len(), 4);
    }
}
