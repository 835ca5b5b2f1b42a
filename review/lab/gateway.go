//go:build review

package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// Bounds of the deployment crookneck-bend, as its sheet gives them.
const (
	StableWindow = 3000 * time.Millisecond
	ConfigApply  = 2500 * time.Millisecond
	Drain        = 2500 * time.Millisecond
)

// zones maps the zones of the deployment to their regions.
var zones = map[string]any{"coastal-a": "coastal", "valley-a": "valley", "hills-a": "hills"}

// Gateway is a gateway process with its addresses.
type Gateway struct {
	*Process
	Name string
	Zone string
	// Front is the address for clients, Ready that of the readiness check, and Control
	// that for other gateways.
	Front   string
	Ready   string
	Control string
	// Store is the address at which it reaches the platform's store.
	Store   string
	metrics string
}

// NewGateway chooses the addresses of a gateway, each with a free port.
func NewGateway(name, zone, store string) (*Gateway, error) {
	g := &Gateway{Name: name, Zone: zone, Store: store}
	for _, address := range []*string{&g.Front, &g.Ready, &g.Control, &g.metrics} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Ports of the gateways lie below those that the kernel gives to outgoing connections, which
// could take one between its choice and the gateway's start.
const (
	firstPort = 10000
	portCount = 20000
	portTries = 100
)

// usedPorts holds the ports that were chosen in this run.
var usedPorts = map[int]bool{}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		ln.Close()
		usedPorts[port] = true
		return address, nil
	}
	return "", errors.New("no free port")
}

// StartGateway starts a gateway with the command and the template of the deploy file, and
// settings like those of crookneck-bend.
func (l *Lab) StartGateway(g *Gateway, seeds ...*Gateway) error {
	template, err := os.ReadFile(filepath.Join(l.Root, "deploy", "gateway.yaml"))
	if err != nil {
		return err
	}
	settings, err := render(string(template), g.settings(seeds))
	if err != nil {
		return err
	}
	path := filepath.Join(l.Temp, g.Name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.Temp, "LANG=C.UTF-8", "FULMARSPINDLE_CONFIG=" + path}
	g.Process, err = l.start(g.Name, env, "fulmarspindle", "gateway")
	return err
}

// settings returns the fields of the settings file that the platform fills in.
func (g *Gateway) settings(seeds []*Gateway) map[string]any {
	var addresses []any
	for _, seed := range seeds {
		addresses = append(addresses, seed.Control)
	}
	_, port, _ := net.SplitHostPort(g.metrics)
	return map[string]any{
		"nodeName": g.Name, "zone": g.Zone, "region": zones[g.Zone], "zones": zones, "ip": "127.0.0.1",
		"portRange": []any{json.Number(port), json.Number(port)},
		"seeds":     addresses,
		"listen":    map[string]any{"front": g.Front, "readyAddress": g.Ready, "control": g.Control},
		"limits":    map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"configApplyMs": ConfigApply.Milliseconds(), "drainMs": Drain.Milliseconds(), "graceS": 8,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 4,
		},
		"platform": map[string]any{"address": g.Store},
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the part of the platform's template language that the deploy file's
// template uses: values, values as JSON, and sections that depend on a value.
func render(template string, values map[string]any) (string, error) {
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		match := sectionPattern.FindStringSubmatch(section)
		if lookup(values, match[1]) == nil {
			return ""
		}
		return match[2]
	})
	out = valuePattern.ReplaceAllStringFunc(out, func(placeholder string) string {
		match := valuePattern.FindStringSubmatch(placeholder)
		value := lookup(values, match[1])
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value) // The values are plain ones.
		return string(encoded)
	})
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("the template has placeholders that are not known:\n%s", out)
	}
	return out, nil
}

// lookup returns the value at a path; nil if there is none.
func lookup(values map[string]any, path string) any {
	var current any = values
	for name := range strings.SplitSeq(path, ".") {
		switch c := current.(type) {
		case map[string]any:
			current = c[name]
		case []any:
			if name != "0" || len(c) == 0 {
				return nil
			}
			current = c[0]
		default:
			return nil
		}
	}
	return current
}

// IsReady asks the gateway whether it is ready, as the platform does.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.Ready + "/fulmarspindle/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
