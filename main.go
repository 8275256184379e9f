// Command crocusline routes requests for prepaid token budgets to backend
// servers.
package main

import "os"

func main() {
	os.Exit(0)
}
