Feature: requests are served in the region of their entry unless the other one has to help
  The load: two regions behind one slow link, of which one loses its servers or gets more
  requests than it can begin in time. A fixed preference would refuse requests that the
  other region could serve; no preference would fill the link and read prompts twice.

  Scenario Outline: with one region every choice is as it was
    Guards against a change of decisions in deployments that have no regions.

    Given an entry before <near> and <far> servers in data centres of "<regions>"
    Then its choices for 300 requests are those of the ranking over all servers

    Examples:
      | near | far | regions    |
      | 6    | 5   | none       |
      | 6    | 5   | one region |
      | 1    | 1   | one region |

  Scenario: with one region attempts at servers that left count as they did
    Guards against another second choice where a tried server has left meanwhile.

    Given an entry before 2 and 1 servers in data centres of "one region"
    Then after two attempts and the leave of the first server, choices are as before

  Scenario Outline: the own region serves, and caches its own prompts
    Guards against requests that cross the link without need.

    Given an entry before 6 <kind> in its region and 6 in the other
    Then 100 requests are served in its own region
    And a shared prompt has the engine that ranks first in the own region

    Examples:
      | kind          |
      | engines       |
      | plain servers |

  Scenario Outline: the other region serves where the own one has no server
    Guards against refusals while the other region has servers.

    Given an entry before 3 engines in its region and 3 in the other
    When the servers of its region are <state>
    Then 20 requests are served in the other region because of "<reason>"
    And the log leads from the id of such a request to the region and "<reason>"

    Examples:
      | state      | reason       |
      | gone       | no-server    |
      | ejected    | no-server    |
      | backed off | servers-busy |
      | cold       | servers-busy |

  Scenario Outline: only what the own region can't serve at all crosses a full link
    Guards against optional traffic that delays what must cross.

    Given an entry before 3 engines in its region and 3 in the other
    When the link admits no optional traffic
    And the servers of its region are <state>
    Then the request is "<outcome>"

    Examples:
      | state      | outcome                          |
      | gone       | served far, no-server            |
      | ejected    | served far, no-server            |
      | backed off | refused, servers-backed-off, 2 s |
      | cold       | served near                      |
      | cold and used up | refused, servers-cold      |

  Scenario Outline: regions that are cut off serve alone
    Guards against requests that wait for servers which can't be reached.

    Given an entry before 3 engines in its region and 3 in the other
    When the other region is cut off
    And the servers of its region are <state>
    Then the request is "<outcome>"
    When the other region is reachable again
    Then the request is "<healed>"

    Examples:
      | state      | outcome                          | healed                   |
      | usable     | served near                      | served near              |
      | gone       | refused, no-live-server          | served far, no-server    |
      | ejected    | served near                      | served far, no-server    |
      | backed off | refused, servers-backed-off, 2 s | served far, servers-busy |

  Scenario: servers of a region that is cut off don't determine the Retry-After
    Guards against a caller that is told to return when only an unreachable server is free.

    Given an entry before 3 engines in its region and 3 in the other
    When the other region is cut off
    And the servers of its region are backed off
    And the servers of the other region are backed off for 0.1 s
    Then the request is "refused, servers-backed-off, 2 s"

  Scenario: the earliest end of a back-off in either region determines the Retry-After
    Guards against a caller that is told to wait for the own region when the other one
    serves it earlier; seen in server_words.feature.

    Given an entry before 3 engines in its region and 3 in the other
    When the servers of its region are backed off
    And the servers of the other region are backed off for 0.5 s
    Then the request is "refused, servers-backed-off, 0.5 s"

  Scenario Outline: the regions are compared by their measured times
    Guards against a fixed preference for either region.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take <near> s here and <far> s there
    Then the request is "<outcome>"

    Examples:
      | near | far | outcome                 |
      | 0.3  | 0.1 | served near             |
      | 2.0  | 0.3 | served far, not-in-time |
      | 0.3  | 2.0 | served near             |
      | 2.0  | 1.5 | served near             |
      | 2.0  | 2.5 | served near             |

  Scenario: permits that other entries took do not refuse a request
    Guards against a refusal by an own region whose servers all have a limit, while the
    other one has servers without. Seen as 503 in server_limits.feature, since the wait
    that this entry expects does not know what other entries ask for.

    Given an entry before 1 engines in its region and 1 in the other
    When the permits of its region are taken by other entries
    Then the request is "served far, servers-busy"
    When the link admits no optional traffic
    Then the request is "refused, servers-limited"

  Scenario: a permit that is taken while a request is checked does not refuse it
    Guards against a refusal by the own region, chosen for a permit that is no longer in
    time when the wait is read again. Seen as 503 in server_limits.feature.

    Given an entry before 1 engines in its region and 1 in the other
    When the last permit of its region is taken after each choice of a region
    Then the request is "served far, not-in-time"
    And a request with stages is "refused, servers-limited"
    When the link admits no optional traffic
    Then the request is "refused, servers-limited"

  Scenario: the wait for a permit adds to the time of an answer
    Guards against a permit that begins in time for an answer that does not.

    Given an entry before 2 engines in its region and 2 in the other
    When answers take 0.9 s here and 0.3 s there
    And the servers of its region take 2 requests a second and had their burst
    Then the request is "served far, not-in-time"

  Scenario: the way to the other region counts once
    Guards against a region that seems slower than it is because its times are measured
    from here.

    Given an entry before 3 engines in its region and 3 in the other
    When the round trip takes 0.08 s
    And answers take 2.0 s here and 0.9 s there
    Then the request is "served far, not-in-time"

  Scenario: an overloaded region gets nothing that the own one could serve later
    Guards against requests that leave a region whose servers are backed off for one that
    is just as full.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 0.3 s here and 2.0 s there
    And the servers of its region are backed off
    Then the request is "refused, servers-backed-off, 2 s"

  Scenario: permits are waited for no longer than the urgency of a request allows
    Guards against a refusal for a permit that is in time but too long a wait.

    Given an entry before 2 engines in its region and 2 in the other
    When the servers of its region take 5 requests a second and had their burst
    Then a request that waits for no permit is "served far, not-in-time"

  Scenario: the link's window also holds back what would be faster elsewhere
    Guards against a burst that fills the link.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 2.0 s here and 0.3 s there
    And the link admits no optional traffic
    Then the request is "served near"

  Scenario Outline: the distance, the bytes and the prompt count
    Guards against crossings whose transfer takes longer than the wait that they avoid.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 1.2 s here and 0.7 s there
    And the round trip takes <round_trip> s
    Then a request of <bytes> bytes with <tokens> shared tokens is "<outcome>"

    Examples:
      | round_trip | bytes   | tokens | outcome                 |
      | 0.024      | 1000    | 0      | served far, not-in-time |
      | 0.4        | 1000    | 0      | served near             |
      | 0.04       | 4000000 | 0      | served near             |
      | 0.04       | 1000    | 3000   | served near             |

  Scenario: calls beyond the slots of a region count
    Guards against an estimate that only knows times from before a burst.

    Given an entry before 1 engines in its region and 1 in the other
    When answers take 0.4 s here and 0.3 s there
    And this entry has 12 calls open at each server of its region
    Then the request is "served far, not-in-time"

  Scenario: calls that are not answered count before any of them is
    Guards against a region that hangs and therefore yields no times.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 0.2 s here and 0.3 s there
    And 4 calls in its region have not been answered for 1.5 s
    Then the request is "served far, not-in-time"

  Scenario: one call that hangs says nothing about its region
    Guards against a region that is left because of one server.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 0.2 s here and 0.3 s there
    And 2 calls in its region have not been answered for 1.5 s
    Then the request is "served near"

  Scenario: servers that refuse most calls can't begin a request
    Guards against attempts at full servers while the other region is idle.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 0.2 s here and 0.3 s there
    And 6 calls in its region are refused
    Then the request is "served far, not-in-time"

  Scenario: limits of all own servers count as a wait
    Guards against refusals for a permit while the other region has servers without limit.

    Given an entry before 2 engines in its region and 2 in the other
    When the servers of its region take 0.01 requests a second and had their burst
    Then the request is "served far, not-in-time"
    When the link admits no optional traffic
    Then the request is "refused, servers-limited"

  Scenario: an unmeasured region looks no better than the own one
    Guards against a burst that is sent to a region of which nothing is known.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 2.0 s here and 0.3 s there
    And 4 s pass
    Then the request is "served near"
    When answers take 2.0 s here
    Then one request tries the other region, and 30 are served near
    When that one is answered after 0.2 s
    And answers take 2.0 s here
    Then the request is "served far, not-in-time"

  Scenario: without any measurement the own region serves
    Given an entry before 3 engines in its region and 3 in the other
    Then 30 requests are served in its own region

  Scenario: a region that was left is measured again by one call at a time
    Guards against all requests returning at once to a region that is still overloaded.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 2.0 s here and 0.3 s there
    And 3.2 s pass in which the other region answers
    Then one request is served near while 30 cross
    When that one is answered after 0.2 s
    Then the request is "served near"

  Scenario: a chain's engine is in the region of its results
    Guards against large results that cross the link.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 2.0 s here and 0.3 s there
    Then a request with results in "hall-b" is "served near"
    And a request with results in "hall-c" is "served far, results"
    When the servers of the other region are gone
    Then a request with results in "hall-c" is "served near"
    And 1500000 bytes of results were counted for the other region

  Scenario Outline: a second attempt goes to another server
    Guards against a second attempt at the server that has just failed.

    Given an entry before <near> engines in its region and 2 in the other
    When the link <state>
    Then after an attempt that <end>, the next one is "<next>"

    Examples:
      | near | state                     | end         | next              |
      | 2    | is open                   | failed      | near, another     |
      | 1    | is open                   | failed      | far, retry        |
      | 1    | admits nothing optional   | failed      | far, retry        |
      | 1    | is open                   | was refused | far, retry        |
      | 1    | admits nothing optional   | was refused | near, the same    |
      | 1    | is cut                    | failed      | near, the same    |

  Scenario: later attempts use all servers of the other region
    Guards against attempts in the own region counting as tried servers of the other one.

    Given an entry before 2 engines in its region and 2 in the other
    Then 4 attempts that fail go to 4 different servers

  Scenario Outline: home regions come first
    Guards against requests that are served or stored outside their home.

    Given an entry before 3 engines in its region and 3 in the other
    When answers take 2.0 s here and 0.3 s there
    Then a request of a <bound> at home in "<home>" is "<outcome>"
    When the servers of its region are gone
    Then a request of a <bound> at home in "<home>" is "<later>"

    Examples:
      | bound   | home | outcome          | later                   |
      | route   | near | served near      | refused, no-live-server |
      | account | near | served near      | refused, no-live-server |
      | route   | far  | served far, home | served far, home        |
      | account | far  | served far, home | served far, home        |

  Scenario: calls and answers that cross are counted
    Guards against bytes that the link carries and no metric shows.

    Given an entry before 2 engines in its region and 2 in the other
    When calls of 700 bytes with answers of 9000 bytes go to both regions
    Then 700 bytes of calls and 9000 of answers were counted for the other region alone

  Scenario Outline: a forwarded request counts its bytes on the wire
    Guards against an attempt that doesn't report what it sent or received.

    Given an entry before a real server of the other region
    When an answer of 5000 bytes is read <how>
    Then the bytes of call and answer were counted, and <measured>

    Examples:
      | how        | measured       |
      | whole      | its time       |
      | as events  | its time       |
      | as refusal | the refusal    |
