//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of each machine, which has an address of its own.
const (
	storePort   = 8781
	frontPort   = 8783
	readyPort   = 8780
	controlPort = 8785
	metricsPort = 7400
	serverPort  = 8080
)

// gatewayProcess is one process of the system, started with the command of the deploy file.
type gatewayProcess struct {
	name     string
	ip       string
	zone     string
	settings string
	log      string
	command  *exec.Cmd
}

func (g *gatewayProcess) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

// start starts the process, again if it has ended.
func (g *gatewayProcess) start(root string) error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command(filepath.Join(root, "target", "fulmarspindle"), "gateway")
	g.command.Dir = root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARSPINDLE_CONFIG=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.command.Start()
}

func (g *gatewayProcess) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
		_ = g.command.Wait()
	}
}

func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/fulmarspindle/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// renderTemplate fills in the settings template of the deploy file, as far as that template uses
// the platform's syntax: values, lists as JSON and sections that depend on a value.
func renderTemplate(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := lookUp(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		fatal(err)
		return string(encoded)
	})
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []int:
			value = v[0]
		default:
			return nil
		}
	}
	return value
}
