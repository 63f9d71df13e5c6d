// Standin2 plays the cases of the second review that can't be put as a day. It starts the
// project's own programs as processes on loopback addresses, with stand-ins of the store, the
// workers and the callers in this process, and judges what these have seen.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not be played. With -trouble=false it plays the case without its disruption.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

// longestPlay bounds a case.
const longestPlay = 100 * time.Second

// play plays a case, and returns what broke the rule, empty if it held.
type play func(ctx context.Context, f *fleet, trouble bool) (string, error)

var plays = map[string]play{
	"cancelled-submission": playCancelledSubmission,
	"late-listing-call":    playLateListingCall,
	"late-start-call":      playLateStartCall,
	"lost-hosts":           playLostHosts,
	"long-schedules":       playLongSchedules,
	"waiting-gang":         playWaitingGang,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the case, for the record")
	binary := flag.String("binary", "target/carobkeel", "program that the deploy file names")
	trouble := flag.Bool("trouble", true, "play the disruption of the case")
	flag.Parse()
	chosen, known := plays[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotPlayed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestPlay)
	defer cancel()
	finding, err := playCase(ctx, chosen, *trouble, *binary, filepath.Join(*folder, "record.txt"))
	switch {
	case err != nil:
		fmt.Println("not played:", err)
		return exitNotPlayed
	case finding != "":
		fmt.Println("broken:", finding)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func playCase(ctx context.Context, chosen play, trouble bool, binary, recordPath string) (finding string, err error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return "", err
	}
	defer r.close()
	temporary, err := os.MkdirTemp("", "case")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	f, err := startFleet(ctx, binary, temporary, r)
	defer f.stop()
	if err != nil {
		return "", err
	}
	r.note("case", "trouble %v", trouble)
	finding, err = chosen(ctx, f, trouble)
	switch {
	case err != nil:
		r.note("case", "not played: %v", err)
	case finding != "":
		r.note("case", "broken: %s", finding)
	default:
		r.note("case", "held")
	}
	return finding, err
}
