package deploy

import (
	"flag"
	"strings"
	"sync/atomic"
)

// formerBuild has the tests that run sidecars mix two builds, as an upgrade and its rollback do: every second process is
// of the earlier build, beginning with the first one.
var formerBuild = flag.String("former", "", "folder with an earlier build's programs, which every second process runs")

// formerTool has the tests call the earlier build's operators' tool.
var formerTool = flag.Bool("former.tool", false, "call the operators' tool in the folder of -former")

var processStarts atomic.Int64

// programLine returns the command line of the next process: the line itself, or the same program of the earlier build.
func programLine(line string) string {
	if *formerBuild == "" || processStarts.Add(1)%2 == 0 {
		return line
	}
	return strings.Replace(line, "bin/", *formerBuild+"/", 1)
}

// toolFolder returns the folder of the operators' tool.
func toolFolder(built string) string {
	if *formerTool {
		return *formerBuild
	}
	return built
}
