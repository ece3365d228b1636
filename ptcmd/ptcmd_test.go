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

func run(arguments ...string) (status int, output, errorOutput string) {
	var out, err bytes.Buffer
	status = ptcmd.Run(context.Background(), arguments, &out, &err)
	return status, out.String(), err.String()
}

func TestErrorsAndExitStatuses(t *testing.T) {
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
		status, _, errorOutput := run(test.arguments...)
		NewWithT(t).Expect(status).To(Equal(test.status), name+errorOutput)
		NewWithT(t).Expect(errorOutput).To(ContainSubstring(test.text), name)
	}
}

func TestEnvironmentAndExplain(t *testing.T) {
	t.Setenv("PRIMROSETILLER_SLOTS", "many")
	status, _, errorOutput := run("agent", "--name", "a", "--service", "s", "--upstream", "http://127.0.0.1:1")
	NewWithT(t).Expect(status).To(Equal(2))
	NewWithT(t).Expect(errorOutput).To(ContainSubstring("many"))
	status, output, _ := run("explain", "queueFor")
	NewWithT(t).Expect(status).To(BeZero())
	NewWithT(t).Expect(output).To(ContainSubstring("Longest wait before a start"))
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"gwasanaeth.yaml", "gulong.yaml"} {
		status, output, errorOutput := run("validate", "-f", "../examples/"+name)
		NewWithT(t).Expect(status).To(BeZero(), errorOutput)
		NewWithT(t).Expect(output).To(ContainSubstring("valid"))
	}
}

func TestDemoPrintsReportWithoutViolations(t *testing.T) {
	expect := NewWithT(t)
	status, output, errorOutput := run("demo")
	expect.Expect(status).To(BeZero(), errorOutput)
	lines := strings.Split(strings.TrimSpace(output), "\n")
	expect.Expect(lines[len(lines)-1]).To(Equal("violations 0"))
	expect.Expect(errorOutput).NotTo(ContainSubstring("drains"), "log lines of the shutdown must not be printed")
	expect.Expect(output).NotTo(ContainSubstring("agents 0.0 us"), "the cost of the agents is not measured in one process and must not be printed")
}
