Feature: real entries keep their promises while links, processes, store and servers fail

  Scenario Outline: faults of one seed, in series and overlapping
    When faults of seed <seed> strike 3 entries for 6 seconds
    Then the soak sees no broken promise, and requests were served

    Examples: seeds that also run by themselves
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: faults of one seed beside data centres that are drained or cold
    When faults of seed <seed> and of data centres strike 3 entries for 6 seconds
    Then the soak sees no broken promise, and requests were served

    Examples: the second showed an entry killed between head and body of an answer
      | seed     |
      | 1        |
      | 45166770 |

  Scenario Outline: faults of one seed beside servers that name limits
    When faults of seed <seed> and limits of servers strike 3 entries for 9 seconds
    Then the soak sees no broken promise, and requests were served

    Examples:
      | seed |
      | 3    |

  Scenario Outline: faults of one seed beside a store that comes back from copies
    When faults of seed <seed> and returns of the store strike 3 entries for 9 seconds
    Then the soak sees no broken promise, and requests were served

    Examples:
      | seed |
      | 4    |

  # Guards against entries that outgrow their memory or serve nobody beside callers that
  # don't read, against a busy account that costs other accounts their service, and
  # against regions that don't serve apart, repeat calls or don't find one another again.
  Scenario Outline: faults of one seed beside <what>
    When faults of seed <seed> and "<family>" strike 3 entries for 5 seconds
    Then the soak sees no broken promise, and requests were served
    And the entries have noticed these faults

    Examples:
      | what                                              | seed | family      |
      | callers that don't read their answers             | 5    | readers     |
      | an account that sends eight times its demand      | 6    | surges      |
      | regions that are parted in one direction or both  | 7    | partitions  |
      | entries that are cut off from all servers         | 8    | cuts        |
      | engines that are replaced by other versions       | 9    | upgrades    |
      | entries that miss such replacements               | 31   | out-of-step |
      | answers that are cut or sent twice                | 10   | spoils      |
      | readers of logs that go, stall and come back      | 11   | logs        |

  # Guards against a check of memory that no entry can fail.
  Scenario: the soak sees an entry that has used more than its memory
    Given a process that has used memory
    Then the soak finds that it has used more than 1 MB, and no more than it has

  # Guards against strikes between entries that let everything through: entries that
  # forward by published routes name themselves by their address.
  Scenario Outline: the network between entries loses what <how> entries send
    Given a network before an echo in the place of "entry-b"
    And an entry "entry-a" that names itself by its <name>
    When the network is <how>
    Then what it sends to "entry-b" has <answer>

    Examples:
      | name    | how            | answer    |
      | name    | whole          | an answer |
      | address | whole          | an answer |
      | name    | split          | no answer |
      | address | split          | no answer |
      | address | lossy there    | no answer |
      | address | lossy back     | no answer |
      | address | lossy at first | an answer |

  # Guards against parted regions whose entries reach one another's servers.
  Scenario Outline: a relay loses what entries of <zone> send to a server of hall-b, <how>
    Given a server of "hall-b" behind a relay, and this process as an entry of "<zone>"
    When the regions are parted, "<how>"
    Then what it sends to the server has <answer>
    When the regions have healed
    Then what it sends to the server has an answer

    Examples:
      | zone   | how   | answer    |
      | hall-a | both  | no answer |
      | hall-c | there | no answer |
      | hall-a | back  | no answer |
      | hall-b | both  | an answer |

  # Guards against requests of callers long gone that reach a server after the heal, where
  # they count as sent late.
  Scenario: a relay delivers nothing of connections that ended while the regions were parted
    Given a server of "hall-b" behind a relay, and this process as an entry of "hall-a"
    When the regions are parted, "both"
    And 50 connections send something to the server and end
    And the regions have healed
    Then the server has received nothing of them
    And their owners were searched for a few times only
    And what it sends to the server has an answer

  Scenario: the soak sees a server that was sent more than its limit allows
    Given a server with a limit of 1 that 12 requests of two entries reached in 4 seconds
    Then the soak finds that it got more than its limit allows
    Given one of these entries was suspended
    Then the soak finds that it got no more than its limit allows

  Scenario Outline: an answer of which <came> of <announced> bytes came before the end
    When an answer that announces <announced> bytes ends after <came>
    Then its caller takes it for <taken>

    Examples:
      | announced | came | taken     |
      | 5         | 5    | whole     |
      | 5         | 4    | not whole |
      | 5         | 0    | not whole |

  Scenario Outline: <what> again and again
    When the kind "<kind>" strikes 3 entries every second for <seconds> s as "<how>"
    Then the soak sees no broken promise, and requests were served

    Examples:
      | what                                   | kind        | how       | seconds |
      | entries freeze and wake                | PAUSE       |           | 5       |
      | entries can't hear one another         | PEER_LINK   | both      | 5       |
      | one entry hears another, not back      | PEER_LINK   | one-way   | 5       |
      | the store answers late                 | STORE_LINK  | DELAY     | 4       |
      | answers of the store are lost          | STORE_LINK  | CUT_BACK  | 4       |
      | questions to the store are lost        | STORE_DOWN  | lost      | 4       |
      | connections go silent, new ones work   | SERVER_LINK | STALE     | 4       |
      | connections of callers go silent       | CALLER_LINK | STALE     | 4       |
      | all entries are killed at once         | KILL_ALL    |           | 3       |
      | entries are stopped in turn            | TERM        |           | 4       |

  Scenario Outline: the soak sees streams of two versions, over the tries of a caller
    Given a soaked stream that began at "v1" and was taken up at "<version>"
    Then the soak finds "<found>"

    Examples:
      | version | found                             |
      | v1      |                                   |
      | v2      | stream s-1 has events of ['v1', 'v2'] |

  Scenario Outline: the soak sees <what>
    Given a soaked request "<kind>" that ran <runs> times and was told <status> with "<body>"
    Then the soak finds "<found>"

    Examples:
      | what                          | kind   | runs | status | body       | found                     |
      | a call made twice             | unsafe | 2    | 200    | i-1 s-1 5  | ran twice                 |
      | an untruthful refusal         | unsafe | 1    | 503    | busy       | refused, and has run      |
      | another request's answer      | safe   | 1    | 200    | i-1 s-2 5  | not its own or not whole  |
      | a cut answer that looks whole | safe   | 1    | 200    | i-1 s      | not its own or not whole  |
      | a success out of nothing      | safe   | 0    | 200    | i-1 s-1 5  | a success that no server  |
      | a stream with a gap           | chat   | 1    | 200    | events 1,3 | a stream with events      |
      | a refused key                 | safe   | 0    | 401    | key        | denied                    |
      | a fourth run                  | safe   | 4    | 200    | i-1 s-1 5  | ran more often            |
      | nothing where all is well     | safe   | 1    | 200    | i-1 s-1 5  |                           |

  Scenario: the soak sees an entry that forgets a version
    Given an entry answered version 5 and 3 seconds later 404 to it
    Then the soak finds "forgot version 5"

  Scenario: a request that hangs counts, unless bytes were lost on its caller's own way
    Given a soaked request that had no answer for 9.5 seconds
    Then the soak finds "left without an answer"
    Given a soaked request that had none since its caller's connection had gone silent
    Then the soak finds ""

  # Guards against a pause that excuses a hang of which it was no part.
  Scenario Outline: a request that hangs counts beside a pause of its entry from <began> to <ended>
    Given a soaked request that had no answer for 9.5 seconds, and whose entry was paused from second <began> to <ended>
    Then the soak finds "<found>"

    Examples:
      | began | ended | found                  |
      | -6    | 0     | left without an answer |
      | -5    | 0.4   | left without an answer |
      | 2     | 7     |                        |

  Scenario: a stale connection stays silent, a new one works, and the relay tells which
    Given a relay to an echo with an open connection
    When the relay's connections go stale and the fault is over
    Then what is sent on the old connection is lost, and the relay says so
    And a new connection echoes, and the relay says that nothing was lost on it

  Scenario: a plan depends on its seed alone
    Then two plans of seed 7 are the same, and one of seed 8 is another
