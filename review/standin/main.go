package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the maximum time of a case.
const maxTime = 115 * time.Second

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(*scene) (bool, error){
	"rolling-restart": rollingRestart,
	"silent-peers":    silentPeers,
	"partial-read":    partialRead,
	"split-route":     splitRoute,
	"no-tenant-left":  noTenantLeft,
}

// scene is one run of a case.
type scene struct {
	// trouble is set unless the run leaves out the disruption.
	trouble bool
	start   time.Time

	mutex sync.Mutex
	log   *os.File
	fleet *fleet
}

// note writes a line to the record.
func (s *scene) note(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.log, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// abort ends all processes of the case and exits.
func (s *scene) abort(reason string) {
	s.note("the case could not run: %s", reason)
	s.mutex.Lock()
	f := s.fleet
	s.mutex.Unlock()
	if f != nil {
		f.close()
	}
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs the case, writes its record to the folder and returns the exit status.
func run(name, folder string) int {
	log, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = log.Close() }()
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), log: log}
	s.note("case %s, trouble %t", name, s.trouble)
	defer time.AfterFunc(maxTime, func() { s.abort("it takes too long") }).Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.abort("it was stopped")
	}()
	broken, err := cases[name](s)
	verdict, status := "the rule held", exitHeld
	switch {
	case err != nil:
		verdict, status = "the case could not run: "+strings.TrimSpace(err.Error()), exitNotRun
	case broken:
		verdict, status = "the rule was broken", exitBroken
	}
	s.note("%s", verdict)
	fmt.Println(name+":", verdict)
	return status
}
