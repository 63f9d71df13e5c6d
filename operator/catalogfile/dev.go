package catalogfile

import (
	_ "embed"

	"github.com/carobkeel/carobkeel/operator"
)

//go:embed dev.yaml
var devYAML []byte

// DevCatalogue returns the catalogue that carobkeel dev starts with: the
// service echo of the owner demo-services and the batch task sample of the
// owner demo-batch.
func DevCatalogue() operator.Document {
	doc, err := Read(devYAML)
	if err != nil {
		panic("catalogfile: the embedded catalogue is not valid: " + err.Error())
	}
	return doc
}
