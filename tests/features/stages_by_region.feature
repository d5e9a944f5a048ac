Feature: each region has its own queues of stages, and lends only spare capacity
  Two regions with four entries and two servers of each service. Messages between
  entries can be lost in either direction. No process runs here; time is simulated.

  # Guards against orders that cross the link between the regions in normal operation.
  Scenario: each region's owners serve the requests of their region
    Given two regions
    When 5 requests of three pieces come to each entry
    Then each chain ran in the region of its entry
    And no message crossed between the regions
    And each piece was made once, and no result is left but those returned

  # Guards against a burst in one region that is refused while the other one is idle.
  Scenario: a chain that its own region refuses runs in the other one
    Given two regions
    And "valley" has 6 calls waiting
    When a request comes to "valley"
    Then its chain ran in "hills"
    And "valley" was first asked for the same orders
    And nothing of it waits in "valley"
    And the bytes of its orders were counted as sent to "hills"
    And its orders there had two round trips less time
    And no delay was recorded for the queues of its own region
    And each piece was made once, and no result is left but those returned

  # Guards against lending capacity that the region's own callers are about to need.
  Scenario: a region that still accepts its own chains refuses a borrowed one
    Given two regions
    And "valley" has 6 calls waiting
    And "hills" has 3 calls waiting
    When a request comes to "valley"
    Then it is refused with the wait of "hills"
    And nothing of it waits in "hills"
    And an order of "hills" is accepted there, and the same one borrowed is refused

  # Guards against borrowed orders that skip the less urgent orders of the region.
  Scenario: a borrowed order waits behind all that the queue holds
    Given two regions
    And "hills" has 4 calls of "embed" waiting that may start late
    Then an order of "hills" is accepted there, and the same one borrowed is refused

  # Guards against the same at a later stage, which is booked.
  Scenario: a borrowed booking is refused behind all that the queue holds
    Given two regions
    And "valley" has 6 calls waiting
    And "hills" has 6 calls of "rank" waiting that may start late
    When a request comes to "valley"
    Then it is refused with the wait of "valley"
    And nothing of it waits in "hills"

  # Guards against pieces that wait for the engine's data centre, which is elsewhere.
  Scenario: a borrowed chain is not held back for the data centre of its own engine
    Given two regions
    And "valley" has 6 calls waiting
    When a request whose prompt is cached in "hall-a" comes to "valley"
    Then its chain ran in "hills"
    And the first stage was ordered near "hall-a" there and near no data centre here

  # Guards against a chain whose pieces are ordered in two regions.
  Scenario: a chain is not offered after one of its stages was ordered
    Given two regions
    And "valley" has 8 calls of "rank" waiting
    When a request of two independent stages comes to "valley"
    Then it is refused
    And no message crossed between the regions
    And no piece was made twice, and no result is left

  # Guards against offers over a link that is short of capacity or cut.
  Scenario Outline: no chain is offered while the link <link>
    Given two regions
    And "valley" has 6 calls waiting
    And the link <link>
    When a request comes to "valley"
    Then it is refused with the wait of "valley"
    And no message crossed between the regions

    Examples:
      | link                      |
      | admits no optional traffic |
      | is known to be cut        |

  # Guards against callers that wait for the time-outs of a partition.
  Scenario: regions that can't reach one another each serve their own
    Given two regions
    And "valley" has 6 calls waiting
    And all messages between the regions are lost
    When a request comes to "valley"
    Then it is refused with the wait of "valley" after at most 0.4 s
    When a request comes to "valley"
    Then it is refused with the wait of "valley" after at most 0 s
    When "valley" has served what was waiting
    And 2 requests of three pieces come to each entry
    Then each chain ran in the region of its entry
    And each piece was made once, and no result is left but those returned

  # Guards against an entry that goes on without a region that has recovered.
  Scenario: after a partition has healed, chains are offered again
    Given two regions
    And "valley" has 6 calls waiting
    And all messages between the regions are lost
    When a request comes to "valley"
    Then it is refused with the wait of "valley" after at most 0.4 s
    When the partition heals and 3 s pass
    And "valley" has 6 calls waiting
    And a request comes to "valley"
    Then its chain ran in "hills"
    And each piece was made once, and no result is left but those returned

  # Guards against pieces of a chain in both regions where only the answer was lost.
  Scenario Outline: an offer whose answer is lost is cancelled
    Given two regions
    And "valley" has 8 calls waiting
    And messages from "hills" to "valley" are lost
    And calls of servers of "embed" in "hills" are held
    When a request of <stages> stages comes to "valley"
    Then it is refused with the wait of "valley" after at most 0.4 s
    And the offer was sent to one entry and cancelled there
    And nothing of it waits in "hills"
    When the held calls of "hills" end
    Then no piece was made twice, and no result is left

    Examples:
      | stages |
      | 1      |
      | 2      |

  # Guards against a region without servers that refuses what another one could do.
  Scenario: a region without stage servers borrows
    Given two regions
    And "valley" has no servers of "rank"
    When a request comes to "valley"
    Then its chain ran in "hills"
    And no order or booking of it was sent to an entry of "valley"

  # Guards against results that cross because the region has no engine to read them.
  Scenario: a region without engines borrows, and runs the stages if it can't
    Given two regions
    And "valley" has no servers of "engine"
    When a request comes to "valley"
    Then its chain ran in "hills"
    When "hills" has 6 calls waiting
    And a request comes to "valley"
    Then its chain ran in "valley"

  # Guards against two orders of the same pieces after an offer without an answer.
  Scenario Outline: stages are not ordered in the own region after an unanswered offer
    Given two regions
    And "valley" has no servers of "engine"
    And messages from "hills" to "valley" are lost
    And calls of servers of "embed" in "hills" are held
    When a request of <stages> stages comes to "valley"
    Then it is refused
    And no order or booking of it was sent to an entry of "valley"
    When the held calls of "hills" end
    Then no piece was made twice, and no result is left

    Examples:
      | stages |
      | 1      |
      | 2      |

  # Guards against an entry that calls the servers of a region that it can't reach.
  Scenario: a request whose home is cut off is refused, and makes nobody an owner there
    Given two regions
    And all messages between the regions are lost
    When a request with the home "hills" comes to "valley"
    Then it is refused
    And no piece was made

  # Guards against servers in backoff that make a region refuse although another is idle.
  Scenario: a region whose servers are all backed off borrows
    Given two regions
    And all servers of "embed" in "valley" ask for 2 s without calls
    When a request comes to "valley"
    Then its chain ran in "hills"

  # Guards against a refusal although no server has been sent anything, and another can be.
  Scenario: a chain whose order was dropped unsent is offered
    Given two regions
    And servers of "embed" in "valley" turn calls away and ask for 2 s without any
    When a request comes to "valley" and its order is dropped there
    Then its chain ran in "hills"
    And nothing of it waits in "valley"
    And each piece was made once, and no result is left but those returned

  # Guards against data that leaves its home regions, and against homes that count as borrowers.
  Scenario: home regions come first
    Given two regions
    And "valley" has 6 calls waiting
    When a request with the home "valley" comes to "valley"
    Then it is refused with the wait of "valley"
    And no message crossed between the regions
    When "hills" has 3 calls waiting
    And an order of a request with the home "hills" comes to "valley"
    Then it is accepted in "hills" and not as borrowed

  # Guards against a chain that is lost with the owner that lent its capacity.
  Scenario: the owner of borrowed capacity is killed
    Given two regions
    And calls of servers of "embed" in "hills" are held
    And an entry of "valley" has borrowed for an order in "hills"
    When the owner of that queue is killed and 1 s passes
    Then the order is done by the next entry of "hills"
    And no piece was made twice

  # Guards against an order that is accepted twice and made twice.
  Scenario: a borrowed order that is sent again changes nothing
    Given two regions
    And calls of servers of "embed" in "hills" are held
    And an entry of "valley" has borrowed for an order in "hills"
    When 1 s passes and the order is sent again
    And the held calls of "hills" end
    Then each piece was made once

  # Guards against a change for deployments of one region.
  Scenario: with one region, entries decide and send as before
    Given one region
    When 5 requests of three pieces come to each entry
    Then all orders of a service went to the first in rank for its name
    And each message has only the fields of the previous release
    And each chain ran in no region in particular
    And each piece was made once, and no result is left but those returned

  # Guards against orders of entries of the previous release that find no server.
  Scenario: an order without a region is for the queue over all regions
    Given two regions
    When an entry of the previous release orders 40 pieces
    Then servers of both regions make them
