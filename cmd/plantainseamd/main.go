// Plantainseamd runs the roles of one process that its settings file names.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/plantainseam/plantainseam/internal/daemon"
	"github.com/plantainseam/plantainseam/internal/logging"
	"github.com/plantainseam/plantainseam/internal/result"
	"github.com/plantainseam/plantainseam/internal/settings"
	"github.com/plantainseam/plantainseam/platform"
)

// exitUsage is the exit status for wrong arguments.
const exitUsage = 2

type options struct {
	Config      string `long:"config" value-name:"FILE" description:"settings file"`
	Platform    bool   `long:"platform" description:"take the settings from the machine platform and forward whole packets"`
	CheckConfig bool   `long:"check-config" description:"check the settings and exit"`
	InitData    bool   `long:"init-data" description:"create the data directory of a control VM, print its identity and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(result.CodeOf(err).Exit())
	}
}

func run(o options) error {
	if o.Platform {
		return platform.Run()
	}
	if o.Config == "" {
		return result.Errorf(result.SettingsMissing, "--config or --platform")
	}
	s, err := settings.Load(o.Config)
	if err != nil {
		return err
	}
	if o.CheckConfig {
		fmt.Printf("%s: settings are valid\n", o.Config)
		return nil
	}
	if o.InitData {
		return initData(s)
	}
	logger, err := logging.New(os.Stderr, s.LogLevel)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, logger)
	if err != nil {
		return err
	}
	go reloadOnHangup(d, o.Config)
	stop, kill := signals()
	return d.Run(stop, kill)
}

// reloadOnHangup reads the settings again at each SIGHUP. Faulty settings change nothing.
func reloadOnHangup(d *daemon.Daemon, path string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		s, err := settings.Load(path)
		if err == nil {
			err = d.Reload(s)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func initData(s *settings.Settings) error {
	identity, err := daemon.InitData(s)
	if err != nil {
		return err
	}
	fmt.Println(identity)
	return nil
}

// signals returns a context that ends with the first SIGTERM or SIGINT, which asks for a graceful stop, and one that
// ends with the second, which ends the process at once.
func signals() (stop, kill context.Context) {
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		stopNow()
		<-received
		killNow()
	}()
	return stop, kill
}
