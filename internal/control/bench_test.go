package control_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFleet runs the control state of whole fleets in one process without calls, one
// simulated second per operation. It reports the processor time, heap and bytes sent of one
// entry and one agent.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 19}, {12, 80}, {36, 250}, {72, 500}} {
		b.Run(fmt.Sprintf("%dx%d", size.entries, size.agents), func(b *testing.B) {
			before := heapAllocBytes()
			s := newSim(b, size.entries, size.agents, 1)
			s.run(warmUp)
			heap := float64(heapAllocBytes()-before) / 1024 / float64(size.entries+size.agents)
			for _, n := range s.nodes {
				n.sentBytes = 0
			}
			spent := map[bool]time.Duration{}
			b.ResetTimer()
			for range b.N {
				s.runMeasured(time.Second, spent)
			}
			b.StopTimer()
			seconds := float64(b.N)
			b.ReportMetric(float64(spent[true].Microseconds())/seconds/float64(size.entries), "µs/s/entry")
			b.ReportMetric(float64(spent[false].Microseconds())/seconds/float64(size.agents), "µs/s/agent")
			b.ReportMetric(heap, "KB-heap/process")
			b.ReportMetric(s.sentBytes(true)/seconds/float64(size.entries), "B/s/entry")
			b.ReportMetric(s.sentBytes(false)/seconds/float64(size.agents), "B/s/agent")
		})
	}
}

// heapAllocBytes returns the bytes of allocated heap objects after a garbage collection.
func heapAllocBytes() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

// runMeasured runs the simulation and sums the processor time of the steps of entries and
// agents.
func (s *sim) runMeasured(d time.Duration, spent map[bool]time.Duration) {
	s.stepTime = spent
	s.run(d)
	s.stepTime = nil
}

// sentBytes returns the bytes sent by all entries, or by all agents.
func (s *sim) sentBytes(entries bool) float64 {
	var sum int64
	for _, n := range s.nodes {
		if (n.entry != nil) == entries {
			sum += n.sentBytes
		}
	}
	return float64(sum)
}

// BenchmarkRunKeys reports the memory per run key: in the owner's table, in the entry's log and
// in the simulation's own state of the call.
func BenchmarkRunKeys(b *testing.B) {
	for _, keys := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			for range b.N {
				s := newSim(b, 3, 3, 1)
				s.run(warmUp)
				before := heapAllocBytes()
				started := time.Now()
				for i := range keys {
					s.call(s.nodes[i%3], fmt.Sprint(i))
					s.run(2 * time.Millisecond)
				}
				s.run(time.Second)
				b.ReportMetric(float64(time.Since(started).Microseconds())/float64(keys), "µs/key")
				b.ReportMetric(float64(heapAllocBytes()-before)/float64(keys), "B/key")
				runtime.KeepAlive(s)
			}
		})
	}
}
