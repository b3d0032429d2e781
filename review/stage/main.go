package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime is the time after which a case that has not ended counts as one that could not run.
const maxTime = 115 * time.Second

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*site, bool) (broken bool, err error){
	"drip":   playDrip,
	"heads":  playHeads,
	"herd":   playHerd,
	"rotate": playRotate,
}

var errUnknownCase = errors.New("unknown case")

func main() {
	program := flag.String("program", "target/dragonflypass", "program of an entry VM, as the deploy file builds it")
	file := flag.String("record", "record.txt", "file to which the record is written")
	flag.Parse()
	code, err := play(flag.Arg(0), *program, *file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
	}
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(name, program, file string) (code int, err error) {
	playCase, ok := cases[name]
	if !ok {
		return exitFailed, errUnknownCase
	}
	record, err := newRecord(file)
	if err != nil {
		return exitFailed, err
	}
	defer record.close()
	s, err := newSite(program, record)
	if err != nil {
		return exitFailed, err
	}
	defer s.close()
	giveUp := func(cause string) {
		s.close()
		fmt.Fprintln(os.Stderr, "stage:", cause)
		os.Exit(exitFailed)
	}
	time.AfterFunc(maxTime, func() { giveUp("the case did not end in time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		giveUp("stopped")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %t", name, trouble)
	broken, err := playCase(s, trouble)
	switch {
	case err != nil:
		record.add("not played: %s", err)
		return exitFailed, err
	case broken:
		record.add("result: the rule was broken")
		return exitBroken, nil
	}
	record.add("result: the rule held")
	return exitHeld, nil
}
