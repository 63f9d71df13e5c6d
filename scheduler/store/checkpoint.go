package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/objectstore"
	"github.com/carobkeel/carobkeel/scheduler"
)

// A stored checkpoint consists of a header and the payload written by the task.
// The header holds a magic word, the payload's length and its SHA-256 sum.
const (
	checkpointPrefix = "checkpoints/"
	checkpointMagic  = "CKP1"
	lengthBytes      = 8
	headerBytes      = len(checkpointMagic) + lengthBytes + sha256.Size
)

// CheckpointName returns the name of a checkpoint. The names of a task's
// checkpoints sort by run number and sequence, and no two runs of a task share a
// name.
func CheckpointName(ref scheduler.RunRef, sequence uint64) string {
	return fmt.Sprintf("%s%s/%016x-%016x", checkpointPrefix, ref.Task, ref.Run, sequence)
}

// EncodeCheckpoint returns the payload with a checkpoint header.
func EncodeCheckpoint(payload []byte) []byte {
	sum := sha256.Sum256(payload)
	sealed := make([]byte, 0, headerBytes+len(payload))
	sealed = append(sealed, checkpointMagic...)
	sealed = binary.BigEndian.AppendUint64(sealed, uint64(len(payload)))
	sealed = append(sealed, sum[:]...)
	return append(sealed, payload...)
}

// DecodeCheckpoint verifies a checkpoint and returns its payload. It returns an
// Error with CodeCheckpointInvalid if the data is truncated or damaged, or is not
// a checkpoint.
func DecodeCheckpoint(sealed []byte) ([]byte, error) {
	if len(sealed) < headerBytes || string(sealed[:len(checkpointMagic)]) != checkpointMagic {
		return nil, carobkeel.NewError(carobkeel.CodeCheckpointInvalid, "the checkpoint has no whole header")
	}
	payload := sealed[headerBytes:]
	length := binary.BigEndian.Uint64(sealed[len(checkpointMagic):])
	if uint64(len(payload)) != length {
		return nil, carobkeel.NewError(carobkeel.CodeCheckpointInvalid,
			"the checkpoint has %d bytes of %d", len(payload), length)
	}
	sum := sha256.Sum256(payload)
	if !bytes.Equal(sum[:], sealed[len(checkpointMagic)+lengthBytes:headerBytes]) {
		return nil, carobkeel.NewError(carobkeel.CodeCheckpointInvalid, "the checkpoint's checksum does not match")
	}
	return payload, nil
}

// LastValidCheckpoint returns the name of the newest valid checkpoint of a task,
// empty if it has none. Invalid checkpoints are skipped.
func LastValidCheckpoint(ctx context.Context, objects objectstore.Store, task carobkeel.TaskID) (string, error) {
	names, err := objects.List(ctx, checkpointPrefix+string(task)+"/")
	if err != nil {
		return "", errors.Wrap(err, "list checkpoints")
	}
	for i := len(names) - 1; i >= 0; i-- {
		sealed, err := objects.Get(ctx, names[i])
		if errors.Is(err, objectstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return "", errors.Wrap(err, "read checkpoint")
		}
		if _, err := DecodeCheckpoint(sealed); err == nil {
			return names[i], nil
		}
	}
	return "", nil
}
