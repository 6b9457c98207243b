package node

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event. It returns an
// error if level is not a log level.
func NewLogger(out io.Writer, level string, vm, role string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logger.WithFields(logrus.Fields{"vm": vm, "role": role}), nil
}
