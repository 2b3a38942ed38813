package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/demo"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = execute(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestCommands(t *testing.T) {
	Convey("check names every bad field and exits 1", t, func() {
		code, _, errOut := run("check", "../internal/settings/testdata/unknown-and-missing.json")
		So(code, ShouldEqual, exitFailed)
		for _, path := range []string{"instance/colour", "extra", "operators/keys/anna", "platform/store_url", "budget/horizon"} {
			So(errOut, ShouldContainSubstring, path+": ")
		}
	})
	Convey("check is content with the examples", t, func() {
		for _, file := range []string{"../examples/a-1.json", "../examples/declarations"} {
			code, out, errOut := run("check", file)
			So(errOut, ShouldBeEmpty)
			So(out, ShouldContainSubstring, "no faults")
			So(code, ShouldEqual, exitOK)
		}
	})
	Convey("a declaration that names a missing pool is named", t, func() {
		dir := t.TempDir()
		decl := `{"endpoints":{"e":{"zone":"z","url":"http://x","pool":"nowhere","state":"active","capacity":1,"checks":true}},"zones":{"z":{"region":"r"}}}`
		So(os.WriteFile(filepath.Join(dir, "a.json"), []byte(decl), 0o600), ShouldBeNil)
		code, _, errOut := run("check", dir)
		So(code, ShouldEqual, exitFailed)
		So(errOut, ShouldContainSubstring, `endpoints/e/pool: there is no pool "nowhere"`)
	})
	Convey("an unknown command and an unknown fault are told", t, func() {
		code, _, _ := run("dance")
		So(code, ShouldEqual, exitUsage)
		code, _, errOut := run("demo", "--fault", "meteor")
		So(code, ShouldEqual, exitFailed)
		So(errOut, ShouldContainSubstring, "meteor")
	})
	Convey("the fault list has the names of the contract", t, func() {
		_, out, _ := run("demo", "--fault", "list")
		So(strings.Fields(out), ShouldResemble, demo.FaultNames())
		So(len(demo.FaultNames()), ShouldBeGreaterThanOrEqualTo, 22)
	})
}

func TestDemo(t *testing.T) {
	for _, faults := range [][]string{nil, {"home-crash"}, {"rolling-stop", "store-answer-lost"}} {
		Convey("the demo keeps every promise under "+strings.Join(faults, " and "), t, func() {
			args := []string{"demo", "--duration", "2s", "--seed", "7", "--json"}
			for _, f := range faults {
				args = append(args, "--fault", f)
			}
			code, out, errOut := run(args...)
			So(errOut, ShouldBeEmpty)
			var res demo.Result
			So(json.Unmarshal([]byte(out), &res), ShouldBeNil)
			So(res.Notes, ShouldBeEmpty)
			So(res.GuaranteesHeld(), ShouldBeTrue)
			So(code, ShouldEqual, exitOK)
		})
	}
}

// processes starts the built program as an operator would.
type processes struct {
	t   *testing.T
	bin string
}

func build(t *testing.T) *processes {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "ledgemount")
	out, err := exec.Command("go", "build", "-o", bin, "..").CombinedOutput() //nolint:gosec // the project itself
	if err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return &processes{t: t, bin: bin}
}

func (p *processes) start(args ...string) *exec.Cmd {
	c := exec.Command(p.bin, args...) //nolint:gosec // the project itself
	c.Dir = ".."
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	return c
}

func (p *processes) run(args ...string) string {
	c := exec.Command(p.bin, args...) //nolint:gosec // the project itself
	c.Dir = ".."
	out, err := c.CombinedOutput()
	if err != nil {
		p.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("gave up waiting for %s", what)
}

func up(url string) func() bool {
	return func() bool {
		resp, err := http.Get(url) //nolint:gosec,noctx // loopback
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

// TestProcesses runs the README's first steps as separate processes, and stops and freezes them.
func TestProcesses(t *testing.T) {
	p := build(t)
	if _, err := os.Stat("../examples/keys/ca.pem"); err != nil {
		p.run("keys", "--out", "examples/keys", "--instance", "a-1", "--instance", "a-2")
	}
	p.start("standin", "--settings", "examples/standin.json")
	first := p.start("serve", "--settings", "examples/a-1.json")
	second := p.start("serve", "--settings", "examples/a-2.json")
	await(t, "the instances", func() bool { return up("http://127.0.0.1:8181/healthz")() && up("http://127.0.0.1:8182/healthz")() })
	plan := p.run("plan", "--key", "operator-example", "--address", "http://127.0.0.1:8181", "examples/declarations")
	id := strings.Fields(plan)[1]
	p.run("confirm", "--key", "operator-example", "--address", "http://127.0.0.1:8182", id)
	await(t, "readiness", func() bool { return up("http://127.0.0.1:8081/readyz")() && up("http://127.0.0.1:8082/readyz")() })

	Convey("A stream that SIGTERM meets in its middle comes whole, and the process exits 0", t, func() {
		done := make(chan string, 1)
		go func() { done <- stream("http://127.0.0.1:8081", "") }()
		time.Sleep(500 * time.Millisecond)
		So(first.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(<-done, ShouldEndWith, "data: [DONE]\n\n")
		So(first.Wait(), ShouldBeNil)
	})
	Convey("A frozen instance goes on where it was, and answers whole", t, func() {
		done := make(chan string, 1)
		go func() { done <- stream("http://127.0.0.1:8082", "frozen") }()
		time.Sleep(500 * time.Millisecond)
		So(second.Process.Signal(syscall.SIGSTOP), ShouldBeNil)
		time.Sleep(time.Second)
		So(second.Process.Signal(syscall.SIGCONT), ShouldBeNil)
		So(<-done, ShouldEndWith, "data: [DONE]\n\n")
	})
	Convey("A killed instance is replaced, and the replacement serves", t, func() {
		whole := stream("http://127.0.0.1:8082", "killed")
		So(second.Process.Kill(), ShouldBeNil)
		_ = second.Wait()
		p.start("serve", "--settings", "examples/a-2.json")
		await(t, "the replacement", up("http://127.0.0.1:8082/readyz"))
		So(whole, ShouldEndWith, "data: [DONE]\n\n")
		So(stream("http://127.0.0.1:8082", "after"), ShouldEndWith, "data: [DONE]\n\n")
	})
	Convey("A replayed plan changes nothing, and a forged one is refused", t, func() {
		out := p.run("confirm", "--key", "operator-example", "--address", "http://127.0.0.1:8182", id)
		So(out, ShouldContainSubstring, "version 1")
		c := exec.Command(p.bin, "confirm", "--key", "operator-example", "--address", "http://127.0.0.1:8182", "01HZZZZZZZZZZZZZZZZZZZZZZZ")
		forged, err := c.CombinedOutput()
		So(err, ShouldNotBeNil)
		So(string(forged), ShouldContainSubstring, "does not exist")
	})
}

// stream makes a streaming request and returns all that came.
func stream(base, key string) string {
	body := `{"model":"drafts","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"please summarise the report"}]}`
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body)) //nolint:noctx // a test
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer caller-example")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var out bytes.Buffer
	if _, err := out.ReadFrom(resp.Body); err != nil {
		return err.Error()
	}
	return out.String()
}
