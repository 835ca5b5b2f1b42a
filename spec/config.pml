/*
 * Acceptance and adoption of configurations.
 *
 * Mirrors config/publisher.go (accept, resolveConflict) and config/adopter.go
 * (headReceived, adopt): two operators concurrently replace generation 1, and one of
 * them makes a second proposal based on the head it then reads; three processes
 * adopt the generations that the platform or a peer sends them.
 *
 * Modelled: the conditional update of the head object; responses lost after the
 * update was applied, or lost before it is applied late; reading back by change
 * id, also from the history when a further generation has followed; processes
 * that handle old messages after a pause (a process copies the head or the
 * generation of a peer and adopts the copy at any later time); one restart
 * without state; a platform that processes 1 and 2 never reach.
 *
 * Abstracted: shards (a configuration is complete when its head is known),
 * validation, the delay after which a process counts as behind. Each generation
 * has the change id of its proposal, which tells apart two contents for the same
 * generation.
 *
 * Checked: at most one proposal per generation is reported as accepted, and it is
 * the one in force; a proposal that was reported as a conflict is never in force;
 * a running process never moves to a lower generation; a process only adopts
 * accepted configurations; in the end every process has the newest generation.
 * Not guaranteed: a process that restarts without state during an outage starts
 * from the generations of its peers, which may be older than its own was.
 *
 * Mutants: MUTANT_UNCONDITIONAL (the head is written without the version
 * check), MUTANT_NO_READ_BACK (a conflict after a lost response is reported as a
 * refusal without looking up the change id), MUTANT_ADOPT_ANY (a process adopts
 * what it receives without comparing generations).
 */
#define OPERATORS       2
#define PROCESSES       3
#define MAX_GENERATIONS 6

/* The platform: the head's generation, and the change id of each generation. */
byte head = 1;
byte change[MAX_GENERATIONS];

byte accepted[MAX_GENERATIONS]; /* change id that was reported as accepted */
byte refused;                   /* set of change ids that were reported as refused or as a conflict */
byte faults = 2; /* how many more updates may fail */
byte finished;   /* number of operators that have ended */

typedef LateWrite { bool valid; byte base, id };
LateWrite late[OPERATORS];

#define BIT(id)         (1 << (id))
#define WAS_REFUSED(id) ((refused >> (id)) & 1)

inline applyHead(previous, changeId) {
	assert(!WAS_REFUSED(changeId));
	head = previous + 1;
	change[previous + 1] = changeId
}

inline reportAccepted(generation, changeId) {
	assert(accepted[generation] == 0 || accepted[generation] == changeId);
	assert(change[generation] == changeId);
	accepted[generation] = changeId
}

/* Change ids are 1 + 2 * operator + number of the proposal. */
proctype Operator(byte operator) {
	byte base, id, n;
	bool unknown;
	do
	:: n == 2 - operator -> break
	:: n < 2 - operator ->
		atomic { id = 1 + 2 * operator + n; n++; base = head; unknown = false }
put:
		if
		:: atomic { head == base -> applyHead(base, id); reportAccepted(base + 1, id) }
#ifdef MUTANT_UNCONDITIONAL
		:: atomic { head != base -> applyHead(base, id); reportAccepted(base + 1, id) }
#else
		:: head != base -> goto resolveConflict
#endif
		:: atomic { faults > 0 && head == base -> faults--;
			applyHead(base, id); unknown = true; goto put }
		:: atomic { faults > 0 && !late[operator].valid -> faults--;
			late[operator].valid = true; late[operator].base = base; late[operator].id = id;
			unknown = true; goto put }
		/* Refused without being applied. */
		:: atomic { faults > 0 && !unknown -> faults--; refused = refused | BIT(id); goto next }
		/* The retries are exhausted: the outcome is reported as unknown. */
		:: unknown -> skip
		fi;
		goto next;
resolveConflict:
		/* Reads the history entry of the generation that was proposed. */
		atomic {
			if
#ifndef MUTANT_NO_READ_BACK
			:: change[base + 1] == id -> reportAccepted(base + 1, id)
			:: change[base + 1] != id ->
#else
			:: true ->
#endif
				assert(change[base + 1] != id);
				refused = refused | BIT(id)
			fi
		}
next:
		skip
	od;
	finished++
}

/* The generation and change id that each process has adopted; 0 before the first. */
byte adopted[PROCESSES], adoptedChange[PROCESSES];
bool restarted;

inline adopt() {
#ifndef MUTANT_ADOPT_ANY
	if
	:: generation > adopted[n] ->
#else
	if
	:: true ->
#endif
		assert(generation >= adopted[n]);
		adopted[n] = generation; adoptedChange[n] = id;
		assert(change[generation] == id)
#ifndef MUTANT_ADOPT_ANY
	:: else
#endif
	fi;
	generation = 0; id = 0
}

/*
 * A process that buffers one message between receipt and adoption. Each receives
 * from the process before it; process 1, which restarts, from both others.
 */
proctype Process(byte n) {
	byte generation, id;
end:
	do
	:: atomic { n == 0 && generation == 0 && head != adopted[0] -> generation = head; id = change[head] }
	:: atomic { n == 1 && generation == 0 && adopted[(n + 1) % PROCESSES] != adopted[n] && adopted[(n + 1) % PROCESSES] != 0 ->
		generation = adopted[(n + 1) % PROCESSES]; id = adoptedChange[(n + 1) % PROCESSES] }
	:: atomic { generation == 0 && adopted[(n + 2) % PROCESSES] != adopted[n] && adopted[(n + 2) % PROCESSES] != 0 ->
		generation = adopted[(n + 2) % PROCESSES]; id = adoptedChange[(n + 2) % PROCESSES] }
	:: atomic { generation != 0 -> adopt() }
	/* A restart loses the buffered message as well. */
	:: atomic { n == 1 && !restarted -> restarted = true; adopted[n] = 0; adoptedChange[n] = 0; generation = 0; id = 0 }
	od
}

inline applyLate(i) {
	if
	:: late[i].base == head -> applyHead(late[i].base, late[i].id)
	:: else
	fi;
	late[i].valid = false
}

proctype Environment() {
	do
	:: atomic { late[0].valid -> applyLate(0) }
	:: atomic { late[1].valid -> applyLate(1) }
	:: atomic { late[0].valid -> late[0].valid = false }
	:: atomic { late[1].valid -> late[1].valid = false }
	:: finished == OPERATORS && !late[0].valid && !late[1].valid -> break
	od;
	/* No other step is possible: all updates have propagated. */
	timeout -> assert(adopted[0] == head && adopted[1] == head && adopted[2] == head)
}

init {
	atomic {
		change[1] = 7;
		run Operator(0); run Operator(1); run Environment();
		run Process(0); run Process(1); run Process(2)
	}
}
