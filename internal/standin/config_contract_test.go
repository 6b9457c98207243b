package standin_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// watchWait is how long the service holds a watch open in the tests.
const watchWait = time.Minute

func newConfig(c *qt.C, options standin.ConfigOptions, faults ...standin.Fault) (*standin.ConfigService, *platform.ConfigClient) {
	config := standin.NewConfigService(options)
	_, clientOptions := listen(c, standin.NewFaults(faults...).Wrap(config))
	client := platform.NewConfigClient(clientOptions, watchWait)
	c.Cleanup(client.CloseIdle)
	return config, client
}

func TestConfigWatchContract(t *testing.T) {
	cases := []readCase{
		{standin.Fault{Kind: standin.FaultSlow, Delay: time.Second}, ""},
		{standin.Fault{Kind: standin.FaultSlow, Delay: 5 * time.Minute}, "unknown"},
		// net/http sends the GET again on a new connection.
		{standin.Fault{Kind: standin.FaultLostRequest}, ""},
		{standin.Fault{Kind: standin.FaultStale}, "stale"},
		// The fault is injected once, but only the second injection sends a stale response.
		{standin.Fault{Kind: standin.FaultGoingBack}, ""},
		{standin.Fault{Kind: standin.FaultHalf}, "unknown"},
		{standin.Fault{Kind: standin.FaultHalfClean}, "garbage"},
		{standin.Fault{Kind: standin.FaultGarbage}, "garbage"},
		{standin.Fault{Kind: standin.FaultHuge, Bytes: hugeBytes}, "too-large"},
		{standin.Fault{Kind: standin.FaultRefusal}, "refused"},
		{standin.Fault{Kind: standin.FaultError}, "unknown"},
		{standin.Fault{Kind: standin.FaultRedirect}, "garbage"},
		{standin.Fault{Kind: standin.FaultSilent}, "unknown"},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s-%s", tc.fault.Kind, tc.fault.Delay), func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				tc.fault.Skip, tc.fault.Count = 1, 1
				config, client := newConfig(c, standin.ConfigOptions{}, tc.fault)
				first := config.Set("k", []byte("one"))
				_, err := client.Watch(context.Background(), "k", 0)
				c.Assert(err, qt.IsNil)
				second := config.Set("k", []byte("two"))
				value, err := client.Watch(context.Background(), "k", first)
				c.Assert(errorKind(err), qt.Equals, tc.kind, qt.Commentf("%v", err))
				if err == nil {
					c.Assert(value, qt.DeepEquals, platform.Value{Revision: second, Data: []byte("two")})
				}
				waitForLateRequests()
				value, err = client.Watch(context.Background(), "k", first)
				c.Assert(err, qt.IsNil)
				c.Assert(string(value.Data), qt.Equals, "two")
			})
		})
	}
}

func TestConfigWatchWaitsForChange(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		config, client := newConfig(c, standin.ConfigOptions{})
		first := config.Set("k", []byte("one"))
		start := time.Now()
		_, err := client.Watch(context.Background(), "k", first)
		c.Assert(errors.Is(err, platform.ErrUnchanged), qt.IsTrue)
		c.Assert(time.Since(start), qt.Equals, watchWait)
		watched := make(chan platform.Value, 1)
		go func() {
			value, err := client.Watch(context.Background(), "k", first)
			c.Check(err, qt.IsNil)
			watched <- value
		}()
		synctest.Wait()
		config.Set("other", []byte("x"))
		synctest.Wait()
		c.Assert(watched, qt.HasLen, 0)
		second := config.Set("k", []byte("two"))
		c.Assert((<-watched).Revision, qt.Equals, second)
		c.Assert(config.Calls(), qt.Equals, standin.ConfigCalls{Watches: 2})
	})
}

// maxChangeDelay is the time within which every process must apply a change.
const maxChangeDelay = 6 * time.Second

