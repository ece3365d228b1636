package ptcmd

import (
	"context"

	"github.com/pkg/errors"
)

func runSlopes(context.Context, *invocation) error { return errors.New("not built yet") }
