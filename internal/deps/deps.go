// Package deps keeps the libraries of the project in go.mod until the packages
// that use them are merged.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pelletier/go-toml/v2/unstable"
	_ "github.com/phuslu/log"
	_ "github.com/pkg/errors"
	_ "github.com/spf13/cobra"
	_ "github.com/twitchtv/twirp"
	_ "github.com/uber-go/tally/v4"
	_ "go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
