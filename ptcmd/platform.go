package ptcmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/platform"
)

// runPlatform runs an entry or an agent with the settings of the users' platform.
func runPlatform(ctx context.Context, call *invocation) (err error) {
	role, err := call.platformRole()
	if err != nil {
		return err
	}
	return platform.Run(ctx, role, call.output)
}

// platformRole returns the role that is given as the only argument.
func (call *invocation) platformRole() (role platform.Role, err error) {
	if len(call.arguments) == 1 {
		role = platform.Role(call.arguments[0])
	}
	if role != platform.Entry && role != platform.Agent {
		return "", usageError{errors.New("want: platform entry, or platform agent")}
	}
	return role, nil
}
