package carobkeel

// OwnerClass names the work of one owner in one class. Limits, floors and
// budgets on the path of a request are kept for each.
type OwnerClass struct {
	Owner Owner
	Class Class
}
