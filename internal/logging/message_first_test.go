package logging_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel/internal/logging"
)

// written returns the line of a logger of the part "entry" that log uses.
func written(use func(logger *log.Logger)) string {
	var out strings.Builder
	use(logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("entry"))
	return out.String()
}

func TestLineThatIsCutOffStillShowsItsMessage(t *testing.T) {
	for _, message := range []string{"run ended", `says "no", and \`, "a\nb", `","message":"`} {
		g := NewWithT(t)
		line := written(func(l *log.Logger) {
			l.Warn().Err(errors.New(`cause "}`)).Str("job", "aa11").Int("run", 1).Msg(message)
		})
		encoded, err := json.Marshal(message)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(line).To(MatchRegexp(`^\{"time":"[^"]+","level":"warn","part":"entry","message":`))
		g.Expect(line).To(HaveSuffix(`,"message":` + string(encoded) + `,"error":"cause \"}","job":"aa11","run":1}` + "\n"))
	}
}

func TestLinesWithoutAMessageOfTheirOwnStayAsTheyAre(t *testing.T) {
	type nested struct {
		First   int    `json:"first"`
		Message string `json:"message"`
	}
	for end, use := range map[string]func(*log.Entry){
		`,"run":1}`:                                    func(e *log.Entry) { e.Int("run", 1).Msg("") },
		`,"cause":{"first":1,"message":"no"}}`:         func(e *log.Entry) { e.Any("cause", nested{1, "no"}).Msg("") },
		`,"cause":{"first":1,"message":"no"},"run":1}`: func(e *log.Entry) { e.Any("cause", nested{1, "no"}).Int("run", 1).Msg("") },
		`,"message":"alone"}`:                          func(e *log.Entry) { e.Msg("alone") },
	} {
		line := written(func(l *log.Logger) { use(l.Info()) })
		NewWithT(t).Expect(line).To(HaveSuffix(`"level":"info","part":"entry"` + end + "\n"))
	}
}

func BenchmarkLine(b *testing.B) {
	logger := logging.NewFactory(logging.Config{Level: "info", JSON: true}, discard{}).For("entry")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str("detail", "done").Str("task", "ee0fcdac79397318.0.2.9").Int("run", 1).Msg("run ended")
	}
}

type discard struct{}

func (discard) Write(line []byte) (int, error) { return len(line), nil }
