Feature: a failed request is explained from logs and metrics alone

  @fixture.route-site.2
  Scenario: three kinds of failure are traced from their ids to their causes
    When a calm request and a calm staged one are sent
    Then they logged 2 lines and 3 lines
    When an unsafe request is sent whose server breaks its answer off
    Then explaining it names the server and "answer-cut", and that it may have run
    When a staged request is sent that no stage server can make in time
    Then explaining it names the service and "stage-saturated"
    When a stream is cut because its entry is killed
    Then explaining it says that no line tells of its end
    And the metrics count the requests by outcome and reason, the attempts and the stages
    And the metrics tell the version in force and the age of the server list
    And one picture of both entries adds up what they ended, and names one that is gone

  Scenario: a quarantined request is traced to the crashes under its earlier ids
    Given logs of two entries, at one of which servers crashed under an earlier return
    Then the story of "r-5" at the other entry names both crashes and "request-quarantined"

  # Guards against a stream whose parts came from several entries and can't be traced.
  Scenario: a stream that was taken up is traced to the request that began it
    When "r-9" is explained from the logs of the entries that served the stream
    Then the request that began it and the server's version are told, with "r-8"
    And the request that was refused is told, with "r-10"

  Scenario: damaged lines are skipped and counted, and lines of others left out
    Given a log with the request "r-1", a damaged line and another request
    Then the story of "r-1" has 2 lines, the version 7 in force and 1 damaged line
    And the story of "r-9" is empty and the command says so

  # Guards against a cause that blames a lost entry: such a request has no other line.
  Scenario: a request that was refused for memory is traced to the budget
    Given a log of an entry that refused a request for memory before its body was read
    Then the story of "r-6" has the cause "memory-exhausted size=4000000 limit=3000"

  Scenario: a reader that does not read does not hold a request up
    Given a log writer whose pipe nobody reads
    When 10000 lines of successes and 100 of failures are logged
    Then logging took no longer than its buffer, and what was dropped is counted
    And once the pipe is read every failure is there

  Scenario: a log writer may be closed twice, and its task ends
    Given a log writer whose pipe nobody reads
    When it is closed twice
    Then its task has ended without an error

  Scenario: labels are bounded
    Given metrics that saw 2000 client accounts and 1000 routes
    Then their text names at most 801 accounts and 257 routes

  @fixture.route-site.2
  Scenario: a request that no server with a limit could take is traced to the limits
    Given all servers of "plain" that name a limit of "0.5" requests a second
    When 40 requests "/safe/ok" a second come to all entries for 2 seconds
    Then the story of a refused one names the limits of both servers and "servers-limited"
    And one picture of both entries tells that 2 servers are limited
