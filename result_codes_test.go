package carobkeel_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/httpapi"
)

const (
	resultCodesPage = "docs/RESULT-CODES.md"
	// resultCodesColumns are number, name, status, ran, repeat and advice.
	resultCodesColumns = 6
)

// codeRow holds the cells of a row that are determined by the source code.
type codeRow struct {
	name, status, ran, repeat string
}

// tableCells returns the cells of a line of a Markdown table, nil for other
// lines.
func tableCells(line string) []string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") || !strings.HasSuffix(line, "|") {
		return nil
	}
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
	}
	return cells
}

// codeRowsOf parses the rows of the page that begin with a number.
func codeRowsOf(page string) (map[int]codeRow, error) {
	rows := make(map[int]codeRow)
	for _, line := range strings.Split(page, "\n") {
		cells := tableCells(line)
		if len(cells) == 0 {
			continue
		}
		number, err := strconv.Atoi(cells[0])
		if err != nil {
			continue
		}
		if len(cells) != resultCodesColumns || cells[resultCodesColumns-1] == "" {
			return nil, fmt.Errorf("row of %d: want %d filled cells", number, resultCodesColumns)
		}
		if _, duplicate := rows[number]; duplicate {
			return nil, fmt.Errorf("%d is listed twice", number)
		}
		rows[number] = codeRow{name: cells[1], status: cells[2], ran: cells[3], repeat: cells[4]}
	}
	return rows, nil
}

func rowOf(info carobkeel.CodeInfo) codeRow {
	row := codeRow{
		name:   info.Name,
		status: strconv.Itoa(httpapi.Status(info.Code)),
		ran:    info.Ran.String(),
		repeat: "no",
	}
	if info.Code == carobkeel.CodeOK {
		row.status = "the upstream's"
	}
	if info.Retryable {
		row.repeat = "yes"
	}
	return row
}

func TestResultCodesPageListsEachCodeOnce(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(resultCodesPage)
	g.Expect(err).NotTo(HaveOccurred())
	rows, err := codeRowsOf(string(page))
	g.Expect(err).NotTo(HaveOccurred())
	want := make(map[int]codeRow)
	for _, info := range carobkeel.Codes() {
		want[int(info.Code)] = rowOf(info)
	}
	g.Expect(want).To(HaveLen(len(carobkeel.Codes())), "a number is used twice in the code")
	g.Expect(rows).To(Equal(want))
}

func TestDuplicateOrShortCodeRowIsRejected(t *testing.T) {
	g := NewWithT(t)
	row := "| 1 | a | 200 | no | no | advice |\n"
	_, err := codeRowsOf(row)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = codeRowsOf(row + row)
	g.Expect(err).To(MatchError(ContainSubstring("twice")))
	_, err = codeRowsOf("| 1 | a | 200 | no | no |\n")
	g.Expect(err).To(HaveOccurred())
}
