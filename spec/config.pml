/*
 * Acceptance and adoption of configurations.
 *
 * Mirrors config/publisher.go (accept, settle) and config/adopter.go
 * (headSeen, adopt): two operators race to replace generation 1, one of them
 * again on top of what it then finds; three processes adopt what the platform
 * or a neighbour shows them.
 *
 * What is modelled: the conditional update of the head object; answers lost
 * after the update was applied, or before it is applied late; the read back by
 * change id, also through the history when another generation has followed;
 * processes that act on old messages after a pause (a process takes a copy of
 * the head or of a neighbour's generation and adopts it at any later time);
 * one restart with empty memory; a platform that processes 1 and 2 never reach.
 *
 * What is abstracted: shards (a configuration is complete when its head is
 * known), validation, the bound after which a process is behind. A generation
 * is held with its change id, so that two contents of one generation differ.
 *
 * Checked: one proposal at most is told to be accepted for each generation, and
 * it is the one in force; a proposal that is told a conflict is never in force;
 * a running process never moves to a lower generation; what a process holds was
 * accepted; in the end every process holds the newest generation. Not claimed:
 * a process that restarts empty in an outage starts from what its neighbours
 * hold, which can be less than it alone held before.
 *
 * Mutants: MUTANT_UNCONDITIONAL (the head is written without the version
 * check), MUTANT_NO_READ_BACK (a conflict after a lost answer is taken as
 * refusal without looking for the change id), MUTANT_ADOPT_ANY (a process
 * adopts what it is shown without comparing generations).
 */
#define OPERATORS 2
#define NODES     3
#define MAXGEN    6

/* The platform: the head's generation, and the change id of each generation. */
byte head = 1;
byte change[MAXGEN];

byte accepted[MAXGEN]; /* change id that was told to be accepted */
byte refused;          /* set of change ids that were told a conflict */
byte faults = 2;
byte finished;

typedef LateWrite { bool valid; byte base, id };
LateWrite late[OPERATORS];

#define BIT(id)      (1 << (id))
#define WASREFUSED(id) ((refused >> (id)) & 1)

inline applyHead(g, x) {
	assert(!WASREFUSED(x));
	head = g + 1;
	change[g + 1] = x
}

inline tellAccepted(g, x) {
	assert(accepted[g] == 0 || accepted[g] == x);
	assert(change[g] == x);
	accepted[g] = x
}

/* Change ids are 1 + 2 * operator + number of the proposal. */
proctype Operator(byte op) {
	byte base, id, n;
	bool unknown;
	do
	:: n == 2 - op -> break
	:: n < 2 - op ->
		atomic { id = 1 + 2 * op + n; n++; base = head; unknown = false }
put:
		if
		:: atomic { head == base -> applyHead(base, id); tellAccepted(base + 1, id) }
#ifdef MUTANT_UNCONDITIONAL
		:: atomic { head != base -> applyHead(base, id); tellAccepted(base + 1, id) }
#else
		:: head != base -> goto settle
#endif
		:: atomic { faults > 0 && head == base -> faults--;
			applyHead(base, id); unknown = true; goto put }
		:: atomic { faults > 0 && !late[op].valid -> faults--;
			late[op].valid = true; late[op].base = base; late[op].id = id;
			unknown = true; goto put }
		/* Refused without being applied. */
		:: atomic { faults > 0 && !unknown -> faults--; refused = refused | BIT(id); goto next }
		/* The attempts are used up: the outcome is reported as unknown. */
		:: unknown -> skip
		fi;
		goto next;
settle:
		/* history of the generation that the proposal would have had */
		atomic {
			if
#ifndef MUTANT_NO_READ_BACK
			:: change[base + 1] == id -> tellAccepted(base + 1, id)
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

/* What a process holds; zero before the first adoption. */
byte held[NODES], heldChange[NODES];
bool restarted;

inline adopt() {
#ifndef MUTANT_ADOPT_ANY
	if
	:: gen > held[n] ->
#else
	if
	:: true ->
#endif
		assert(gen >= held[n]);
		held[n] = gen; heldChange[n] = id;
		assert(change[gen] == id)
#ifndef MUTANT_ADOPT_ANY
	:: else
#endif
	fi;
	gen = 0; id = 0
}

/*
 * A process that keeps one message in hand between receipt and adoption. Each
 * hears from the one before it, and process 1, which restarts, from both.
 */
proctype Node(byte n) {
	byte gen, id;
end:
	do
	:: atomic { n == 0 && gen == 0 && head != held[0] -> gen = head; id = change[head] }
	:: atomic { n == 1 && gen == 0 && held[(n + 1) % NODES] != held[n] && held[(n + 1) % NODES] != 0 ->
		gen = held[(n + 1) % NODES]; id = heldChange[(n + 1) % NODES] }
	:: atomic { gen == 0 && held[(n + 2) % NODES] != held[n] && held[(n + 2) % NODES] != 0 ->
		gen = held[(n + 2) % NODES]; id = heldChange[(n + 2) % NODES] }
	:: atomic { gen != 0 -> adopt() }
	/* A restart loses the message in hand as well. */
	:: atomic { n == 1 && !restarted -> restarted = true; held[n] = 0; heldChange[n] = 0; gen = 0; id = 0 }
	od
}

inline land(i) {
	if
	:: late[i].base == head -> applyHead(late[i].base, late[i].id)
	:: else
	fi;
	late[i].valid = false
}

proctype Environment() {
	do
	:: atomic { late[0].valid -> land(0) }
	:: atomic { late[1].valid -> land(1) }
	:: atomic { late[0].valid -> late[0].valid = false }
	:: atomic { late[1].valid -> late[1].valid = false }
	:: finished == OPERATORS && !late[0].valid && !late[1].valid -> break
	od;
	/* Nothing else can happen: everything has spread. */
	timeout -> assert(held[0] == head && held[1] == head && held[2] == head)
}

init {
	atomic {
		change[1] = 7;
		run Operator(0); run Operator(1); run Environment();
		run Node(0); run Node(1); run Node(2)
	}
}
