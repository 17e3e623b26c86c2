package supervisor

import (
	"strings"

	"lovagebank/acceptor"
	"lovagebank/balancer"
	"lovagebank/inspector"
)

// answerBroken logs an answer of a target that broke off, with what the request may share with others that broke off.
func (su *Supervisor) answerBroken(ba acceptor.BrokenAnswer) {
	su.reporter.AddToCounter("answers_broken", 1)
	su.reporter.AddToCounter("answers_broken_"+string(inspector.CauseOf(ba.Cause)), 1)
	su.logger.Info("answer broken off", "id", ba.ID, "target", ba.Target.Target, "started", ba.Target.Started.UnixMilli(),
		"begun", ba.Begun, "unframed", ba.Unframed, "cause", ba.Cause, "parts", partIDs(ba.Parts))
}

// partIDs returns the IDs of parts of a prompt for the log.
func partIDs(parts []balancer.PromptPart) string {
	ids := make([]string, 0, len(parts))
	for _, pp := range parts {
		ids = append(ids, pp.ID)
	}
	return strings.Join(ids, ",")
}
