package catalogfile

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

const indentSpaces = 2

// WriteYAML encodes the document as YAML for Read.
func WriteYAML(doc operator.Document) ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(indentSpaces)
	if err := encoder.Encode(formOfDocument(doc)); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), errors.WithStack(encoder.Close())
}

// WriteJSON encodes the document as JSON for Read.
func WriteJSON(doc operator.Document) ([]byte, error) {
	return marshal(formOfDocument(doc))
}

// WriteEntryJSON encodes one entry as JSON for ReadEntry.
func WriteEntryJSON(entry carobkeel.Entry) ([]byte, error) {
	return marshal(formOfEntry(entry))
}

// WriteQuotaJSON encodes one owner's quota as JSON for ReadQuota.
func WriteQuotaJSON(quota carobkeel.Quota) ([]byte, error) {
	return marshal(formOfQuota(quota))
}

func marshal(form any) ([]byte, error) {
	data, err := json.MarshalIndent(form, "", "  ")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(data, '\n'), nil
}
