package client

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/operator"
)

// unexpectedResponseError reports a response that does not come from the
// operators' interface.
type unexpectedResponseError struct {
	address string
	status  int
}

// Error implements error.
func (e *unexpectedResponseError) Error() string {
	return fmt.Sprintf("%s answered with status %d and no result code; is it an operators' listener?", e.address, e.status)
}

func isProblems(err error) bool {
	var problems operator.Problems
	return errors.As(err, &problems)
}
