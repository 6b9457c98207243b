//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/platform/standin"
)

func init() { scenes["restored-key"] = playRestoredKey }

const (
	revokeBound = 5 * time.Second
	// storeAway is how long the store is away, rewriteTime how long the operator and the replicas take to write again what it has lost.
	storeAway   = 600 * time.Millisecond
	rewriteTime = 1800 * time.Millisecond
	// restartDelay is the time from the end of the processes to their next start.
	restartDelay   = 200 * time.Millisecond
	restoreEntries = 3
	withdrawnKey   = "key-withdrawn"
)

// keyConfiguration returns a configuration with some keys.
func keyConfiguration(version int, keys ...string) map[string]any {
	document := configuration(version, "counter-a")
	document["tenants"] = []map[string]any{{"name": "tenant-1", "api-keys": keys}}
	return document
}

// playRestoredKey takes a key away, and later lets the store come back from a copy that still has it while all entries start again.
func playRestoredKey(s *scene) error {
	ran := &sync.Map{}
	st := newStore()
	records := map[string]any{}
	for n := range 2 {
		listener, err := listen(s.ip(2, n))
		if err != nil {
			return err
		}
		server := &plainServer{service: "counter-a", id: fmt.Sprintf("i-%d", n), address: listener.Addr().String(), ran: ran}
		go func() { _ = http.Serve(listener, server) }()
		records["servers/"+server.id] = map[string]any{
			"service": "counter-a", "address": server.address, "zone": "a", "version": 1, "slots": 6, "state": "ready",
			"warmup-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
	}
	version := 1
	write := func(keys ...string) {
		st.put("op/config", keyConfiguration(version, keys...))
		for key, record := range records {
			st.put(key, record)
		}
	}
	write(caseKey, withdrawnKey)
	address, err := serveStore(s, st)
	if err != nil {
		return err
	}
	var settings []standin.ProcessSettings
	var commands []*exec.Cmd
	var ready []string
	peerPort, err := s.freePeerPort(map[int]int{4: restoreEntries})
	if err != nil {
		return err
	}
	for i := range restoreEntries {
		entry, err := s.entrySettings(i, restoreEntries, peerPort, address)
		if err != nil {
			return err
		}
		settings = append(settings, entry)
		command, err := s.start("entry", settings[i])
		if err != nil {
			return err
		}
		settings[i].FirstStart = false
		commands, ready = append(commands, command), append(ready, settings[i].Ready)
	}
	if err := awaitReady(ready); err != nil {
		return err
	}
	// ONLY plays one of the two disruptions by itself.
	kills, restores := s.trouble && os.Getenv("ONLY") != "restore", s.trouble && os.Getenv("ONLY") != "kill"
	sent, late := 0, 0
	for round := 1; round <= 3; round++ {
		time.Sleep(6 * time.Second)
		copied := st.present()
		copiedAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		version++
		st.put("op/config", keyConfiguration(version, caseKey))
		acknowledged := time.Now()
		s.log("round %d: version %d, which takes the key away, is acknowledged", round, version)
		time.Sleep(revokeBound + 300*time.Millisecond)
		for i := range settings {
			status, _ := redeemWith(settings[i].Callers, fmt.Sprintf("%d-before-%d", round, i), withdrawnKey)
			s.log("round %d: a request with the key to entry %d: status %d", round, i, status)
		}
		var rewritten time.Time
		if restores {
			st.leave()
			s.log("round %d: the store is away", round)
		}
		if kills {
			s.log("round %d: the processes of all entries are killed", round)
			for _, command := range commands {
				_ = command.Process.Kill()
			}
			for _, command := range commands {
				_ = command.Wait()
			}
			time.Sleep(restartDelay)
			for i := range commands {
				if commands[i], err = s.start("entry", settings[i]); err != nil {
					return err
				}
			}
		}
		time.Sleep(storeAway - restartDelay)
		if restores {
			st.restore(copied)
			rewritten = time.Now().Add(rewriteTime)
			s.log("round %d: the store is back from a copy that is %.1f s old", round, time.Since(copiedAt).Seconds())
		}
		for n, end := 0, time.Now().Add(3*time.Second); time.Now().Before(end); n++ {
			if !rewritten.IsZero() && time.Now().After(rewritten) {
				rewritten = time.Time{}
				write(caseKey)
				s.log("round %d: the operator and the replicas have written again what the store had lost", round)
			}
			for i := range settings {
				id := fmt.Sprintf("%d-%d-%d", round, n, i)
				sentAfter := time.Since(acknowledged)
				status, _ := redeemWith(settings[i].Callers, id, withdrawnKey)
				sent++
				if _, found := ran.Load(id); found {
					late++
					s.violate("CONFIG: request %s, sent %.3f s after version %d had taken its key away, ran; status %d", id, sentAfter.Seconds(), version, status)
				} else {
					s.log("request %s, sent to entry %d %.3f s after the acknowledgement: status %d, not run", id, i, sentAfter.Seconds(), status)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		// The key is given out again for the next round.
		version++
		write(caseKey, withdrawnKey)
		time.Sleep(3 * time.Second)
	}
	s.log("%d requests with the withdrawn key sent, %d ran", sent, late)
	return nil
}
