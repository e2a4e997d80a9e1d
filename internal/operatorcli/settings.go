package operatorcli

import (
	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/diagnostic"
	"github.com/mimosaward/mimosaward/internal/settings"

	"github.com/cockroachdb/errors"
)

// settingsCheck checks settings files.
type settingsCheck struct {
	operator *Program
	Kind     string `long:"kind" choice:"entry" choice:"agent" choice:"operator" required:"yes" description:"Program that the files are for"`
	Args     struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It reports the findings of every file
// together.
func (s *settingsCheck) Execute([]string) error {
	var findings diagnostic.List
	for _, file := range s.Args.Files {
		err := s.check(string(file))
		var found *diagnostic.Error
		switch {
		case errors.As(err, &found):
			for _, f := range found.Findings() {
				findings.Add(f)
			}
		case err != nil:
			findings.Add(diagnostic.New(string(file), 0, "", err.Error()))
		default:
			s.operator.printf("%s: ok\n", file)
		}
	}
	return findings.Err()
}

func (s *settingsCheck) check(file string) error {
	var err error
	switch s.Kind {
	case "entry":
		_, err = settings.LoadEntry(file)
	case "agent":
		_, err = settings.LoadAgent(file)
	default:
		_, err = settings.LoadOperator(file)
	}
	return err
}
