package gateway

import "filbertstall.example/filbertstall/internal/upstream"

// logSkipped logs and counts an answer that an endpoint sent beyond the one that was due.
func (gw *Gateway) logSkipped(sk upstream.Skipped) {
	gw.metrics.Scope.Counter("answers_skipped").Inc(1)
	co := sk.Connection
	gw.Log.Info().Str("event", "answer_skipped").Str("request", sk.CallID).Str("answer_to", sk.AnswerID).Int("status", sk.Status).
		Str("local", co.Local).Str("remote", co.Remote).Int("calls_on_connection", co.Calls).Msg("gateway: skipped an answer that belongs to an earlier request")
}
