package carobkeel

// OwnerClass identifies the work of one owner in one class. Limits, guaranteed
// shares and budgets on the path of a request apply to each separately.
type OwnerClass struct {
	Owner Owner
	Class Class
}
