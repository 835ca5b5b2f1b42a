package telemetry

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestErrorsAreLoggedWithoutStackTrace(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	log := zap.New(errorMessageCore{Core: core})
	log.Debug("hidden", zap.Error(eris.New("x")))
	log.With(zap.Error(eris.New("outer"))).Info("shown", zap.Int("n", 1), zap.NamedError("cause", eris.New("inner")), zap.Error(nil))
	g.Expect(logs.Len()).To(Equal(1))
	g.Expect(logs.All()[0].ContextMap()).To(Equal(map[string]any{"error": "outer", "cause": "inner", "n": int64(1)}))
}

func TestNewLogRejectsUnknownLevel(t *testing.T) {
	g := NewWithT(t)
	_, err := NewLog("loud", "p")
	g.Expect(err).To(MatchError(ErrSetup))
}
