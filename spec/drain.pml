/*
 * One upstream leaves and returns, twice.
 *
 * Mirrors fleet/eligible.go (Eligible is derived from the current inputs for
 * each decision) and dispatch/sidecar_requests.go (a sidecar that is not
 * accepting rejects requests, and the router queues them again).
 *
 * Modelled: the VM leaves by the VM list, by a rule for its incarnation, by a
 * rule for any incarnation, or by SIGTERM to its sidecar, also by two causes at
 * once. It returns as a new incarnation of the VM, as a new sidecar process on
 * the same VM after SIGTERM, or because the leave is revoked. The lag of the list
 * is unbounded: it copies the actual state at any time or never, and may show an
 * old incarnation as leaving forever. Messages between sidecar and router are
 * delayed; the router always has queued requests.
 *
 * Abstracted: one upstream, one router, one slot; the upstream is healthy; grants
 * (see grant.pml); a request finishes immediately. A sidecar learns of the
 * router's decision at any later time. A revoked leave counts as a return only
 * once the list shows it, because no newer incarnation overrides the list entry.
 *
 * Checked: no request starts on a process that knows of its leave; after the last
 * return requests start on the returned process, whatever the list shows (ltl
 * returned_runs, with weak fairness).
 *
 * Mutants: MUTANT_STICKY (a leave is stored as a flag that a return would have
 * to clear), MUTANT_NO_INCARNATION (a list entry for an older incarnation is
 * applied), MUTANT_NO_REJECT (a sidecar that is not accepting runs requests).
 */
#define CYCLES   2
#define NO_RULE  0
#define ANY_RULE 9

/* The actual state: the incarnation of the VM and the sidecar process on it. */
byte vm = 1, process = 1;
bool vmLeaving, terminated;
byte rule = NO_RULE;

/* The VM list: the incarnation that it shows, and whether as leaving. */
byte listedVM = 1;
bool listedLeaving;

/* Whether the sidecar accepts requests, and the process that knows of its leave. */
bool accepting = true;
byte leavingProcess;

/*
 * What the router knows from the open session with the sidecar: the incarnation, the
 * process, and the last process that reported that it is draining. Only
 * MUTANT_STICKY sets sticky.
 */
byte sessionVM = 1, sessionProcess = 1, drainingProcess;
bool sticky;

/* Whether the last return is over, and whether a request has started since. */
bool returned, startedAfterReturn;

chan requests = [1] of { byte };
chan rejects = [1] of { byte };

#ifdef MUTANT_NO_INCARNATION
#define leavesByList listedLeaving
#else
#define leavesByList (listedLeaving && sessionVM <= listedVM)
#endif
#define ruleApplies (rule == ANY_RULE || (rule != NO_RULE && sessionVM <= rule && listedVM <= rule))
#define replaced    (sessionVM < listedVM)
#define isDraining  (drainingProcess >= sessionProcess)
#define eligible    (!ruleApplies && !leavesByList && !replaced && !isDraining && !sticky)

proctype Operations() {
	byte n;
	do
	:: n == CYCLES -> break
	:: n < CYCLES ->
		n++;
		if
		:: vmLeaving = true
		:: rule = vm
		:: rule = ANY_RULE
		:: terminated = true
		:: atomic { vmLeaving = true; rule = vm }
		:: atomic { vmLeaving = true; terminated = true }
		fi;
		if
		/* A new incarnation of the VM; the old session is closed. */
		:: atomic { vm++; process++; vmLeaving = false; terminated = false; accepting = true;
			if
			:: rule == ANY_RULE -> rule = NO_RULE
			:: else
			fi }
		/* The sidecar restarts on the same VM. */
		:: atomic { terminated && !vmLeaving -> process++; terminated = false; accepting = true }
		/* The leave is revoked. */
		:: atomic { !terminated -> vmLeaving = false; rule = NO_RULE };
			(listedVM == vm && !listedLeaving)
		fi;
		atomic { sessionVM = vm; sessionProcess = process }
	od;
	returned = true
}

proctype List() {
end:
	do
	:: atomic { (listedVM != vm || listedLeaving != vmLeaving) -> listedVM = vm; listedLeaving = vmLeaving }
	/* The list may stop updating and keep its last state. */
	:: returned -> break
	od
}

/* The sidecar accepts or stops accepting, and reports that it is draining. */
proctype Acceptance() {
end:
	do
	/* SIGTERM, or the router's decision on the session with this process. */
	:: atomic { accepting && (terminated || (sessionProcess == process && !eligible)) ->
		accepting = false; leavingProcess = process }
	:: atomic { terminated && sessionProcess == process && drainingProcess != process -> drainingProcess = process }
	:: atomic { !accepting && !terminated && sessionProcess == process && eligible ->
		accepting = true; leavingProcess = 0 }
	od
}

/* The sidecar handles requests. */
proctype Sidecar() {
	byte session;
end:
	do
	:: atomic { requests ? session ->
		if
		/* The session ended with its process, so the request did not run. */
		:: session != process -> rejects ! session
#ifndef MUTANT_NO_REJECT
		:: session == process && !accepting -> rejects ! session
		:: session == process && accepting ->
#else
		:: session == process ->
#endif
			assert(session != leavingProcess);
			if
			:: returned -> startedAfterReturn = true
			:: else
			fi
		fi;
		session = 0 }
	od
}

proctype Router() {
	byte r;
end:
	do
	:: atomic { eligible && nfull(requests) && empty(rejects) -> requests ! sessionProcess }
	:: atomic { rejects ? r -> r = 0 }
#ifdef MUTANT_STICKY
	:: atomic { !sticky && !eligible -> sticky = true }
#endif
	od
}

init {
	atomic { run Operations(); run List(); run Acceptance(); run Sidecar(); run Router() }
}

ltl returned_runs { [] (returned -> <> startedAfterReturn) }
