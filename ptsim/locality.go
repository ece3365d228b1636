package ptsim

import (
	"fmt"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptlocality"
)

// Locality describes the racks of the workers, the jobs whose data is on one rack, and how the
// entries take this into account. With the zero value, workers have no labels.
type Locality struct {
	// RackSize is the number of workers of a rack; the workers of a rack are in one zone.
	RackSize int
	// FarFactor is how many times as long a task takes away from the rack of its data.
	FarFactor float64
	// KnownFactor is the factor that the entries know; zero if they don't know it.
	KnownFactor float64
	Policy      ptlocality.Policy
	Hotspots    []Hotspot
}

// Hotspot is a time in which a share of the jobs of a kind has its data on one rack. It begins
// From after the start of the arrivals and lasts for the duration For.
type Hotspot struct {
	Kind  ptid.ProfileName
	Rack  int
	Share float64
	From  time.Duration
	For   time.Duration
}

func rackLabel(rack int) string { return fmt.Sprint("rack-", rack) }

// labels returns the labels of the agent's worker.
func (agent *agent) labels() (labels []string) {
	setting := &agent.simulation.setting
	if setting.Locality.RackSize == 0 {
		return nil
	}
	zone, position := agent.index%setting.Zones, agent.index/setting.Zones
	return []string{"worker", rackLabel(position/setting.Locality.RackSize*setting.Zones + zone)}
}

// preferredRack draws whether a job of a kind that arrives now has its data on one rack, and
// returns the rack's label. It draws nothing outside hotspots, so that other simulations keep
// their random draws.
func (simulation *simulation) preferredRack(kind ptid.ProfileName) (label string) {
	elapsed := simulation.Now().Sub(start.Add(warmUp))
	for _, hotspot := range simulation.setting.Locality.Hotspots {
		if hotspot.Kind == kind && elapsed >= hotspot.From && elapsed < hotspot.From+hotspot.For && simulation.random.Float64() < hotspot.Share {
			return rackLabel(hotspot.Rack)
		}
	}
	return ""
}

// farFactor returns how many times as long a task of a caller's job takes on the agent's worker
// as near its data.
func (agent *agent) farFactor(caller *caller) (factor float64) {
	if caller.preferred == "" || agent.labels()[1] == caller.preferred {
		return 1
	}
	return agent.simulation.setting.Locality.FarFactor
}
