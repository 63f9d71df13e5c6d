package main

import (
	"bytes"
	"context"
	_ "embed"
	"os/exec"
	"time"

	"github.com/pkg/errors"
)

//go:embed catalogue.yaml
var catalogueFile []byte

// applyCatalogue makes the soak's service known, by the operators' command. An
// entry that has just started may not take edits yet, so it is tried again.
func (f *fleet) applyCatalogue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var last []byte
	for ctx.Err() == nil {
		command := exec.CommandContext(ctx, f.binary,
			"catalogue", "apply", "-operator", f.entries[0].addresses["operator"], "-by", "soak", "-")
		command.Stdin = bytes.NewReader(catalogueFile)
		out, err := command.CombinedOutput()
		if err == nil {
			return nil
		}
		if len(out) > 0 {
			last = out
		}
		park(ctx, time.Second)
	}
	return errors.Errorf("the catalogue was not taken: %s", last)
}
