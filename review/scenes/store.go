//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's store, for configurations that the project's own does not have.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	// era is the number of restores from a copy, plus 1. away is true while the store answers nothing but 503.
	era  int
	away bool
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{}), era: 1}
}

func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.change(storeItem{Key: key, Value: data})
}

func (s *store) change(item storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// present returns the newest revision, for restore.
func (s *store) present() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// leave lets the store answer nothing any more, and ends what waits.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back as it was at a revision.
func (s *store) restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.history
	s.history, s.items = nil, map[string]storeItem{}
	for _, item := range kept {
		if item.Revision > revision {
			continue
		}
		s.history = append(s.history, item)
		if item.Deleted {
			delete(s.items, item.Key)
		} else {
			s.items[item.Key] = item
		}
	}
	s.revision, s.away = revision, false
	s.era++
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	answer := map[string]any{}
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		item, ok := s.items[query.Get("key")]
		answer["store-revision"] = s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			break
		}
		answer["key"], answer["value"], answer["revision"] = item.Key, item.Value, item.Revision
	case "/kv-range":
		s.mu.Lock()
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) {
				items = append(items, item)
			}
		}
		answer["items"], answer["has-more"], answer["store-revision"] = items, false, s.revision
		s.mu.Unlock()
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		events := []storeItem{}
		for len(events) == 0 {
			s.mu.Lock()
			if s.away || after > s.revision {
				gone := !s.away
				s.mu.Unlock()
				if gone {
					w.WriteHeader(http.StatusGone)
				} else {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return
			}
			for _, item := range s.history {
				if item.Revision > after {
					events = append(events, item)
				}
			}
			answer["store-revision"] = s.revision
			changed := s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				break
			}
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
			break
		}
		answer["events"] = events
	}
	_ = json.NewEncoder(w).Encode(answer)
}
