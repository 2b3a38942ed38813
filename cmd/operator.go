package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/intent"
)

const clientTimeout = 15 * time.Second

// apiClient holds the options for calls to the operators' API of an instance.
type apiClient struct {
	Address string `long:"address" env:"LEDGEMOUNT_ADDRESS" default:"http://127.0.0.1:8081" description:"address of any instance's operators' API"`
	Key     string `long:"key" env:"LEDGEMOUNT_KEY" description:"operator's key"`
}

// call sends a request and returns the response body. A status other than 200 is an error.
func (c *apiClient) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "creating the request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "calling the instance")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, eris.Wrap(err, "reading the response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemError(data, resp.Status)
	}
	return data, nil
}

// problemError turns the response body of a failed call into an error for the operator.
func problemError(data []byte, status string) error {
	var p gateway.Problem
	if json.Unmarshal(data, &p) != nil || p.Title == "" {
		return eris.Errorf("the instance responded with status %s", status)
	}
	msg := fmt.Sprintf("%s: %s", p.Title, p.Detail)
	if p.Field != "" {
		msg = p.Field + ": " + msg
	}
	if p.RetryAfter > 0 {
		msg += fmt.Sprintf(" (ask again in %d s)", p.RetryAfter)
	}
	return eris.New(msg)
}

type planCmd struct {
	env *env
	apiClient

	JSON bool `long:"json" description:"print the plan as JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"an intent, or a directory of declarations that replaces the whole configuration"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander: it creates a plan and prints it; nothing else changes.
func (c *planCmd) Execute([]string) error {
	body, err := readIntent(c.Args.File)
	if err != nil {
		return err
	}
	data, err := c.call(c.env.ctx, http.MethodPost, "/v1/intents", body)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintln(c.env.out, string(bytes.TrimSpace(data)))
		return err
	}
	var p intent.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return eris.Wrap(err, "decoding the plan")
	}
	return p.Text(c.env.out)
}

// readIntent reads an intent, or builds one from a directory of declarations.
func readIntent(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the intent")
	}
	if !info.IsDir() {
		data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, eris.Wrap(err, "reading the intent")
		}
		return data, checkIntent(data)
	}
	dir, err := declare.ReadDir(os.DirFS(path))
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(dir)
	return b, eris.Wrap(err, "encoding the intent")
}

type confirmCmd struct {
	env *env
	apiClient

	JSON bool `long:"json" description:"print the result as JSON"`
	Args struct {
		ID string `positional-arg-name:"ID" description:"the plan's id"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander: it confirms a plan and prints the result.
func (c *confirmCmd) Execute([]string) error {
	data, err := c.call(c.env.ctx, http.MethodPost, "/v1/plans/"+c.Args.ID+"/confirm", []byte("{}"))
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintln(c.env.out, string(bytes.TrimSpace(data)))
		return err
	}
	var r intent.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return eris.Wrap(err, "decoding the result")
	}
	return r.Text(c.env.out)
}

type showCmd struct {
	env *env
	apiClient

	Args struct {
		What string `positional-arg-name:"WHAT" description:"config, endpoints, instances, holds, accounts, store, burn, budgets/ID or plans/ID"`
	} `positional-args:"true" required:"true"`
}

// resources lists the resources of the operators' API that have no ID.
var resources = []string{"config", "endpoints", "instances", "holds", "accounts", "store", "burn"}

// Execute implements flags.Commander: it prints a resource of the operators' API as JSON.
func (c *showCmd) Execute([]string) error {
	if !isResource(c.Args.What) {
		return eris.Errorf("there is no %q to show; try %s, budgets/ID or plans/ID", c.Args.What, strings.Join(resources, ", "))
	}
	data, err := c.call(c.env.ctx, http.MethodGet, "/v1/"+c.Args.What, nil)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return eris.Wrap(err, "decoding the response")
	}
	_, err = fmt.Fprintln(c.env.out, strings.TrimSpace(out.String()))
	return err
}

// isResource reports whether the show command accepts a resource's name.
func isResource(what string) bool {
	for _, s := range resources {
		if what == s {
			return true
		}
	}
	return strings.HasPrefix(what, "budgets/") || strings.HasPrefix(what, "plans/")
}
