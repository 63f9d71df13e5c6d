package main

import (
	"context"
	_ "embed"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table/httptable"
)

//go:embed catalogue.yaml
var catalogueFile []byte

// seedCatalogue writes the service under test to the table, before any entry
// starts.
func seedCatalogue(ctx context.Context, tableAddress string) error {
	document, err := catalogfile.Read(catalogueFile)
	if err != nil {
		return errors.Wrap(err, "read the catalogue")
	}
	rows := httptable.NewClient(tableAddress, nil)
	err = store.New(store.Config{Table: rows}).Seed(ctx, document, "soak")
	return errors.Wrap(err, "write the catalogue")
}
