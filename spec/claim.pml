/*
 * At-most-once claims of one scope key.
 *
 * Mirrors claim/partition.go, claim/plan.go and claim/orphan.go: each router
 * is an owner with its own Partition, and both write the same head object.
 *
 * Modelled: reads that fail; writes that conflict, are refused, are applied with
 * their response lost, or are applied late with their response lost; a crash of
 * router 0 at any step; pauses (any step may take any time); a dispatch that
 * runs, does not run, or has an unknown outcome and may run later; release of
 * the claim after a dispatch that did not run; orphans and the fence.
 *
 * Abstracted: one key and one record in the head, no segments (the property test
 * of claim/ covers rollover), no group commit (a batch has one operation), a
 * bounded number of faults, two attempts per router. A release is recorded as an
 * orphan immediately, as Go does after a failed release.
 *
 * Checked: the request runs at most once; an attempt that was reported as "not
 * run" never runs; a granted attempt holds the claim in the store; in the end no
 * running router has left the claim of a refused attempt in the store.
 *
 * Mutants: MUTANT_UNCONDITIONAL (head writes without the version check),
 * MUTANT_UNKNOWN_IS_DONE (a lost response is treated as success, without reading
 * the head back), MUTANT_NO_FENCE (an orphan is forgotten while its write can
 * still be applied), MUTANT_RELEASE_UNKNOWN (the claim is released although the
 * outcome of the dispatch is unknown).
 */
#define ROUTERS  2
#define ATTEMPTS 2

#define NONE     0
#define CLAIMED  1
#define RELEASED 2

#define DONE        0
#define CONFLICT    1
#define UNKNOWN     2
#define UNAVAILABLE 3

#define BIT(a)    (1 << ((a) - 1))
#define HAS(s, a) ((a) != 0 && (((s) >> ((a) - 1)) & 1))

/* The head object. An attempt id is 1 + router * ATTEMPTS + number. */
byte headVersion = 1, headAttempt, headState;

typedef LateWrite { bool valid; byte expectedVersion, attempt, state };
LateWrite late[ROUTERS];

byte faults = 3; /* how many more operations may fail */
byte runs;       /* runs of the request, over all attempts */
/* Sets of attempts: undecided ones may still run after their dispatch ended. */
byte ran, notRun, undecided;
bool crashed;
byte finished; /* number of routers that have ended */

inline apply(newAttempt, newState) {
	headAttempt = newAttempt; headState = newState; headVersion++
}

inline execute(id) {
	assert(!HAS(notRun, id));
	runs++;
	assert(runs <= 1);
	ran = ran | BIT(id)
}

inline readHead() {
	if
	:: atomic { readVersion = headVersion; readAttempt = headAttempt; readState = headState; ok = true }
	:: atomic { faults > 0 -> faults--; ok = false }
	fi
}

inline writeHead(newAttempt, newState) {
	if
	:: atomic { headVersion == readVersion -> apply(newAttempt, newState); readVersion = headVersion; result = DONE }
#ifdef MUTANT_UNCONDITIONAL
	:: atomic { headVersion != readVersion -> apply(newAttempt, newState); readVersion = headVersion; result = DONE }
#else
	:: atomic { headVersion != readVersion -> result = CONFLICT }
#endif
	:: atomic { faults > 0 && headVersion == readVersion -> faults--; apply(newAttempt, newState); result = UNKNOWN }
	:: atomic { faults > 0 && !late[r].valid -> faults--;
		late[r].valid = true; late[r].expectedVersion = readVersion;
		late[r].attempt = newAttempt; late[r].state = newState;
		result = UNKNOWN }
	:: atomic { faults > 0 -> faults--; result = UNAVAILABLE }
	fi;
#ifdef MUTANT_UNKNOWN_IS_DONE
	if
	:: result == UNKNOWN -> result = DONE
	:: else
	fi
#endif
}

/* fenceRequired: a write of an orphan with an unknown outcome can still be applied. */
#ifdef MUTANT_NO_FENCE
#define fenceRequired false
#else
#define fenceRequired (orphans != 0 && fence == readVersion)
#endif

