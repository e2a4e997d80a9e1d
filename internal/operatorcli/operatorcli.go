// Package operatorcli implements the operators' command line: it checks, files
// and shows tickets, shows the status and checks settings.
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

// callTimeout bounds one use of the command line's calls to the platform.
const callTimeout = 20 * time.Second

// Operator is the command line. Set the exported fields before Main.
type Operator struct {
	Streams cli.Streams
	// HTTP reaches the platform.
	HTTP platformclient.HTTPFunc

	settingsFile string
}

// globalOptions are the options of every subcommand.
type globalOptions struct {
	Settings func(string) `long:"settings" short:"s" value-name:"FILE" env:"MIMOSAWARD_SETTINGS" description:"Settings file of the operator (JSON)"`
	Version  func() error `long:"version" description:"Print the version and exit"`
}

// Main parses the arguments, runs the subcommand and returns the exit status.
func (o *Operator) Main(args []string) int {
	options := &globalOptions{
		Settings: func(file string) { o.settingsFile = file },
		Version: func() error {
			return &flags.Error{Type: flags.ErrHelp, Message: "mimosaward " + cli.Version()}
		},
	}
	parser := flags.NewNamedParser("mimosaward", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operators drive mimosaward by filing numbered tickets. Each ticket carries the whole new state of what it touches."
	err := o.addCommands(parser, options)
	if err != nil {
		return cli.Fail(o.Streams, err)
	}
	return cli.Parse(parser, args, o.Streams)
}

func (o *Operator) addCommands(parser *flags.Parser, options *globalOptions) error {
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
		{tickets, "check", "Check a ticket file without filing it", &ticketCheck{operator: o}},
		{tickets, "file", "File a ticket", &ticketFile{operator: o}},
		{tickets, "show", "Show a ticket and where it is in force", &ticketShow{operator: o}},
		{parser.Command, "status", "Show the configuration and the instances", &status{operator: o}},
		{parser.Command, "completion", "Print a bash completion script", &completion{operator: o}},
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
	_, err = group.AddCommand("check", "Check settings files without starting anything", "", &settingsCheck{operator: o})
	return err
}

func (o *Operator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.Streams.Out, format, args...)
}

// session is the platform as one subcommand uses it.
type session struct {
	settings  settings.Operator
	desk      *ticketstore.Store
	instances *platformclient.InstanceList
	// held is the instance list as read last.
	held *membership.View
}

// open reads the operator's settings.
func (o *Operator) open() (*session, error) {
	if o.settingsFile == "" {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "--settings or MIMOSAWARD_SETTINGS is required"}
	}
	loaded, err := settings.LoadOperator(o.settingsFile)
	if err != nil {
		return nil, err
	}
	return &session{
		settings:  loaded,
		desk:      &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: loaded.Platform.ObjectAPI, HTTP: o.HTTP}},
		instances: &platformclient.InstanceList{BaseURL: loaded.Platform.InstanceList, HTTP: o.HTTP},
		held:      membership.NewView(),
	}, nil
}

// view returns the instance list. It reads the whole list once, and after that
// what changed.
func (s *session) view(ctx context.Context) (*membership.View, error) {
	changes, err := s.instances.Since(ctx, s.held.Version())
	if err != nil {
		return nil, err
	}
	s.held = s.held.With(changes.Instances, changes.Version)
	return s.held, nil
}

// completion prints a completion script.
type completion struct {
	operator *Operator
}

// Execute implements flags.Commander.
func (c *completion) Execute([]string) error {
	_, err := io.WriteString(c.operator.Streams.Out, cli.CompletionScript("mimosaward"))
	return err
}
