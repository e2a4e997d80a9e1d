// Package operatorcli implements the operators' command line, mimosaward, which
// checks, files and shows tickets, shows the status and checks settings files.
package operatorcli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

// callTimeout is the timeout for all platform calls of one subcommand together;
// "ticket file" adds the time given by --wait.
const callTimeout = 20 * time.Second

// Program is the operators' command line. Set the exported fields before calling Main.
type Program struct {
	Streams cli.Streams
	// HTTP sends requests to the platform's services.
	HTTP platformclient.RoundTripFunc

	settingsFile string
}

// globalOptions holds the options that every subcommand accepts.
type globalOptions struct {
	Settings func(string) `long:"settings" short:"s" value-name:"FILE" env:"MIMOSAWARD_SETTINGS" description:"Settings file of the operator (JSON)"`
	Version  func() error `long:"version" description:"Print the version and exit"`
}

// Main parses the arguments, runs the subcommand and returns the exit status.
func (p *Program) Main(args []string) int {
	options := &globalOptions{
		Settings: func(file string) { p.settingsFile = file },
		Version: func() error {
			return &flags.Error{Type: flags.ErrHelp, Message: "mimosaward " + cli.Version()}
		},
	}
	parser := flags.NewNamedParser("mimosaward", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operators configure mimosaward by filing numbered tickets. Each ticket contains the complete new state of every scope that it changes."
	err := p.addCommands(parser, options)
	if err != nil {
		return cli.Fail(p.Streams, err)
	}
	return cli.ParseAndRun(parser, args, p.Streams)
}

func (p *Program) addCommands(parser *flags.Parser, options *globalOptions) error {
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return err
	}
	tickets, err := parser.AddCommand("ticket", "Check, file and show tickets", "", &struct{}{})
	if err != nil {
		return err
	}
	subcommands := []struct {
		parent *flags.Command
		name   string
		short  string
		data   any
	}{
		{tickets, "check", "Check a ticket file without filing it", &ticketCheckCommand{program: p}},
		{tickets, "file", "File a ticket", &ticketFileCommand{program: p}},
		{tickets, "show", "Show a ticket and the zones that have acknowledged it", &ticketShowCommand{program: p}},
		{parser.Command, "status", "Show the configuration and the instances", &statusCommand{program: p}},
		{parser.Command, "completion", "Print a bash completion script", &completionCommand{program: p}},
	}
	for _, sub := range subcommands {
		if _, err := sub.parent.AddCommand(sub.name, sub.short, "", sub.data); err != nil {
			return err
		}
	}
	group, err := parser.AddCommand("settings", "Check settings files", "", &struct{}{})
	if err != nil {
		return err
	}
	_, err = group.AddCommand("check", "Check settings files without starting a program", "", &settingsCheckCommand{program: p})
	return err
}

func (p *Program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Streams.Out, format, args...)
}

// session holds the settings and the platform clients of one subcommand.
type session struct {
	settings  settings.Operator
	tickets   *ticketstore.Store
	instances *platformclient.InstanceList
	// members is the instance list as of the last refresh.
	members *membership.View
}

// openSession reads the operator's settings and returns a session with clients for
// the platform that they name.
func (p *Program) openSession() (*session, error) {
	if p.settingsFile == "" {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "--settings or MIMOSAWARD_SETTINGS is required"}
	}
	loaded, err := settings.LoadOperator(p.settingsFile)
	if err != nil {
		return nil, err
	}
	return &session{
		settings:  loaded,
		tickets:   &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: loaded.Platform.ObjectAPI, HTTP: p.HTTP}},
		instances: &platformclient.InstanceList{BaseURL: loaded.Platform.InstanceList, HTTP: p.HTTP},
		members:   membership.NewView(),
	}, nil
}

// refreshMembers returns the current instance list. The first call reads the whole
// list, later calls only the changes since the previous one.
func (s *session) refreshMembers(ctx context.Context) (*membership.View, error) {
	changes, err := s.instances.ChangesSince(ctx, s.members.Version())
	if err != nil {
		return nil, err
	}
	s.members = s.members.With(changes.Instances, changes.Version)
	return s.members, nil
}

// completionCommand prints a bash completion script.
type completionCommand struct {
	program *Program
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.program.Streams.Out, cli.CompletionScript("mimosaward"))
	return err
}
