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
	Convey("check names every invalid field and exits 1", t, func() {
		code, _, errOut := run("check", "../internal/settings/testdata/unknown-and-missing.json")
		So(code, ShouldEqual, exitFailed)
		for _, path := range []string{"instance/colour", "extra", "operators/keys/anna", "platform/store_url", "budget/horizon"} {
			So(errOut, ShouldContainSubstring, path+": ")
		}
	})
	Convey("check finds no faults in the examples", t, func() {
		for _, file := range []string{"../examples/a-1.json", "../examples/declarations"} {
			code, out, errOut := run("check", file)
			So(errOut, ShouldBeEmpty)
			So(out, ShouldContainSubstring, "no faults")
			So(code, ShouldEqual, exitOK)
		}
	})
	Convey("a declaration that refers to a missing pool is reported with its path", t, func() {
		dir := t.TempDir()
		decl := `{"endpoints":{"e":{"zone":"z","url":"http://x","pool":"nowhere","state":"active","capacity":1,"checks":true}},"zones":{"z":{"region":"r"}}}`
		So(os.WriteFile(filepath.Join(dir, "a.json"), []byte(decl), 0o600), ShouldBeNil)
		code, _, errOut := run("check", dir)
		So(code, ShouldEqual, exitFailed)
		So(errOut, ShouldContainSubstring, `endpoints/e/pool: there is no pool "nowhere"`)
	})
	Convey("an unknown command and an unknown fault are reported", t, func() {
		code, _, _ := run("dance")
		So(code, ShouldEqual, exitUsage)
		code, _, errOut := run("demo", "--fault", "meteor")
		So(code, ShouldEqual, exitFailed)
		So(errOut, ShouldContainSubstring, "meteor")
	})
	Convey("the fault list has every fault of the demo", t, func() {
		_, out, _ := run("demo", "--fault", "list")
		So(strings.Fields(out), ShouldResemble, demo.FaultNames())
		So(len(demo.FaultNames()), ShouldBeGreaterThanOrEqualTo, 22)
	})
}

func TestDemo(t *testing.T) {
	for _, faults := range [][]string{nil, {"home-crash"}, {"rolling-stop", "store-answer-lost"}} {
		Convey("the demo meets all its guarantees under "+strings.Join(faults, " and "), t, func() {
			args := []string{"demo", "--duration", "2s", "--seed", "7", "--json"}
			for _, f := range faults {
				args = append(args, "--fault", f)
			}
			code, out, errOut := run(args...)
			So(errOut, ShouldBeEmpty)
			var res demo.Result
			So(json.Unmarshal([]byte(out), &res), ShouldBeNil)
			So(res.Notes, ShouldBeEmpty)
			So(res.Kept(), ShouldBeTrue)
			So(code, ShouldEqual, exitOK)
		})
	}
}

// binary is the built program. Its methods run it from the project's root, as an operator would.
type binary struct {
	t   *testing.T
	bin string
}

func buildBinary(t *testing.T) *binary {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "ledgemount")
	out, err := exec.Command("go", "build", "-o", bin, "..").CombinedOutput() //nolint:gosec // the project itself
	if err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	return &binary{t: t, bin: bin}
}

func (b *binary) start(args ...string) *exec.Cmd {
	c := exec.Command(b.bin, args...) //nolint:gosec // the project itself
	c.Dir = ".."
	if err := c.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	return c
}

func (b *binary) run(args ...string) string {
	c := exec.Command(b.bin, args...) //nolint:gosec // the project itself
	c.Dir = ".."
	out, err := c.CombinedOutput()
	if err != nil {
		b.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("gave up waiting for %s", what)
}

func isUp(url string) func() bool {
	return func() bool {
		resp, err := http.Get(url) //nolint:gosec,noctx // loopback
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

// TestProcesses runs the first steps of the README as separate processes, and stops, suspends and kills instances.
func TestProcesses(t *testing.T) {
	p := buildBinary(t)
	if _, err := os.Stat("../examples/keys/ca.pem"); err != nil {
		p.run("keys", "--out", "examples/keys", "--instance", "a-1", "--instance", "a-2")
	}
	p.start("standin", "--settings", "examples/standin.json")
	first := p.start("serve", "--settings", "examples/a-1.json")
	second := p.start("serve", "--settings", "examples/a-2.json")
	waitFor(t, "the instances", func() bool { return isUp("http://127.0.0.1:8181/healthz")() && isUp("http://127.0.0.1:8182/healthz")() })
	plan := p.run("plan", "--key", "operator-example", "--address", "http://127.0.0.1:8181", "examples/declarations")
	id := strings.Fields(plan)[1]
	p.run("confirm", "--key", "operator-example", "--address", "http://127.0.0.1:8182", id)
	waitFor(t, "readiness", func() bool { return isUp("http://127.0.0.1:8081/readyz")() && isUp("http://127.0.0.1:8082/readyz")() })

	Convey("A stream in progress at SIGTERM completes, and the process exits 0", t, func() {
		done := make(chan string, 1)
		go func() { done <- stream("http://127.0.0.1:8081", "") }()
		time.Sleep(500 * time.Millisecond)
		So(first.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		So(<-done, ShouldEndWith, "data: [DONE]\n\n")
		So(first.Wait(), ShouldBeNil)
	})
	Convey("A suspended instance resumes its stream and completes it", t, func() {
		done := make(chan string, 1)
		go func() { done <- stream("http://127.0.0.1:8082", "frozen") }()
		time.Sleep(500 * time.Millisecond)
		So(second.Process.Signal(syscall.SIGSTOP), ShouldBeNil)
		time.Sleep(time.Second)
		So(second.Process.Signal(syscall.SIGCONT), ShouldBeNil)
		So(<-done, ShouldEndWith, "data: [DONE]\n\n")
	})
	Convey("An instance that is killed and started again serves requests", t, func() {
		whole := stream("http://127.0.0.1:8082", "killed")
		So(second.Process.Kill(), ShouldBeNil)
		_ = second.Wait()
		p.start("serve", "--settings", "examples/a-2.json")
		waitFor(t, "the replacement", isUp("http://127.0.0.1:8082/readyz"))
		So(whole, ShouldEndWith, "data: [DONE]\n\n")
		So(stream("http://127.0.0.1:8082", "after"), ShouldEndWith, "data: [DONE]\n\n")
	})
	Convey("Confirming a plan again changes nothing, and a plan that does not exist is rejected", t, func() {
		out := p.run("confirm", "--key", "operator-example", "--address", "http://127.0.0.1:8182", id)
		So(out, ShouldContainSubstring, "version 1")
		c := exec.Command(p.bin, "confirm", "--key", "operator-example", "--address", "http://127.0.0.1:8182", "01HZZZZZZZZZZZZZZZZZZZZZZZ")
		forged, err := c.CombinedOutput()
		So(err, ShouldNotBeNil)
		So(string(forged), ShouldContainSubstring, "does not exist")
	})
}

// stream sends a streaming request and returns the response body, or the text of the error.
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
