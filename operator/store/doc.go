// Package store keeps the catalogue and the planned stops in the table service.
//
// Rows of the catalogue:
//
//	catalogue/head                    the revision of the whole catalogue
//	catalogue/entry/NAME              the entry as it is
//	catalogue/owner/NAME              the owner's quota as it is
//	catalogue/change/REVISION         the change that made this revision
//	catalogue/history/KIND/NAME/REVISION  the change of one entry or owner
//	catalogue/edit/ID                 the revision that an edit became
//
// An edit is one transaction on the condition that the head is as it was read
// and that the edit's own row is absent. The head's version makes the accepted
// edits one line of revisions; the edit's row makes a repeat have no second
// effect, and is what a lost answer is settled by.
package store
