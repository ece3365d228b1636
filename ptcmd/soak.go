package ptcmd

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/ptplace"
	"github.com/primrosetiller/primrosetiller/ptsetting"
	"github.com/primrosetiller/primrosetiller/ptsoak"
)

// runSoak drives the decisions through seeded runs with all faults mixed.
func runSoak(_ context.Context, call *invocation) (err error) {
	seed := call.flags.Uint64("seed", 1, "seed of the first run")
	runs := call.flags.BoundedInt("runs", 1, 1, 1_000_000, "number of runs, each with the next seed")
	steps := call.flags.BoundedInt("steps", 1_000_000, 1, 1_000_000_000, "steps of a run")
	placement := ptsetting.Choice(call.flags, "placement", "how an upstream is chosen", ptplace.Leases, ptplace.Random, ptplace.TwoChoices, ptplace.LeastKnownLoad)
	if err := call.parse(); err != nil {
		return err
	}
	call.logger("soak")
	for i := range *runs {
		result, err := ptsoak.Run(ptsoak.Setting{Seed: *seed + uint64(i), Steps: *steps, Placement: *placement})
		if err != nil {
			return err
		}
		encoded, err := json.Marshal(result)
		if err != nil {
			return errors.Wrap(err, "write the result")
		}
		call.printf("seed %d, %d steps: %s\n", *seed+uint64(i), *steps, encoded)
	}
	return nil
}
