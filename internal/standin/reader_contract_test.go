package standin_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// readCase is a fault that is injected into the second read, and the kind of error that the
// reader gets ("" for none).
type readCase struct {
	fault standin.Fault
	kind  string
}

// readCases apply to every read.
var readCases = []readCase{
	{standin.Fault{Kind: standin.FaultSlow, Delay: time.Second}, ""},
	{standin.Fault{Kind: standin.FaultSlow, Delay: 5 * time.Minute}, "unknown"},
	{standin.Fault{Kind: standin.FaultDoubled}, ""},
	{standin.Fault{Kind: standin.FaultReordered}, "unknown"},
	{standin.Fault{Kind: standin.FaultHalf}, "unknown"},
	{standin.Fault{Kind: standin.FaultHalfClean}, "garbage"},
	{standin.Fault{Kind: standin.FaultHalfUnmarked}, "garbage"},
	{standin.Fault{Kind: standin.FaultGarbage}, "garbage"},
	{standin.Fault{Kind: standin.FaultHuge, Bytes: hugeBytes}, "too-large"},
	{standin.Fault{Kind: standin.FaultRefusal}, "refused"},
	{standin.Fault{Kind: standin.FaultError}, "unknown"},
	{standin.Fault{Kind: standin.FaultRedirect}, "garbage"},
	{standin.Fault{Kind: standin.FaultSilent}, "unknown"},
	{standin.Fault{Kind: standin.FaultSilentAnswer}, "unknown"},
}

// runReadCases reads three times and injects the fault into the second read. Before that read,
// change makes the response differ from the first.
func runReadCases(t *testing.T, cases []readCase, open func(c *qt.C, faults *standin.Faults) (read func() error, change func())) {
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s-%s", tc.fault.Kind, tc.fault.Delay), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				tc.fault.Skip, tc.fault.Count = 1, 1
				read, change := open(c, standin.NewFaults(tc.fault))
				c.Assert(read(), qt.IsNil)
				change()
				err := read()
				c.Assert(errorKind(err), qt.Equals, tc.kind, qt.Commentf("%v", err))
				waitForLateRequests()
				c.Assert(read(), qt.IsNil)
			})
		})
	}
}

func withCases(cases []readCase, more ...readCase) []readCase {
	return append(append([]readCase(nil), cases...), more...)
}

func TestConfigReadContract(t *testing.T) {
	// An old value can't be distinguished from a current one unless a newer one was read before.
	cases := withCases(readCases, readCase{standin.Fault{Kind: standin.FaultStale}, ""})
	runReadCases(t, cases, func(c *qt.C, faults *standin.Faults) (func() error, func()) {
		config := standin.NewConfigService(standin.ConfigOptions{})
		config.Set("k", []byte("value one"))
		_, options := listen(c, faults.Wrap(config))
		client := platform.NewConfigClient(options, time.Minute)
		c.Cleanup(client.CloseIdle)
		read := func() error {
			value, err := client.Read(context.Background(), "k")
			if err == nil {
				c.Assert(string(value.Data), qt.Equals, []string{"", "value one", "value two"}[value.Revision])
			}
			return err
		}
		return read, func() { config.Set("k", []byte("value two")) }
	})
}

func TestVMListContract(t *testing.T) {
	// The list has no revision, so an old one can't be distinguished from a current one.
	cases := withCases(readCases, readCase{standin.Fault{Kind: standin.FaultStale}, ""})
	runReadCases(t, cases, func(c *qt.C, faults *standin.Faults) (func() error, func()) {
		vms := standin.NewVMs(0, "vm-b", "vm-a")
		_, options := listen(c, faults.Wrap(vms))
		client := platform.NewVMListClient(options)
		c.Cleanup(client.CloseIdle)
		read := func() error {
			list, err := client.List(context.Background())
			if err == nil {
				c.Assert(list[0].VM, qt.Equals, ident.VM("vm-a"))
				c.Assert(list, qt.HasLen, 2)
			}
			return err
		}
		return read, func() { vms.Set("vm-a", platform.VMLeaving) }
	})
}

func TestVMListClientRejectsInvalidLists(t *testing.T) {
	for _, body := range []string{
		`{}`, `null`, `{"vms":null}`, `{"vms":[{"vm":"a","state":"gone"}]}`, `{"vms":[{"state":"live"}]}`,
		`{"vms":[{"vm":"a","state":"live"},{"vm":"a","state":"leaving"}]}`, `{"vms":[]} {}`,
	} {
		t.Run(body, func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				_, options := listen(c, respondWith(body))
				client := platform.NewVMListClient(options)
				c.Cleanup(client.CloseIdle)
				_, err := client.List(context.Background())
				c.Assert(errorKind(err), qt.Equals, "garbage")
			})
		})
	}
}

// respondWith returns a handler that always responds with the body.
func respondWith(body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) })
}

func TestVMListLags(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		vms := standin.NewVMs(10*time.Second, "vm-a")
		_, options := listen(c, vms)
		client := platform.NewVMListClient(options)
		c.Cleanup(client.CloseIdle)
		vms.Set("vm-a", platform.VMLeaving)
		time.Sleep(5 * time.Second)
		vms.Remove("vm-a")
		var lengths []int
		var states []platform.VMState
		for range 3 {
			list, err := client.List(context.Background())
			c.Assert(err, qt.IsNil)
			lengths = append(lengths, len(list))
			for _, status := range list {
				states = append(states, status.State)
			}
			time.Sleep(5 * time.Second)
		}
		c.Assert(lengths, qt.DeepEquals, []int{1, 1, 0})
		c.Assert(states, qt.DeepEquals, []platform.VMState{platform.VMLive, platform.VMLeaving})
	})
}

func TestWeightStoreContract(t *testing.T) {
	ref := platform.WeightRef{Name: "experts 1/2", Version: "v1"}
	data := bytes.Repeat([]byte("weights"), 1000)
	runReadCases(t, readCases, func(c *qt.C, faults *standin.Faults) (func() error, func()) {
		store := standin.NewWeights(0, 0)
		store.Put(ref, data)
		_, options := listen(c, faults.Wrap(store))
		client := platform.NewWeightClient(options)
		c.Cleanup(client.CloseIdle)
		read := func() error {
			var got bytes.Buffer
			fetched, err := client.Fetch(context.Background(), ref, &got)
			if err == nil {
				c.Assert(fetched.Bytes, qt.Equals, int64(len(data)))
				c.Assert(got.Bytes(), qt.DeepEquals, data)
			}
			return err
		}
		return read, func() {}
	})
}

func TestWeightStoreLimitsRate(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		ref := platform.WeightRef{Name: "e", Version: "v"}
		store := standin.NewWeights(100, 1000)
		store.Put(ref, make([]byte, 1000))
		_, options := listen(c, store)
		client := platform.NewWeightClient(options)
		c.Cleanup(client.CloseIdle)
		fetch := func() error {
			_, err := client.Fetch(context.Background(), ref, &bytes.Buffer{})
			return err
		}
		c.Assert(fetch(), qt.IsNil)
		err := fetch()
		c.Assert(errorKind(err), qt.Equals, "refused")
		c.Assert(platform.RetryAfterOf(err), qt.Equals, 10*time.Second)
		time.Sleep(platform.RetryAfterOf(err))
		c.Assert(fetch(), qt.IsNil)
		_, err = client.Fetch(context.Background(), platform.WeightRef{Name: "x", Version: "v"}, &bytes.Buffer{})
		c.Assert(errorKind(err), qt.Equals, "refused")
	})
}
