package claim

import "go.uber.org/zap"

var nopLog = zap.NewNop()
