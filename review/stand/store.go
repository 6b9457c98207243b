//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store, or the deletion of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create-revision"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. It keeps its whole history and answers at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value as JSON and returns when it is acknowledged.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		item, ok := s.items[query.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if !ok {
			writeJSON(w, http.StatusNotFound, map[string]any{"store-revision": revision})
			return
		}
		writeJSON(w, http.StatusOK, struct {
			storeItem
			StoreRevision uint64 `json:"store-revision"`
		}{item, revision})
	case "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
