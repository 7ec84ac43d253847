// Package factory holds what all commands share: the streams, reading of bundles
// and settings, printing, the log, flags of calls, and the exit codes that errors
// map to. It relies on pkg/bundle and pkg/settings for the checks; what they refuse
// is returned as their error, with file, line and key.
package factory

import (
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailure means that it failed.
	ExitFailure = 1
	// ExitUsage means that the arguments are wrong.
	ExitUsage = 2
	// ExitNotRun means that a request provably did not run.
	ExitNotRun = 3
	// ExitMayHaveRun means that a request may have run.
	ExitMayHaveRun = 4
)

// Factory holds the shared parts. Tests replace the streams.
type Factory struct {
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
	Version string
}

// New returns the factory of the real program.
func New(version string) *Factory {
	return &Factory{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Version: version}
}

// Read returns the content of a file, or of standard input for "-".
func (f *Factory) Read(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(f.In)
	}
	return os.ReadFile(name)
}

// Open opens a file, or standard input for "-", to read it piece by piece.
func (f *Factory) Open(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(f.In), nil
	}
	return os.Open(name)
}

// ReadBundle reads and checks a bundle.
func (f *Factory) ReadBundle(file string) (*bundle.Plan, error) {
	text, err := f.Read(file)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(file, text)
}

// ReadSigned reads a signed bundle and checks no signature.
func (f *Factory) ReadSigned(file string) (bundle.Signed, error) {
	text, err := f.Read(file)
	if err != nil {
		return bundle.Signed{}, err
	}
	var s bundle.Signed
	if err := json.Unmarshal(text, &s); err != nil {
		return bundle.Signed{}, errors.Wrap(err, file)
	}
	return s, nil
}

// ReadSettings reads and checks the settings of a node.
func (f *Factory) ReadSettings(file string) (*settings.Settings, error) {
	text, err := f.Read(file)
	if err != nil {
		return nil, err
	}
	return settings.Parse(file, text)
}

// Logger returns a log on standard error.
func (f *Factory) Logger(level string, text bool) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level")
	}
	w := f.Err
	if text {
		w = zerolog.ConsoleWriter{Out: f.Err, NoColor: true, TimeFormat: time.TimeOnly}
	}
	log := zerolog.New(w).Level(parsed).With().Timestamp().Logger()
	// net/http writes what it cannot return as an error to the standard log.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.With().Str("level", "warn").Str("part", "net/http").Logger())
	return log, nil
}

// Print writes v to standard output as JSON, or as text for people.
func (f *Factory) Print(asJSON bool, v any, text func(io.Writer) error) error {
	if asJSON {
		return f.PrintJSON(v)
	}
	return text(f.Out)
}

// Text returns what writes s, for Print.
func Text(s string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, s)
		return err
	}
}

// PrintJSON writes v to standard output as indented JSON.
func (f *Factory) PrintJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f.Out, string(raw))
	return err
}

// UsageError is an error of the arguments.
type UsageError struct{ Err error }

// Error implements error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.Err }

// Usagef returns an error of the arguments.
func Usagef(format string, args ...any) error { return UsageError{errors.Errorf(format, args...)} }

// StatusError is an error with an exit code of its own.
type StatusError struct {
	Code int
	Err  error
}

// Error implements error.
func (e StatusError) Error() string { return e.Err.Error() }

// ExitCode maps an error to the program's exit code.
func ExitCode(err error) int {
	var usage UsageError
	var v *verdict.Error
	var status StatusError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &status):
		return status.Code
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &v) && v.Verdict() == verdict.NotRun:
		return ExitNotRun
	case errors.As(err, &v):
		return ExitMayHaveRun
	}
	return ExitFailure
}
