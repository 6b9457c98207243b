package soak

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A class whose arrivals are not all accounted for must be found, and the other gauges of the page must not count.
func TestAccountDifferencesFindAMissingCall(t *testing.T) {
	c := qt.New(t)
	page := `# TYPE bramleyspool_account_calls gauge
bramleyspool_account_calls{class="draft",customer="customer-1",role="entry",state="arrivals"} 7
bramleyspool_account_calls{class="draft",customer="customer-1",role="entry",state="served"} 4
bramleyspool_account_calls{class="draft",customer="customer-1",role="entry",state="open"} 2
bramleyspool_account_unserved{cause="",class="draft",customer="customer-1",role="entry",state="not-run"} 1
bramleyspool_account_calls{class="bulk",customer="customer-2",role="entry",state="arrivals"} 1.2e+03
bramleyspool_account_calls{class="bulk",customer="customer-2",role="entry",state="unknown"} 1200
`
	differences, arrivals := accountDifferences(page)
	c.Assert(differences, qt.DeepEquals, map[string]float64{"customer-1/draft": 1, "customer-2/bulk": 0})
	c.Assert(arrivals, qt.Equals, 1207.0)
}

// A slow reader must get the whole stream and take its time for it, and must not take a broken connection for the end.
func TestSlowReaderReadsSteadilyAndReportsABreak(t *testing.T) {
	c := qt.New(t)
	call, text := &callRecord{variant: large}, strings.Repeat("x", 4*slowReadBytes)
	from := time.Now()
	read, err := call.read(strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	c.Assert(string(read), qt.Equals, text)
	c.Assert(time.Since(from) >= 4*slowReadPause, qt.IsTrue)
	_, err = call.read(io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)))
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// The bound on a cold replica must hold in any second, not only in aligned ones.
func TestMostWithinCountsAnySpan(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	var times []time.Time
	for _, offset := range []int{0, 600, 900, 1100, 1599, 1600} {
		times = append(times, start.Add(time.Duration(offset)*time.Millisecond))
	}
	c.Assert(mostWithin(times, time.Second), qt.Equals, 4)
	c.Assert(mostWithin(nil, time.Second), qt.Equals, 0)
}
