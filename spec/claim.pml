/*
 * At-most-once claims of one scope key.
 *
 * Mirrors claim/partition.go, claim/plan.go and claim/orphan.go: each router
 * is an owner with a Partition of its own, and both write one head object.
 *
 * What is modelled: reads that fail, writes that conflict, are refused, are
 * applied with their answer lost, or are applied late with their answer lost;
 * a crash of router 0 at any step; pauses (any step may take any time); a
 * dispatch that runs, does not run, or whose fate is unknown and which may run
 * later; release after a true "not run"; orphans and the fence.
 *
 * What is abstracted: one key and one record in the head, no segments (the
 * property test of claim/ covers rollover), no group commit (a batch holds one
 * operation), a bounded number of faults, two attempts for each router. A
 * release is an orphan at once, as after a failed release in Go.
 *
 * Checked: the request runs at most once; an attempt that was answered "not
 * run" never runs; an attempt that is granted holds the claim in the store; in
 * the end no living router leaves the claim of a refused attempt behind.
 *
 * Mutants: MUTANT_UNCONDITIONAL (head writes without the version check),
 * MUTANT_UNKNOWN_IS_DONE (a lost answer is taken as success, no read back),
 * MUTANT_NO_FENCE (an orphan is forgotten while its write can still land),
 * MUTANT_RELEASE_UNKNOWN (the claim is released although the dispatch's fate is
 * unknown).
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

/* The head object. An attempt is 1 + router * ATTEMPTS + number. */
byte ver = 1, headAttempt, headState;

typedef LateWrite { bool valid; byte ifVer, attempt, state };
LateWrite late[ROUTERS];

byte faults = 3;
byte runs;
byte ran, notRun, undecided; /* sets of attempts */
bool crashed;
byte finished;

inline apply(na, ns) {
	headAttempt = na; headState = ns; ver++
}

inline execute(x) {
	assert(!HAS(notRun, x));
	runs++;
	assert(runs <= 1);
	ran = ran | BIT(x)
}

inline readHead() {
	if
	:: atomic { v = ver; att = headAttempt; st = headState; ok = true }
	:: atomic { faults > 0 -> faults--; ok = false }
	fi
}

inline writeHead(na, ns) {
	if
	:: atomic { ver == v -> apply(na, ns); v = ver; res = DONE }
#ifdef MUTANT_UNCONDITIONAL
	:: atomic { ver != v -> apply(na, ns); v = ver; res = DONE }
#else
	:: atomic { ver != v -> res = CONFLICT }
#endif
	:: atomic { faults > 0 && ver == v -> faults--; apply(na, ns); res = UNKNOWN }
	:: atomic { faults > 0 && !late[r].valid -> faults--;
		late[r].valid = true; late[r].ifVer = v;
		late[r].attempt = na; late[r].state = ns;
		res = UNKNOWN }
	:: atomic { faults > 0 -> faults--; res = UNAVAILABLE }
	fi;
#ifdef MUTANT_UNKNOWN_IS_DONE
	if
	:: res == UNKNOWN -> res = DONE
	:: else
	fi
#endif
}

/* needFence: an unknown write of an orphan can still be applied. */
#ifdef MUTANT_NO_FENCE
#define needFence false
#else
#define needFence (orphans != 0 && fence == v)
#endif

proctype Router(byte r) {
	byte n, a, v, att, st, res, orphans, fence;
	bool ok, suspect;
	{
	do
	:: n == ATTEMPTS -> break
	:: n < ATTEMPTS ->
		d_step { n++; a = r * ATTEMPTS + n; suspect = false }
claim:
		readHead();
		if
		:: !ok -> goto refuse
		:: ok && st == CLAIMED && att == a ->
			goto granted
		:: ok && st == CLAIMED && att != a && !HAS(orphans, att) && !needFence ->
			/* AlreadyClaimed; no orphan is recorded or can land. */
			d_step { orphans = 0; notRun = notRun | BIT(a) }
			goto next
		:: ok && st == CLAIMED && att != a && !HAS(orphans, att) && needFence ->
			writeHead(att, st);
			goto claim
		:: ok && (st != CLAIMED || HAS(orphans, att)) ->
			writeHead(a, CLAIMED);
			if
			:: res == DONE -> goto granted
			:: res == CONFLICT -> goto claim
			:: res == UNKNOWN -> suspect = true; goto claim
			:: res == UNAVAILABLE -> goto refuse
			fi
		fi;
refuse:
		/* 503, not run. The claim may be recorded or land later. */
		atomic {
			if
			:: suspect -> orphans = orphans | BIT(a); fence = v
			:: else
			fi;
			assert(!HAS(ran, a));
			notRun = notRun | BIT(a)
		}
		goto next;
granted:
		atomic {
			orphans = 0;
			assert(headState == CLAIMED && headAttempt == a)
		}
		if
		:: atomic { execute(a) }
		:: atomic { undecided = undecided | BIT(a) }
#ifdef MUTANT_RELEASE_UNKNOWN
			orphans = orphans | BIT(a); fence = v
#endif
		:: atomic { notRun = notRun | BIT(a); orphans = orphans | BIT(a); fence = v }
		fi;
next:
		skip
	od;
settle:
	if
	:: orphans == 0 -> goto end
	:: else -> readHead()
	fi;
	if
	:: !ok -> goto settle
	:: ok && st == CLAIMED && HAS(orphans, att) ->
		writeHead(att, RELEASED)
	:: ok && !(st == CLAIMED && HAS(orphans, att)) && needFence ->
		writeHead(att, st)
	:: ok && !(st == CLAIMED && HAS(orphans, att)) && !needFence ->
		res = DONE
	fi;
	if
	:: res == DONE -> orphans = 0
	:: else
	fi;
	goto settle;
end:
	skip
	} unless { r == 0 && crashed };
	finished++
}

/* A late write is applied if its condition holds. */
inline land(i) {
	if
	:: late[i].ifVer == ver -> apply(late[i].attempt, late[i].state)
	:: else
	fi;
	late[i].valid = false
}

proctype Environment() {
	byte i;
	do
	:: atomic { late[0].valid -> land(0) }
	:: atomic { late[1].valid -> land(1) }
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
	/* The orphans of a crashed router are lost: their key stays claimed. */
	assert(headState != CLAIMED || !HAS(notRun, headAttempt) || (crashed && headAttempt <= ATTEMPTS))
}

init {
	atomic { run Router(0); run Router(1); run Environment() }
}
