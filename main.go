// Command crocusline routes requests to backend servers and bills them to prepaid token
// budgets.
package main

import (
	"os"

	"github.com/crocusline/crocusline/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
