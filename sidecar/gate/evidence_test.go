package gate_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestEvidenceOfAnAnswer(t *testing.T) {
	known := &gate.Worker{Description: &runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 5}}}
	for _, c := range []struct {
		name        string
		incarnation runs.Incarnation
		result      runs.Result
		startedAtMs int64
		want        gate.Evidence
	}{
		{"another ID lives there", runs.Incarnation{ID: "x", StartedAtMs: 9}, runs.ResultOtherIncarnation, 0, gate.AnsweredAsAnother},
		{"the worker is unhealthy", runs.Incarnation{ID: "x", StartedAtMs: 9}, runs.ResultUnhealthy, 0, gate.NotAnswered},
		{"a later fence is known there", runs.Incarnation{ID: "x", StartedAtMs: 9}, runs.ResultStaleEpoch, 0, gate.AnsweredUnderItsID},
		{"its start is listed", runs.Incarnation{ID: "w", StartedAtMs: 9}, runs.ResultOK, 9, gate.AnsweredAsIt},
		{"another start is listed", runs.Incarnation{ID: "w", StartedAtMs: 9}, runs.ResultOK, 5, gate.AnsweredAsAnother},
		{"another ID without a start", runs.Incarnation{ID: "x", StartedAtMs: 1}, runs.ResultOK, 0, gate.AnsweredAsIt},
		{"restarted, without a start", runs.Incarnation{ID: "w", StartedAtMs: 9}, runs.ResultOK, 0, gate.AnsweredAsIt},
		{"an earlier one, without a start", runs.Incarnation{ID: "w", StartedAtMs: 1}, runs.ResultOK, 0, gate.AnsweredUnderItsID},
	} {
		NewWithT(t).Expect(gate.Examine(c.incarnation, known, c.result, c.startedAtMs)).To(Equal(c.want), c.name)
	}
}
