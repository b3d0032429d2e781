package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// rollGap is the time from the stop of one machine to that of the next.
	rollGap = 9600 * time.Millisecond
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// deadlyInterval is the time between two attempts of the deadly request.
	deadlyInterval = 800 * time.Millisecond
)

// rollingRestart stops and starts the entry VMs in turn while a request that crashes each server that runs it comes again
// and again, at any machine. It checks in how many retries that request reaches servers later than stableTime after it has
// crashed the third one, as sent by machines that have not been stopped or started in the last stableTime.
func rollingRestart(s *scene) (bool, error) {
	f, err := newFleet(s)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.addDeadlySite(); err != nil {
		return false, err
	}
	if err := f.startVMs(f.seedsOf); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	calmSince := make(map[*vm]time.Time)
	inTouch := func(v *vm) bool {
		mutex.Lock()
		defer mutex.Unlock()
		return time.Since(calmSince[v]) > stableTime
	}
	setCalm := func(v *vm, since time.Time) {
		mutex.Lock()
		defer mutex.Unlock()
		calmSince[v] = since
	}
	var failure error
	var wg sync.WaitGroup
	time.Sleep(4 * time.Second)
	if s.trouble {
		wg.Go(func() {
			time.Sleep(8 * time.Second)
			for _, v := range f.vms {
				stoppedAt := time.Now()
				setCalm(v, stoppedAt.Add(time.Hour))
				if failure = f.restart(v); failure != nil {
					return
				}
				setCalm(v, time.Now())
				s.note("%s was stopped with SIGTERM %.1f s ago and is ready again", v.name, time.Since(stoppedAt).Seconds())
				time.Sleep(time.Until(stoppedAt.Add(rollGap)))
			}
		})
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	counts := make([]map[int]int, machines)
	for i, v := range f.vms {
		counts[i] = make(map[int]int)
		callers.Go(func() { callContinuously(v, counts[i], stop) })
	}
	sent := f.sendDeadly(92, deadlyInterval, inTouch)
	wg.Wait()
	close(stop)
	callers.Wait()
	for i, v := range f.vms {
		s.note("sound orders at %s, by status (0 without an answer): %v", v.name, counts[i])
	}
	if failure != nil {
		return false, failure
	}
	return countDeadlyRetries(f, sent), nil
}

// restart stops the entry VM as the platform does, and starts it again.
func (f *fleet) restart(v *vm) error {
	if err := v.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-v.done:
	case <-time.After(graceTime):
		v.kill()
	}
	if err := f.start(v, f.seedsOf(v)); err != nil {
		return err
	}
	return v.awaitReady()
}
