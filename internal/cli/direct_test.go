package cli

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// A second SIGTERM ended the process at once, and with it all calls that the planned stop was completing.
func TestSecondSIGTERMDoesNotEndAPlannedStop(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal)
	var reloads atomic.Int32
	log := logrus.New()
	log.SetOutput(io.Discard)
	stop := watchSignals(ctx, cancel, signals, func() { reloads.Add(1) }, logrus.NewEntry(log))
	for range 2 {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
	}
	signals <- syscall.SIGHUP
	select {
	case <-stop:
	default:
		c.Error("the stop has not begun")
	}
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(reloads.Load() >= 2, qt.IsTrue)
	signals <- os.Interrupt
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		c.Error("a second SIGINT does not end the process")
	}
}
