package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/pkg/errors"
)

// versionCommand prints the module's version and the Go release.
func versionCommand() command {
	return command{
		name:    "version",
		summary: "print the version",
		run: func(_ context.Context, args []string, io streams) int {
			if code, ok := parse(newFlagSet("version", io), args, io); !ok {
				return code
			}
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fail(io, errors.New("the binary carries no build information"))
			}
			version := info.Main.Version
			if version == "" {
				version = "devel"
			}
			fmt.Fprintf(io.out, "carobkeel %s %s\n", version, runtime.Version())
			return exitOK
		},
	}
}
