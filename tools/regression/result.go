package main

import (
	"regexp"
	"strconv"

	"github.com/pkg/errors"
)

// result is what the bench says of a deployment.
type result struct {
	score      float64
	gatePassed bool
}

var (
	scoreLine = regexp.MustCompile(`(?m)^(?:quick estimate|score) on the standard days of .*?: (-?\d+\.\d+)`)
	gateLine  = regexp.MustCompile(`(?m)^GATE (passed|failed)`)
)

// parse finds the score and the gate in what the bench printed.
func parse(output []byte) (result, error) {
	score, gate := scoreLine.FindSubmatch(output), gateLine.FindSubmatch(output)
	if score == nil || gate == nil {
		return result{}, errors.New("the bench printed no score or no gate")
	}
	value, err := strconv.ParseFloat(string(score[1]), 64)
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	return result{score: value, gatePassed: string(gate[1]) == "passed"}, nil
}

// Verdicts on a deployment.
const (
	verdictHeld   = "held"
	verdictGate   = "gate failed"
	verdictFallen = "score fell"
)

// verdict compares a result with the recorded score.
func (r result) verdict(recorded float64) string {
	switch {
	case !r.gatePassed:
		return verdictGate
	case r.score < recorded-noise:
		return verdictFallen
	}
	return verdictHeld
}
