package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

type keysCmd struct {
	env *env

	Out       string   `long:"out" default:"." description:"directory for the key files"`
	Instances []string `long:"instance" description:"id of an instance to create a certificate for; may be given more than once"`
	Hash      string   `long:"hash" description:"print the hash of a customer's or an operator's key, as stored in declarations and settings"`
}

const (
	dirMode  = 0o755
	fileMode = 0o600
)

// Execute implements flags.Commander: it creates a fleet's certificate authority and its instances' certificates,
// or hashes a key.
func (c *keysCmd) Execute([]string) error {
	if c.Hash != "" {
		_, err := fmt.Fprintln(c.env.out, declare.HashKey(c.Hash))
		return err
	}
	if len(c.Instances) == 0 {
		return eris.New("name at least one --instance, or a key to --hash")
	}
	ca, err := mesh.NewAuthority()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, dirMode); err != nil {
		return eris.Wrap(err, "creating the directory")
	}
	if err := c.write("ca.pem", ca.PEM()); err != nil {
		return err
	}
	for _, id := range c.Instances {
		cert, key, err := ca.Issue(id)
		if err != nil {
			return err
		}
		if err := c.write(id+".pem", cert); err != nil {
			return err
		}
		if err := c.write(id+".key", key); err != nil {
			return err
		}
	}
	return nil
}

func (c *keysCmd) write(name string, data []byte) error {
	path := filepath.Join(c.Out, name)
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return eris.Wrap(err, "writing a key file")
	}
	_, err := fmt.Fprintln(c.env.out, path)
	return err
}