proctype Router(byte r) {
	byte n, attempt, readVersion, readAttempt, readState, result, orphans, fence;
	bool ok, uncertain;
	{
	do
	:: n == ATTEMPTS -> break
	:: n < ATTEMPTS ->
		d_step { n++; attempt = r * ATTEMPTS + n; uncertain = false }
claim:
		readHead();
		if
		:: !ok -> goto refuse
		:: ok && readState == CLAIMED && readAttempt == attempt ->
			goto granted
		:: ok && readState == CLAIMED && readAttempt != attempt && !HAS(orphans, readAttempt) && !fenceRequired ->
			/* AlreadyClaimed: no orphan is in the store or can still be written. */
			d_step { orphans = 0; notRun = notRun | BIT(attempt) }
			goto next
		:: ok && readState == CLAIMED && readAttempt != attempt && !HAS(orphans, readAttempt) && fenceRequired ->
			writeHead(readAttempt, readState);
			goto claim
		:: ok && (readState != CLAIMED || HAS(orphans, readAttempt)) ->
			writeHead(attempt, CLAIMED);
			if
			:: result == DONE -> goto granted
			:: result == CONFLICT -> goto claim
			:: result == UNKNOWN -> uncertain = true; goto claim
			:: result == UNAVAILABLE -> goto refuse
			fi
		fi;
refuse:
		/* 503, not run. The claim may be in the store or be written later. */
		atomic {
			if
			:: uncertain -> orphans = orphans | BIT(attempt); fence = readVersion
			:: else
			fi;
			assert(!HAS(ran, attempt));
			notRun = notRun | BIT(attempt)
		}
		goto next;
granted:
		atomic {
			orphans = 0;
			assert(headState == CLAIMED && headAttempt == attempt)
		}
		if
		:: atomic { execute(attempt) }
		:: atomic { undecided = undecided | BIT(attempt) }
#ifdef MUTANT_RELEASE_UNKNOWN
			orphans = orphans | BIT(attempt); fence = readVersion
#endif
		:: atomic { notRun = notRun | BIT(attempt); orphans = orphans | BIT(attempt); fence = readVersion }
		fi;
next:
		skip
	od;
releaseOrphans:
	if
	:: orphans == 0 -> goto end
	:: else -> readHead()
	fi;
	if
	:: !ok -> goto releaseOrphans
	:: ok && readState == CLAIMED && HAS(orphans, readAttempt) ->
		writeHead(readAttempt, RELEASED)
	:: ok && !(readState == CLAIMED && HAS(orphans, readAttempt)) && fenceRequired ->
		writeHead(readAttempt, readState)
	:: ok && !(readState == CLAIMED && HAS(orphans, readAttempt)) && !fenceRequired ->
		result = DONE
	fi;
	if
	:: result == DONE -> orphans = 0
	:: else
	fi;
	goto releaseOrphans;
end:
	skip
	} unless { r == 0 && crashed };
	finished++
}

/* Applies a late write if the head still has the expected version. */
inline applyLate(i) {
	if
	:: late[i].expectedVersion == headVersion -> apply(late[i].attempt, late[i].state)
	:: else
	fi;
	late[i].valid = false
}

proctype Environment() {
	byte i;
	do
	:: atomic { late[0].valid -> applyLate(0) }
	:: atomic { late[1].valid -> applyLate(1) }
	:: atomic { late[0].valid -> late[0].valid = false }
	:: atomic { late[1].valid -> late[1].valid = false }
	:: atomic { undecided != 0 -> i = 1;
		do
		:: HAS(undecided, i) -> break
		:: else -> i++
		od;
		undecided = undecided & ~BIT(i);
		if
		:: execute(i)
		:: skip
		fi;
		i = 0 }
	:: atomic { !crashed && finished == 0 -> crashed = true }
	:: atomic { finished == ROUTERS && !late[0].valid && !late[1].valid && undecided == 0 -> break }
	od;
	/* A crashed router loses its list of orphans, so their key stays claimed. */
	assert(headState != CLAIMED || !HAS(notRun, headAttempt) || (crashed && headAttempt <= ATTEMPTS))
}

init {
	atomic { run Router(0); run Router(1); run Environment() }
}
