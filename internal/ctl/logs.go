package ctl

import (
	"os"

	"siskinswitch.example/siskin/internal/proto/diag"
)

// readLogs calls each with every line of the log files and returns the number
// of lines that could not be parsed. The file name - stands for the standard
// input.
func (e Env) readLogs(op string, files []string, each func(diag.Line)) (int, error) {
	if len(files) == 0 {
		return 0, usageError(op, "no log file is named")
	}
	unreadable := 0
	for _, name := range files {
		n, err := e.readLog(op, name, each)
		if err != nil {
			return unreadable, err
		}
		unreadable += n
	}
	return unreadable, nil
}

func (e Env) readLog(op, name string, each func(diag.Line)) (int, error) {
	r := e.In
	if name != stdio {
		file, err := os.Open(name)
		if err != nil {
			return 0, fileError(op, err)
		}
		defer func() { _ = file.Close() }()
		r = file
	}
	unreadable, err := diag.Read(r, each)
	if err != nil {
		return unreadable, fileError(op, err)
	}
	return unreadable, nil
}
