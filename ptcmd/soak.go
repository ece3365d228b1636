package ptcmd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptsetting"
	"github.com/primrosetiller/primrosetiller/ptsoak"
)

// runSoak simulates the scheduling of entries and agents in seeded runs with all kinds of
// injected faults.
func runSoak(_ context.Context, call *invocation) (err error) {
	seed := call.flags.Uint64("seed", 1, "seed of the first run")
	runs := call.flags.BoundedInt("runs", 1, 1, 1_000_000, "number of runs, each with the next seed")
	steps := call.flags.BoundedInt("steps", 1_000_000, 1, 1_000_000_000, "number of steps of each run")
	placement := ptsetting.Choice(call.flags, "placement", "policy that chooses an upstream for a task", ptplace.Leases, ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnownLoad)
	if err := call.parse(); err != nil {
		return err
	}
	// The logger itself is not used, but creating it makes ptassert report broken invariants.
	call.logger("soak")
	for i := range *runs {
		result, err := ptsoak.Run(ptsoak.Setting{Seed: *seed + uint64(i), Steps: *steps, Placement: *placement})
		if err != nil {
			return err
		}
		encoded, err := json.Marshal(result)
		if err != nil {
			return errors.Wrap(err, "encode result")
		}
		call.printf("seed %d, %d steps: %s\n", *seed+uint64(i), *steps, encoded)
	}
	return nil
}
