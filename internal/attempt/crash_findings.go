package attempt

import "time"

// CrashDecision is what an assessment of the evidence against a trait has decided.
type CrashDecision string

const (
	// CrashQuarantined means that requests with the trait, or with all traits of a combination, are refused from now on.
	CrashQuarantined CrashDecision = "quarantined"
	// CrashReported is the same on the word of another entry.
	CrashReported CrashDecision = "quarantine-reported"
	// CrashLifted means that requests with the trait run again, since a server has survived one.
	CrashLifted CrashDecision = "quarantine-lifted"
	// CrashEvidenceShort means that the evidence is below CrashConfig.EvidenceLimit or has too few events.
	CrashEvidenceShort CrashDecision = "evidence-short"
	// CrashAwaitsTrial means that an outage of the service may explain the ends, and a trial run decides, see TrialRuns.
	CrashAwaitsTrial CrashDecision = "awaits-trial"
	// CrashNotDistinguished means that other traits explain the ends nearly as well.
	CrashNotDistinguished CrashDecision = "not-distinguished"
)

// CrashFinding is the result of an assessment of one trait, for the log.
type CrashFinding struct {
	// Trait is the suspected trait, or the key of a combination.
	Trait    Fingerprint
	Decision CrashDecision
	// Ends is the number of ends at which the trait was running and that nothing quarantined explains, Events the number of
	// different moments at which they happened.
	Ends, Events int
	// Nats is the evidence of all events. Margin is by how much the trait explains them better than others; 0 if the evidence
	// is short.
	Nats, Margin float64
	// Longest is the longest of the runs that the ends cut off.
	Longest time.Duration
}

// maxFindings bounds the findings that wait for TakeFindings.
const maxFindings = 64

// TakeFindings returns the findings since the previous call. A finding that differs from the trait's previous one in nothing
// but its evidence is left out, and so are those beyond maxFindings.
func (r *CrashRegister) TakeFindings() []CrashFinding {
	findings := r.findings
	r.findings = nil
	return findings
}

// addFinding adds a finding unless it repeats the trait's previous one.
func (r *CrashRegister) addFinding(finding CrashFinding) {
	last, known := r.lastFindings[finding.Trait]
	if known && last.Decision == finding.Decision && last.Events == finding.Events && last.Ends == finding.Ends {
		return
	}
	if len(r.findings) >= maxFindings {
		return
	}
	r.lastFindings[finding.Trait] = finding
	r.findings = append(r.findings, finding)
}

// finding returns the finding of an assessment that has weighed the suspect.
func (c *suspectCase) finding(decision CrashDecision, margin float64) CrashFinding {
	finding := CrashFinding{
		Trait: c.trait, Decision: decision, Ends: len(c.ends), Events: len(c.events), Nats: c.strength, Margin: margin,
	}
	for _, end := range c.ends {
		finding.Longest = max(finding.Longest, end.runs[c.trait].duration)
	}
	return finding
}

// expireFindings forgets the findings of traits that are neither suspected nor quarantined any more.
func (r *CrashRegister) expireFindings(now time.Time) {
	for trait := range r.lastFindings {
		if r.suspects[trait] == nil && r.quarantine.Left(now, trait) == 0 {
			delete(r.lastFindings, trait)
		}
	}
}
