package ptcmd_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/primrosetiller/primrosetiller/ptcmd"
)

func run(arguments ...string) (status int, output, errors string) {
	var out, err bytes.Buffer
	status = ptcmd.Run(context.Background(), arguments, &out, &err)
	return status, out.String(), err.String()
}

func TestUsage(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	NewWithT(t).Expect(os.WriteFile(file, []byte("name: entry1\nagentsListen: nowhere\ncolour: red\n"), 0o600)).To(Succeed())
	for name, test := range map[string]struct {
		arguments []string
		status    int
		text      string
	}{
		"nothing":         {nil, 2, ""},
		"unknown command": {[]string{"dance"}, 2, `unknown command "dance"`},
		"missing name":    {[]string{"entry"}, 2, "--name: missing"},
		"bad flag":        {[]string{"agent", "--slots", "none"}, 2, "a whole number from 1 to 65536"},
		"bad file":        {[]string{"entry", "--config", file}, 2, file + `:2: agentsListen: "nowhere" is not allowed; allowed: IP:PORT`},
		"unknown setting": {[]string{"entry", "--config", file}, 2, file + ":3: colour: unknown field; allowed: adminListen, agentsListen"},
		"no upstream":     {[]string{"drain", "--log", "http://127.0.0.1:1"}, 2, "want one argument"},
		"no file":         {[]string{"validate"}, 2, "-f: missing"},
		"unknown topic":   {[]string{"explain", "nothingLikeThis"}, 1, "nothing is named"},
		"log unreachable": {[]string{"get", "--log", "http://127.0.0.1:1"}, 1, "read the configuration"},
	} {
		status, _, errors := run(test.arguments...)
		NewWithT(t).Expect(status).To(Equal(test.status), name+errors)
		NewWithT(t).Expect(errors).To(ContainSubstring(test.text), name)
	}
}

func TestEnvironmentAndExplain(t *testing.T) {
	t.Setenv("PRIMROSETILLER_SLOTS", "many")
	status, _, errors := run("agent", "--name", "a", "--service", "s", "--upstream", "http://127.0.0.1:1")
	NewWithT(t).Expect(status).To(Equal(2))
	NewWithT(t).Expect(errors).To(ContainSubstring("many"))
	status, output, _ := run("explain", "queueFor")
	NewWithT(t).Expect(status).To(BeZero())
	NewWithT(t).Expect(output).To(ContainSubstring("Longest wait before a start"))
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"gwasanaeth.yaml", "gulong.yaml"} {
		status, output, errors := run("validate", "-f", "../examples/"+name)
		NewWithT(t).Expect(status).To(BeZero(), errors)
		NewWithT(t).Expect(output).To(ContainSubstring("valid"))
	}
}

func TestDemoEndsWithItsFigures(t *testing.T) {
	expect := NewWithT(t)
	status, output, errors := run("demo")
	expect.Expect(status).To(BeZero(), errors)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	expect.Expect(lines[len(lines)-1]).To(Equal("violations 0"))
	expect.Expect(errors).NotTo(ContainSubstring("drains"), "the log lines of the shutdown")
	expect.Expect(output).NotTo(ContainSubstring("agents 0.0 us"), "a cost that can't be told apart")
}
