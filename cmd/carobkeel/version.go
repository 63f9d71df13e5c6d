package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCommand prints the module's version and the Go release.
func versionCommand() command {
	return command{
		name:    "version",
		summary: "print the version",
		run: func(_ context.Context, _ []string, io streams) int {
			version := "devel"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				version = info.Main.Version
			}
			fmt.Fprintf(io.out, "carobkeel %s %s\n", version, runtime.Version())
			return exitOK
		},
	}
}
