Feature: the status of entries that forward by routes

  # Guards against a status that leaves out why requests are refused, or adds up
  # estimates that each entry makes for all entries.

  Scenario: entries of two regions in a shortage
    Given an entry that exchanged with region "south" 2000 bytes of calls and 500 of orders, 24 ms away with a window of 65536
    And an entry that exchanged with region "south" 1000 bytes of calls and 0 of orders, 30 ms away with a window of 4096
    And entry 1 refused "a7" as surplus of "tokens" 3 times at a share of 28.5 and a demand of 212
    And entry 2 refused "a7" as surplus of "tokens" 1 time at a share of 30 and a demand of 190
    And entry 2 refused "b2" as surplus of "threads" 9 times at a share of 4 and a demand of 32
    And entry 1 left 5 requests of "/chat" unserved by "refused again"
    And entry 2 left 2 requests of "/chat" unserved by "refused again"
    And entry 2 left 1 request of "/chat" unserved by "deadline"
    And entry 1 offered 4 chains to "south" of which 1 was accepted
    When the status of all entries is printed as JSON
    Then its exit code is 0
    And its JSON at "regions.south" is {"round_trip_seconds": 0.03, "window": 4096, "bytes": {"call": 3000, "order": 500}}
    And its JSON at "accounts" is [{"account": "b2", "place": "threads", "share": 4.0, "demand": 32.0, "refused": 9}, {"account": "a7", "place": "tokens", "share": 28.5, "demand": 212.0, "refused": 4}]
    And its JSON at "unserved" is {"/chat": {"refused again": 7, "deadline": 1}}
    And its JSON at "borrowed_chains" is {"south": {"accepted": 1, "refused": 3}}
    When the status of all entries is printed
    Then its exit code is 0
    And its tables hold the rows
      | row                                              |
      | south 30.0 4096 call=3000 order=500              |
      | b2 threads 9 4.0 32.0                            |
      | a7 tokens 4 28.5 212.0                           |
      | /chat deadline=1 refused again=7                 |
      | south accepted=1 refused=3                       |
    And it prints "b2" before "a7"

  Scenario: entries with a memory limit
    Given an entry with a memory limit of 64000000 that holds 3000 bytes of requests and 5000 of output
    And an entry without a memory limit
    And entry 1 refused 6 requests for memory and abandoned 2 slow readers
    When the status of all entries is printed as JSON
    Then its JSON at "entries.0.memory_limit" is 64000000
    And its JSON at "entries.0.memory_bytes" is {"request": 3000, "answer": 0, "output": 5000, "peer": 0}
    And its JSON at "entries.0.memory_refused" is 6
    And its JSON at "entries.0.slow_readers_abandoned" is 2
    And its JSON at "entries.1.memory_limit" is 0
    And its JSON at "entries.1.memory_bytes" is {}
    When the status of all entries is printed
    Then its tables hold the rows
      | row                                    |
      | ENTRY-1 64000000 3000 0 5000 0 6 2     |
    And its table "memory" has 1 row

  Scenario: what has no data is not printed
    Given an entry without a memory limit
    When the status of all entries is printed as JSON
    Then its JSON at "entries" counts 1
    And its JSON at "regions" is {}
    And its JSON at "accounts" is []
    And its JSON at "unserved" is {}
    And its JSON at "borrowed_chains" is {}
    When the status of all entries is printed
    Then it prints no table "region"
    And it prints no table "account"
    And it prints no table "memory"
    And it prints no table "unserved"
    And it prints no table "borrowed"

  Scenario: a region that no entry has measured
    Given an entry that exchanged with region "south" 0 bytes of calls and 0 of orders, 0 ms away with a window of 4096
    And an entry that exchanged with region "south" 70 bytes of calls and 0 of orders, 0 ms away with a window of 8192
    When the status of all entries is printed
    Then its tables hold the rows
      | row                  |
      | south - 4096 call=70 |

  Scenario: an entry of an earlier release and one that is not there
    Given an entry whose metrics are
      """
      # TYPE boragestream_version gauge
      boragestream_version 7.0
      # TYPE boragestream_requests_total counter
      boragestream_requests_total{route="/chat",outcome="answered",reason=""} 3.0
      """
    And an address without an entry
    When the status of all entries is printed as JSON
    Then its exit code is 3
    And its JSON at "entries.0.version" is 7
    And its JSON at "requests" is {"/chat": {"answered": 3}}
    And its JSON at "unreachable" counts 1
