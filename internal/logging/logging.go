// Package logging sets up go-kit/log: one line of key=value pairs per event.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines with time and level. minimum is the lowest level that is written: debug,
// info, warn or error.
func New(w io.Writer, minimum string) (log.Logger, error) {
	option, err := level.Parse(minimum)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", minimum, err)
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(option))
	return log.With(logger, "time", log.TimestampFormat(time.Now, time.RFC3339Nano)), nil
}
