// Package store stores the catalogue and the planned stops in the table service.
//
// Rows of the catalogue:
//
//	catalogue/head                    the revision of the catalogue
//	catalogue/entry/NAME              the current entry
//	catalogue/owner/NAME              the owner's current quota
//	catalogue/change/REVISION         the change that made this revision
//	catalogue/history/KIND/NAME/REVISION  the change of one entry or owner
//	catalogue/edit/ID                 the revision that the edit created
//
// An edit is one transaction, on the conditions that the head still has the
// version that was read and that the edit's own row is absent. The condition on
// the head gives accepted edits consecutive revisions. The edit's row prevents
// a repeat from taking effect a second time, and shows after a lost answer
// whether the edit was applied.
package store
