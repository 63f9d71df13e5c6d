package jobs

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/judge"
	"github.com/carobkeel/carobkeel/internal/judge/recordfile"
)

// Files in the folder of a broken play, beside the logs of all processes.
const (
	commandFile  = "command.txt"
	findingsFile = "findings.txt"
	recordFile   = "record.jsonl"
	// explainedPrefix begins the names of files with the lines on a task.
	explainedPrefix = "task-"
	// explainedTasks is how many tasks are explained at once. -explain does so for others.
	explainedTasks = 10
)

// keep copies what was seen of a broken play to a folder, whose name it returns.
func keep(c Config, logs string, seen judge.Play, findings []judge.Finding) (string, error) {
	target := filepath.Join(c.Folder, fmt.Sprintf("seed-%d-%s", c.Seed, seen.Began.UTC().Format("150405.000")))
	if err := os.MkdirAll(target, 0o755); err != nil {
		return "", errors.WithStack(err)
	}
	if err := os.CopyFS(target, os.DirFS(logs)); err != nil {
		return "", errors.Wrap(err, "copy the logs")
	}
	if err := os.WriteFile(filepath.Join(target, commandFile), []byte(c.Command+"\n"), 0o644); err != nil {
		return "", errors.WithStack(err)
	}
	var text strings.Builder
	for _, f := range findings {
		fmt.Fprintln(&text, f)
	}
	if err := os.WriteFile(filepath.Join(target, findingsFile), []byte(text.String()), 0o644); err != nil {
		return "", errors.WithStack(err)
	}
	if err := writeRecord(filepath.Join(target, recordFile), seen); err != nil {
		return "", err
	}
	return target, explainAll(target, findings)
}

// explainAll writes the lines on the first tasks with a broken rule.
func explainAll(folder string, findings []judge.Finding) error {
	explained := make(map[string]bool)
	for _, f := range findings {
		if f.Task == "" || explained[f.Task] || len(explained) == explainedTasks {
			continue
		}
		explained[f.Task] = true
		file, err := os.Create(filepath.Join(folder, explainedPrefix+f.Task+".txt"))
		if err != nil {
			return errors.WithStack(err)
		}
		if err := Explain(file, folder, f.Task); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func writeRecord(path string, seen judge.Play) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	return errors.Wrap(recordfile.Write(file, seen), "write the record")
}
