/*
 * Leave and return of one upstream, two times over.
 *
 * Mirrors fleet/eligible.go (Eligible is derived from present inputs at each
 * decision) and dispatch/sidecar_requests.go (a sidecar that does not accept
 * rejects what arrives, and the router queues it again).
 *
 * What is modelled: the VM leaves by the VM list, by a rule that names its
 * incarnation, by a rule for any incarnation, or by SIGTERM of its sidecar,
 * also by two causes at once. It returns as a new incarnation of the VM, by a
 * new sidecar process on the same VM after SIGTERM, or because the leave is
 * taken back. The list lags without bound: it copies the truth at any time or
 * never, and may go on showing an old incarnation as leaving for ever. Messages
 * between sidecar and router are delayed; work always waits at the router.
 *
 * What is abstracted: one upstream, one router, one slot; health is good;
 * grants (see grant.pml); a request finishes at once. A sidecar learns of the
 * router's decision at any later time. A leave that is taken back counts as a
 * return only once the list shows it: no newer incarnation outranks the entry.
 *
 * Checked: no work starts on a process after it knows of its leave; after the
 * last return work starts on the process that returned, whatever the list
 * shows (ltl returned_runs, with weak fairness).
 *
 * Mutants: MUTANT_STICKY (a leave is stored as a flag that a return would have
 * to clear), MUTANT_NO_INCARNATION (an entry of the list about an older
 * incarnation is believed), MUTANT_NO_REJECT (a sidecar that does not accept
 * runs what arrives).
 */
#define CYCLES   2
#define NO_RULE  0
#define ANY_RULE 9

/* The truth: the VM's incarnation and the sidecar's process. */
byte vm = 1, process = 1;
bool vmLeaving, terminated;
byte rule = NO_RULE;

/* The VM list. */
byte entry = 1;
bool entryLeaving;

/* The sidecar's decision, and the process that last said that it drains. */
bool accepting = true;
byte leaveKnown;

/* What the router knows from the open session. */
byte seenVM = 1, seenProcess = 1, draining;
bool sticky;

bool returned, startedAgain;

chan requests = [1] of { byte };
chan rejects = [1] of { byte };

#ifdef MUTANT_NO_INCARNATION
#define entryLeaves entryLeaving
#else
#define entryLeaves (entryLeaving && seenVM <= entry)
#endif
#define ruleApplies (rule == ANY_RULE || (rule != NO_RULE && seenVM <= rule && entry <= rule))
#define replaced    (seenVM < entry)
#define isDraining  (draining >= seenProcess)
#define eligible    (!ruleApplies && !entryLeaves && !replaced && !isDraining && !sticky)

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
		/* A new incarnation; the old session is closed. */
		:: atomic { vm++; process++; vmLeaving = false; terminated = false; accepting = true;
			if
			:: rule == ANY_RULE -> rule = NO_RULE
			:: else
			fi }
		/* The sidecar starts again on a VM that stays. */
		:: atomic { terminated && !vmLeaving -> process++; terminated = false; accepting = true }
		/* The leave is taken back. */
		:: atomic { !terminated -> vmLeaving = false; rule = NO_RULE };
			(entry == vm && !entryLeaving)
		fi;
		atomic { seenVM = vm; seenProcess = process }
	od;
	returned = true
}

proctype List() {
end:
	do
	:: atomic { (entry != vm || entryLeaving != vmLeaving) -> entry = vm; entryLeaving = vmLeaving }
	/* The list may stop: what it shows then stays. */
	:: returned -> break
	od
}

/* The sidecar's acceptance: SetAccepting and its drain flag. */
proctype Acceptance() {
end:
	do
	/* SIGTERM, or the router's word on the session with this process. */
	:: atomic { accepting && (terminated || (seenProcess == process && !eligible)) ->
		accepting = false; leaveKnown = process }
	:: atomic { terminated && seenProcess == process && draining != process -> draining = process }
	:: atomic { !accepting && !terminated && seenProcess == process && eligible ->
		accepting = true; leaveKnown = 0 }
	od
}

/* The sidecar's requests. */
proctype Sidecar() {
	byte session;
end:
	do
	:: atomic { requests ? session ->
		if
		/* The session ended with its process: the request did not run. */
		:: session != process -> rejects ! session
#ifndef MUTANT_NO_REJECT
		:: session == process && !accepting -> rejects ! session
		:: session == process && accepting ->
#else
		:: session == process ->
#endif
			assert(session != leaveKnown);
			if
			:: returned -> startedAgain = true
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
	:: atomic { eligible && nfull(requests) && empty(rejects) -> requests ! seenProcess }
	:: atomic { rejects ? r -> r = 0 }
#ifdef MUTANT_STICKY
	:: atomic { !sticky && !eligible -> sticky = true }
#endif
	od
}

init {
	atomic { run Operations(); run List(); run Acceptance(); run Sidecar(); run Router() }
}

ltl returned_runs { [] (returned -> <> startedAgain) }
