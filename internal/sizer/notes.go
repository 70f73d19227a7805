package main

// roleNotes are the paragraphs above the rows of each role.
var roleNotes = map[string]string{
	roleEntry:           "State: the documents in force, a view of all replicas and instances, credits in hand. The handshakes and ciphers of TLS are in no row.",
	roleTraffic:         "Not under the allowance of control: the instance's part of serving. The allowance shown is one core.",
	roleDatacentreRelay: "An entry that also passes digests on; one in each data centre. The row is all of its links; the list's and the credits' rows of an entry come on top of it, and the sum of an entry with its links in the mean is above.",
	roleRegionRelay:     "A relay that also joins its region to the others; one in each region.",
	roleOwner:           "Every instance owns its part of all limits, by rendezvous hash. This is on top of an entry's own asks.",
	rolePlanner:         "One instance, on top of an entry. State: the lists of retired models and the loads under way.",
	roleOperator:        "Any instance; nothing is kept there.",
	roleTable:           "All users together. What is left of the writes is for orders: two transactions each, claims that wait together in one.",
	roleList:            "The list has no stated rate. The weight store's rate is held by `pacer` whatever the number of planners (`TestInstancesShareOneRate`). Objects are not used in steady state.",
}

// pageFooter is the page's text after the rows.
const pageFooter = `
## What does not fit, and what would be changed

- **Cache events.** An instance follows the engines of its own data centre, 16 of
  them each 250 ms. At 105 engines that is 64 reads a second: with headers alone
  past 4 KB a second, and events of 25 requests a second and engine come on top.
  It breaks first. The change: one follower for each engine among the instances
  of its data centre, as for load reports, and digests of hot prefixes in its
  place; or picks by rendezvous of the prefix without events.
- **Control traffic of an entry**: links fit by themselves (digests are held to
  4,096 B/s by a test at 390 instances in one process), credits too; both together
  do not when every workspace's requests come so far apart that none shares an ask.
  Frames of yamux and TLS come on top: 375 B in place of 151 B a request, worked
  out in [limits](design/limits.md). The change: credits that last longer for
  workspaces with little demand, within the stated overshoot.
- **The load of other data centres** is not told above 16 instances, so picks there
  go by the own data centre and what was learned.
- **First sweep of orders.** An instance that starts reads all rows of orders once,
  page by page. With the records of three days at 100 orders a second that is
  130,000 pages of 200: too long. The change: an index of open orders as a table of
  its own.

## Coordination of relaying instances

Rows are by design where no figure of a test is named; the links' own frames come on top.

| what | who | messages and bytes | state |
|---|---|---|---|
| cold replicas, limits that replicas state (` + "`throttler`" + `) | each instance, and one owner for each service | a question and a response for a request to a cold replica, of one entry of about 60 B for each replica asked for, 16 at most; a cold replica takes 9 of 12 requests a second, so 30 of them cost their owner at most 270 grants a second, for the 3 s of a start | 200 B for each cold or limited replica, at all instances |
| evacuations (` + "`registrar`" + `) | each instance | the row of the data centre, with the changes of the plan's table | one entry for each data centre |
| learned speeds (` + "`rater`" + `) | each instance, and one owner for each service | received by most of 390 instances 530 B/s, sent by the owner 3,197 B/s, in the simulation of its tests; what a leader forwards exceeds the allowance, see [speeds](design/speeds.md) | 300 B for each replica incarnation |
| shares of workspaces (` + "`batcher`" + `) | the owner of a stage service | the workspace's name and a flag in the requests for pieces that are sent anyway | two numbers for each workspace and rank of the last seconds |
| bytes and connections of clients (` + "`accountant`, `tracker`" + `) | each instance | none | a quarter of the granted memory for bodies and buffered responses; an eighth for connections, at 32 KiB each |

## Bad days

| day | what happens | what carries it |
|---|---|---|
| a data centre lost | 20 instances and 105 replicas vanish; links notice within 3 s, and within about 6 s what a lost relay told; one change of the list | picks leave the replicas out, the others' relays and owners are chosen anew from the list, a new owner waits 3 s |
| regions apart for minutes | digests and credits stop between them | limits are scaled by the part that answers; changes still come by the table; nothing is merged afterwards, versions only rise |
| 760 restarts a day, a week long | one in 114 s by the even rate, twenty at a time when a data centre is rolled | each start reads the head and the documents from peers; 0.02 list changes a second as in the rows above |
| the table down for an hour | no orders, no changes, budgets use up their batch | everything else goes on; the breaker probes four times a second and instance, 1,560 a second of all: under the cap of reads, and the change would be a shared number here too |
| all instances starting at once | 390 readings of head, documents and list | documents are 1,400 rows in three pages: 1,560 reads, under a second of the table's cap; loads of models take turns at the weight store's rate |

## What was not measured

No fleet of 390 instances or 2,100 replicas was run. The links' figures come from
up to 390 instances in one process, in memory, under virtual time; rows marked *by design*
follow from a constant in the code; processor time is of this machine.
`
