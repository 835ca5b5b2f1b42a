package sighup_test

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/sighup"
)

// Guards against a process that SIGHUP ends because nothing has asked for the signal yet.
func TestSignalIsReceivedWithoutFurtherSetup(t *testing.T) {
	g := NewWithT(t)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(sighup.Received(), 10*time.Second).Should(Receive(Equal(syscall.SIGHUP)))
}

// Guards against a handler that is installed late because the package waits for others to be
// initialized: those of this program and its libraries take some ms.
func TestPackageImportsTheStandardLibraryOnly(t *testing.T) {
	g := NewWithT(t)
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Fields(string(out))).To(Equal([]string{"fulmarspindle.example/fulmarspindle/sighup"}))
}
