package main

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/plot/plotter"

	"dotterelhead.example/dotterelhead/scheduler/forecast"
)

const (
	week      = 7 * 24 * time.Hour
	weekDrift = 5 * time.Minute
	// forecastStep is the sampling interval. The individual requests of four
	// weeks are not simulated.
	forecastStep = time.Minute
	// peakSlots and baseSlots are the demand of a pool at and outside the peak.
	peakSlots, baseSlots = 100.0, 20.0
	demandNoise          = 0.05
)

// weeklyDemand is the demand without noise: an evening peak from 19:00 to
// 22:00 that rises and falls within a quarter of an hour and comes five minutes
// later each week.
func weeklyDemand(at time.Duration) float64 {
	timeOfDay := (at % (24 * time.Hour)).Minutes() - (at / week * weekDrift).Minutes()
	rise := 1 / (1 + math.Exp(-(timeOfDay-19*60)/4))
	fall := 1 / (1 + math.Exp(-(timeOfDay-22*60)/4))
	return baseSlots + (peakSlots-baseSlots)*(rise-fall)
}

// measureForecast compares the forecast of the fourth week with the demand of
// the third week at the same time, over the 30 minutes around each rise.
func measureForecast(s scenario) ([]Row, []chart) {
	random := rand.New(rand.NewPCG(s.Seed, 0x77656b))
	// The forecast counts weeks in multiples of seven days since 1970.
	start := time.Unix(2900*int64(week/time.Second), 0)
	f := forecast.New()
	observed := make([]float64, 4*week/forecastStep)
	// Each holds the sum of the absolute errors and their number.
	var forecastError, lastWeekError, noiseError [2]float64
	day := chart{file: "forecast.svg", title: "Evening rise of the fourth week", x: "minutes after 18:45", y: "slots",
		series: []series{{name: "demand"}, {name: "forecast"}, {name: "same time last week"}}}
	for i := range observed {
		at := time.Duration(i) * forecastStep
		truth := weeklyDemand(at)
		observed[i] = truth * (1 + demandNoise*random.NormFloat64())
		f.Observe(start.Add(at), observed[i])
		timeOfDay := at % (24 * time.Hour)
		if at < 3*week || timeOfDay < 19*time.Hour || timeOfDay >= 19*time.Hour+30*time.Minute {
			continue
		}
		expected, ok := f.At(start.Add(at))
		if !ok {
			continue
		}
		last := observed[i-int(week/forecastStep)]
		addError(&forecastError, expected-truth)
		addError(&lastWeekError, last-truth)
		addError(&noiseError, observed[i]-truth)
		if at < 3*week+24*time.Hour {
			x := (timeOfDay - 18*time.Hour - 45*time.Minute).Minutes()
			for k, y := range []float64{truth, expected, last} {
				day.series[k].points = append(day.series[k].points, plotter.XY{X: x, Y: y})
			}
		}
	}
	return []Row{
		row("forecast of the evening rise, mean absolute error (baseline: same time last week, bound: noise)", "slots",
			forecastError[0]/forecastError[1]).baseline(lastWeekError[0] / lastWeekError[1]).bound(noiseError[0] / noiseError[1]),
		row("shift of the peak found", "minutes", f.Shift().Minutes()).bound(weekDrift.Minutes()),
	}, []chart{day}
}

func addError(sumAndCount *[2]float64, x float64) {
	sumAndCount[0] += math.Abs(x)
	sumAndCount[1]++
}
