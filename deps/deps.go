// Package deps pins the module versions that the project builds with until
// each has its first use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/integrii/flaggy"
	_ "github.com/pkg/errors"
	_ "github.com/quic-go/quic-go"
	_ "github.com/quic-go/quic-go/http3"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
