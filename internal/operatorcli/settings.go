package operatorcli

import (
	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/diagnostic"
	"github.com/mimosaward/mimosaward/internal/settings"

	"github.com/cockroachdb/errors"
)

// settingsCheckCommand checks settings files.
type settingsCheckCommand struct {
	program *Program
	Kind    string `long:"kind" choice:"entry" choice:"agent" choice:"operator" required:"yes" description:"Program that reads the files"`
	Args    struct {
		Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It checks every file and returns the findings
// of all of them in one error.
func (s *settingsCheckCommand) Execute([]string) error {
	var findings diagnostic.List
	for _, file := range s.Args.Files {
		err := s.check(string(file))
		var checkErr *diagnostic.Error
		switch {
		case errors.As(err, &checkErr):
			for _, finding := range checkErr.Findings() {
				findings.Add(finding)
			}
		case err != nil:
			findings.Add(diagnostic.New(string(file), 0, "", err.Error()))
		default:
			s.program.printf("%s: ok\n", file)
		}
	}
	return findings.Err()
}

func (s *settingsCheckCommand) check(file string) error {
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