// TestConfigChangeIsReceivedAfterSilentWatch guards against a change that is applied too late
// because a watch waits too long on a connection that delivers no response.
func TestConfigChangeIsReceivedAfterSilentWatch(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		config := standin.NewConfigService(standin.ConfigOptions{})
		faults := standin.NewFaults(standin.Fault{Kind: standin.FaultSilent, Skip: 1, Count: 1})
		_, options := listen(c, faults.Wrap(config))
		client := platform.NewConfigClient(options, 0)
		c.Cleanup(client.CloseIdle)
		first := config.Set("k", []byte("one"))
		_, err := client.Watch(context.Background(), "k", 0)
		c.Assert(err, qt.IsNil)
		published := time.Now()
		second := config.Set("k", []byte("two"))
		value, err := client.Watch(context.Background(), "k", first)
		c.Assert(errorKind(err), qt.Equals, "unknown", qt.Commentf("%v", value))
		value, err = client.Watch(context.Background(), "k", first)
		c.Assert(err, qt.IsNil)
		c.Assert(value.Revision, qt.Equals, second)
		c.Assert(time.Since(published) < maxChangeDelay, qt.IsTrue)
	})
}

func TestConfigOlderRevisionIsStale(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		ctx := context.Background()
		config, client := newConfig(c, standin.ConfigOptions{})
		first := config.Set("k", []byte("one"))
		second := config.Set("k", []byte("two"))
		_, err := client.Read(ctx, "k")
		c.Assert(err, qt.IsNil)
		config.FreezeAt(first)
		old, err := client.Read(ctx, "k")
		c.Assert(errorKind(err), qt.Equals, "stale")
		c.Assert(string(old.Data), qt.Equals, "one")
		_, err = client.Watch(ctx, "k", second)
		c.Assert(errorKind(err), qt.Equals, "stale")
		config.FreezeAt(0)
		value, err := client.Read(ctx, "k")
		c.Assert(err, qt.IsNil)
		c.Assert(value.Revision, qt.Equals, second)
	})
}

func TestConfigReusedRevisionIsStale(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		config, client := newConfig(c, standin.ConfigOptions{})
		config.Set("k", []byte("one"))
		_, err := client.Read(context.Background(), "k")
		c.Assert(err, qt.IsNil)
		config.Replace("k", []byte("another one"))
		_, err = client.Read(context.Background(), "k")
		c.Assert(errorKind(err), qt.Equals, "stale")
	})
}

func TestConfigServiceDown(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		config, client := newConfig(c, standin.ConfigOptions{})
		first := config.Set("k", []byte("one"))
		broken := make(chan error, 1)
		go func() {
			_, err := client.Watch(context.Background(), "k", first)
			broken <- err
		}()
		synctest.Wait()
		config.SetDown(true)
		c.Assert(errorKind(<-broken), qt.Equals, "unknown")
		_, err := client.Read(context.Background(), "k")
		c.Assert(errorKind(err), qt.Equals, "unknown")
		config.SetDown(false)
		_, err = client.Read(context.Background(), "k")
		c.Assert(err, qt.IsNil)
	})
}

func TestConfigServiceLimitsCallRate(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		config, client := newConfig(c, standin.ConfigOptions{CallsPerSecond: 2})
		config.Set("k", []byte("one"))
		for _, kind := range []string{"", "", "refused"} {
			_, err := client.Read(context.Background(), "k")
			c.Assert(errorKind(err), qt.Equals, kind)
		}
		c.Assert(config.Calls(), qt.Equals, standin.ConfigCalls{Reads: 2, Refused: 1})
	})
}

func TestConfigClientLimitsValueSize(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		config, client := newConfig(c, standin.ConfigOptions{})
		config.Set("k", bytes.Repeat([]byte("x"), platform.MaxValueBytes))
		value, err := client.Read(context.Background(), "k")
		c.Assert(err, qt.IsNil)
		c.Assert(value.Data, qt.HasLen, platform.MaxValueBytes)
		config.Set("k", bytes.Repeat([]byte("x"), platform.MaxValueBytes+1))
		_, err = client.Read(context.Background(), "k")
		c.Assert(errorKind(err), qt.Equals, "too-large")
	})
}
