package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/httpconn"
)

const (
	// stateTimeout is the timeout of the request for a process's state.
	stateTimeout = 5 * time.Second
	// maxStateBytes is the maximum size of the response; a longer one is truncated.
	maxStateBytes = 16 << 20
)

// errStateUnavailable reports a process whose state can't be read.
var errStateUnavailable = eris.New("state not available")

type settingsArgs struct {
	File string `arg:"positional,required" help:"settings file of a gateway"`
}

type settingsCmd struct {
	Check *settingsArgs `arg:"subcommand:check" help:"check a gateway's settings file"`
	Show  *settingsArgs `arg:"subcommand:show" help:"print a gateway's effective settings, defaults included"`
}

type stateCmd struct {
	Metrics string `arg:"--metrics,env:FULMARSPINDLE_METRICS,required" help:"metrics address of a gateway, as host:port"`
}

func settingsCommand(c *settingsCmd, out io.Writer) error {
	switch {
	case c.Check != nil:
		if _, err := config.LoadGatewaySettings(c.Check.File); err != nil {
			return err
		}
		_, err := fmt.Fprintln(out, "ok")
		return err
	case c.Show != nil:
		settings, err := config.LoadGatewaySettings(c.Show.File)
		if err != nil {
			return err
		}
		return yaml.NewEncoder(out).Encode(settings)
	}
	return errNoCommand
}

// printState prints the state that a running gateway reports, as JSON.
func printState(ctx context.Context, metrics string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+metrics+gateway.StatePath, nil)
	if err != nil {
		return eris.Wrap(errStateUnavailable, err.Error())
	}
	resp, err := httpconn.NewClient(stateTimeout).Do(req)
	if err != nil {
		return eris.Wrap(errStateUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(errStateUnavailable, "%s responded with status %s", metrics, resp.Status)
	}
	if _, err := io.Copy(out, io.LimitReader(resp.Body, maxStateBytes)); err != nil {
		return eris.Wrap(errStateUnavailable, err.Error())
	}
	return nil
}
