// Command standin2 plays cases against routers that run as processes, with stand-ins of the store, the engines and the clients.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases are the cases by name. Each returns what was broken.
var cases = map[string]func(trouble bool) []string{"kills": kills, "moved": moved}

// The routers end with the thread that has started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fail("no such case")
	}
	broken := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	for i, b := range broken {
		if i < 20 {
			fmt.Println("BROKEN", b)
		}
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
}
