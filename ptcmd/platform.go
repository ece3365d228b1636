package ptcmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/primrosetiller/primrosetiller/platform"
)

// runPlatform runs a role with the settings that the users' platform provides.
func runPlatform(ctx context.Context, call *invocation) (err error) {
	role, err := call.role()
	if err != nil {
		return err
	}
	return platform.Run(ctx, role, call.output)
}

func (call *invocation) role() (role platform.Role, err error) {
	if len(call.arguments) == 1 {
		role = platform.Role(call.arguments[0])
	}
	if role != platform.Entry && role != platform.Agent {
		return "", usageError{errors.New("want: platform entry, or platform agent")}
	}
	return role, nil
}
