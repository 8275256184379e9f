// Command crocusline routes requests for prepaid token budgets to backend
// servers.
package main

import (
	"os"

	"github.com/crocusline/crocusline/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
