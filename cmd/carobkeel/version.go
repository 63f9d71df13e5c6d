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
			version, err := buildVersion()
			if err != nil {
				return fail(io, err)
			}
			fmt.Fprintf(io.out, "carobkeel %s %s\n", version, runtime.Version())
			return exitOK
		},
	}
}

// buildVersion returns the module's version, or "devel" for a build without
// one.
func buildVersion() (string, error) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "", errors.New("the binary has no build information")
	}
	if info.Main.Version == "" {
		return "devel", nil
	}
	return info.Main.Version, nil
}
