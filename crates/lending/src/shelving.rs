//! The instances that this process owns, on their shelves: what comes, what goes to another, what is kept aside.

use crate::handover::Cause;
use crate::lender::{Book, Shelf};
use crate::planted::{planted, Defect};
use crate::words::{Kind, Line};
use crate::{Entry, Function, Lending};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Lending {
    /// Puts the instances in this one's care on its shelves. Those that another may have lent until now rest first.
    pub(crate) fn arrange(&mut self, cause: Cause) {
        let mut kinds: BTreeSet<Kind> = self.shelves.keys().copied().collect();
        kinds.extend(self.by_kind.keys().copied());
        self.arrange_kinds(kinds, &cause);
    }

    pub(crate) fn arrange_kinds(&mut self, kinds: BTreeSet<Kind>, cause: &Cause) {
        for kind in kinds {
            let mine = self.owned(kind);
            if mine.is_empty() && !self.shelves.contains_key(&kind) {
                continue;
            }
            match self.functions.get(&kind).cloned() {
                Some(function) => self.arrange_shelf(function, mine, cause),
                None => self.close_shelf(kind),
            }
        }
    }

    /// The instances of a function that this process owns.
    pub(crate) fn owned(&self, kind: Kind) -> BTreeMap<String, Entry> {
        if !self.functions.contains_key(&kind) {
            return BTreeMap::new();
        }
        let all = self.by_kind.get(&kind).into_iter().flatten().filter_map(|id| self.entries.get(id));
        let mine = all.filter(|entry| self.lender(kind, &entry.zone) == Some(self.me));
        mine.map(|entry| (entry.instance.clone(), entry.clone())).collect()
    }

    /// Guards calls of a function that left the configuration: they are answered, not forgotten. Nor are its loans: a later
    /// change may bring it back while they are out.
    pub(crate) fn close_shelf(&mut self, kind: Kind) {
        let Some(shelf) = self.shelves.remove(&kind) else { return };
        for wish in shelf.queue {
            self.say(wish.from, Line::Later { seq: wish.seq, after: 500 });
        }
        for book in shelf.books {
            self.park(book);
        }
    }

    /// Loans are kept for their terms: the instance may come back to this one's care.
    pub(crate) fn park(&mut self, book: Book) {
        if !book.loans.is_empty() && !planted(Defect::BooksForgotten) {
            self.parked.entry(book.entry.instance).or_default().extend(book.loans);
        }
    }

    pub(crate) fn arrange_shelf(
        &mut self,
        function: Function,
        mut mine: BTreeMap<String, Entry>,
        cause: &Cause,
    ) {
        let (now, score, kind, boot) = (self.now, self.score, function.kind, function.boot);
        let shelf = self.shelves.entry(kind).or_insert_with(|| Shelf::new(function, now).scored(score));
        let (mut kept, dropped): (Vec<Book>, Vec<Book>) =
            shelf.books.drain(..).partition(|book| mine.contains_key(&book.entry.instance));
        for book in &mut kept {
            if let Some(entry) = mine.remove(&book.entry.instance) {
                book.entry = entry;
            }
        }
        for book in dropped {
            self.hand_over(&book);
            self.park(book);
        }
        for entry in mine.into_values() {
            kept.push(self.new_book(entry, boot, cause));
        }
        if let Some(shelf) = self.shelves.get_mut(&kind) {
            shelf.books = kept;
        }
    }

    pub(crate) fn new_book(&mut self, entry: Entry, boot: Duration, cause: &Cause) -> Book {
        let beginning = self.beginning(&entry, boot, cause);
        let loans = self.parked.remove(&entry.instance).unwrap_or_default();
        let early = self.early.remove(&entry.instance);
        let mut book = Book::new(entry, beginning.rests, loans);
        book.awaits = beginning.awaits;
        book.merge(early.map(|early| early.loans).unwrap_or_default());
        book
    }
}
