Feature: an entry tells its own lost links from servers that have died or pause

  # Guards against a pause of the servers that is taken for a cut of this entry's links.
  Scenario: servers that are silent to all entries for a second cut nobody off
    Given an entry that was answered 1.5 s ago and whose calls are silent since
    When all its probes hang, and another entry was answered 1.5 s ago
    Then it reaches the service

  Scenario: an answer that another entry had since shows the cut
    Given an entry that was answered 1.5 s ago and whose calls are silent since
    When all its probes hang, and another entry was answered 0.1 s ago
    Then it is cut off from the service
    And a call that may be repeated is abandoned, one that may not goes on

  Scenario: refused connections alone raise a suspicion that a check can refute
    Given an entry whose connects to 2 servers are refused
    Then the service is suspect
    When a check finds no other entry that was answered since
    Then the service is not suspect until calls fail anew

  # Guards against a suspicion that is dropped although another entry was answered, in the
  # moments after the links were lost: streams that break then would not go on elsewhere.
  Scenario Outline: a suspicion <stays> if another entry was last answered <when> the first failure
    Given an entry whose connects to 2 servers are refused
    When 4 checks find that another entry was last answered <when> the first failure
    Then the suspicion <stays>

    Examples:
      | when          | stays    |
      | 0.01 s after  | stays    |
      | 0.01 s before | is ended |

  # Guards against a suspicion that is dropped because no other entry could be asked:
  # requests would not be delegated once the other entries are reached again.
  Scenario Outline: a suspicion <stays> if the other entry <gives> in <count> checks
    Given an entry whose connects to 2 servers are refused
    When <count> checks find that the other entry <gives>
    Then the suspicion <stays>

    Examples:
      | count | gives                  | stays    |
      | 4     | gives no answer        | stays    |
      | 14    | gives no answer        | stays    |
      | 4     | was never answered     | is ended |

  # Guards against owners of stage queues that never suspect that they are cut off: they
  # call the servers of their own region alone, and there may be a single one.
  Scenario Outline: failures at one server raise <what> suspicion: <regions>
    Given servers of one service in the regions "<regions>"
    When calls fail at one of them with no answer in between
    Then that raises <what> suspicion

    Examples:
      | regions                   | what |
      | valley hills              | a    |
      | valley                    | a    |
      | valley valley hills       | a    |
      | valley valley hills hills | no   |
      | valley valley             | no   |

  # Guards against connections that are opened in vain while kept ones still work.
  Scenario: kept connections are used while only new ones fail
    Given an entry that is cut off and is still answered on kept connections
    Then calls that need a new connection can't reach the service, others can
    When the kept connections are silent for 2 s
    Then no call can reach the service

  Scenario: a cut ends with two answers on new connections, after a second cut with four
    Given an entry that is cut off
    Then 2 answers on new connections end the cut
    When it is cut off again 1 s later
    Then 4 answers on new connections end the cut

  # Guards against an entry that restarted and counts as cut off for what its predecessor
  # announced, or for good.
  Scenario: what an entry announced ends with its life, or after a while
    Given an entry that announced that it is cut off from all services
    Then it owns nothing for others
    When it has restarted
    Then it may own queues again
    When it announces the same and is not heard again for 60 s
    Then it may own queues again

  # Guards against an entry that counts as cut off elsewhere because the first messages
  # after its return were lost.
  Scenario: an entry that missed the end of a cut hears of it with a later message
    Given an entry whose cut is known to another one
    When it reaches its servers again, and 30 of its messages are lost in 5 s
    Then the other one knows that it is over after the next message

  # Guards against two parts of the exchange with one name, of which each message carries
  # one, and its receiver reads it as the other.
  Scenario: the exchange takes no second part of a name
    Given an exchange with a part
    Then a second part of the same name is refused

  Scenario: nothing is sent about cuts while there are none
    Then the parts of cut entries and brittle services take no byte in a message

  Scenario: if all entries are cut off, all keep their roles
    Given three entries that all announced that they are cut off
    Then all three are ranked as before

  # Guards against callers who pretend to be an entry.
  Scenario Outline: a proof of delegation with another <part> proves nothing
    Given the proof of a delegated request
    Then with another <part> it proves nothing

    Examples:
      | part       |
      | key        |
      | request id |
      | sender     |
      | number of runs |
      | mac        |

  # Guards against requests that bounce between entries.
  Scenario Outline: a request that <what> is delegated <times> times
    Given an entry that is cut off, with 4 other entries that <answer>
    When a request that <what> comes
    Then it was sent to <times> entries and ends as <end>

    Examples:
      | what                    | answer                | times | end     |
      | may run once            | refuse it             | 3     | refused |
      | may run once            | break off             | 1     | unknown |
      | may be repeated         | break off             | 3     | failed  |
      | may run once            | can't be reached      | 3     | refused |
      | another entry delegated | refuse it             | 0     | refused |

  # Guards against repeats beyond the attempts of a route and the bound on repeats, when
  # other entries that may have run the request give no answer or fail.
  Scenario Outline: a request of <attempts> attempts with <left> repeats left that other entries <answer> is sent to <times>
    Given an entry that is cut off, with 4 other entries that <answer>
    When a request with <attempts> attempts comes, while <left> repeats are left
    Then it was sent to <times> entries and ends as <end>

    Examples:
      | attempts | left | answer           | times | end     |
      | 3        | 2    | break off        | 3     | failed  |
      | 2        | 9    | break off        | 2     | failed  |
      | 3        | 1    | break off        | 2     | failed  |
      | 3        | 0    | break off        | 1     | failed  |
      | 3        | 0    | fail             | 1     | failed  |
      | 2        | 9    | fail             | 2     | failed  |
      | 2        | 9    | fail twice       | 1     | failed  |
      | 3        | 9    | fail twice       | 2     | failed  |
      | 3        | 0    | can't be reached | 3     | refused |
      | 3        | 0    | refuse it        | 3     | refused |

  # Guards against requests that were cut by the crash of a server and are then refused by
  # another entry, which suspects them of it.
  Scenario Outline: a request of which <runs> attempts may have run is <done> on suspicion alone
    Given an entry whose connects to 2 servers are refused, with another entry
    Then a request of which <runs> attempts may have run is <done>

    Examples:
      | runs | done          |
      | 0    | delegated     |
      | 1    | not delegated |

  # Guards against streams that break after some events although another entry reaches the
  # servers, and against runs beyond the attempts of a route.
  Scenario Outline: a stream with <events> events and <runs> runs of at most 2 is <done> on suspicion alone
    Given an entry whose connects to 2 servers are refused, with another entry
    Then a stream with <events> events and <runs> runs of at most 2 is <done>

    Examples:
      | events | runs | done          |
      | 3      | 1    | delegated     |
      | 3      | 2    | not delegated |
      | 0      | 1    | not delegated |

  Scenario Outline: the header "<text>" says that a server <verdict>
    Then the header "<text>" says that a server <verdict>

    Examples:
      | text     | verdict        |
      | 0        | is brittle     |
      | 4        | is brittle     |
      | 0,3      | is brittle     |
      | -1       | is brittle     |
      | nan      | is brittle     |
      | soon     | is brittle     |
      | 1e9      | is not brittle |

  Scenario: a rejection lowers the places at once, and they rise slowly below it
    Given a brittle service with 8 places at each server
    When a server rejects a call while 5 stay
    Then 5 calls may be at each server
    When all places are taken 2 s later
    Then 5 calls may be at each server
    When a server rejects a call while 3 stay
    And all places are taken 4 s later
    Then 3 calls may be at each server

  # Guards against a server that is overrun in its new incarnation before it can say that
  # it is brittle.
  Scenario: a server that comes back in a new incarnation is brittle from the start
    Given a brittle service with 8 places at each server
    When a server comes back in a new incarnation
    Then 8 calls may be at it
    When an answer that was sent 2 s later does not say so
    Then any number of calls may be at it

  # Guards against places that stay taken for good when the return of a seat is lost.
  Scenario: a seat whose return is lost is free again after its call's deadline
    Given an entry that grants the 2 places at a brittle server
    When 2 seats are taken for 1 s and never returned
    Then no seat is free for 2 s, and one is free after that

  # Guards against places that fall to 1 for good since the calls beside a rejected one
  # had ended by the time its seat was returned.
  Scenario Outline: a rejection counts the calls that were beside it, however late its seat is returned
    Given an entry that grants the 7 places at a brittle server
    When all 7 are taken and the <order> <rejected> are rejected and returned <when>
    Then <places> calls may be at each server

    Examples:
      | order | rejected | when                                      | places |
      | first | 1        | at once                                   | 6      |
      | first | 1        | after the others                          | 6      |
      | last  | 1        | after the others                          | 6      |
      | first | 3        | at once                                   | 4      |
      | first | 3        | after the others                          | 4      |
      | last  | 3        | after the others                          | 4      |
      | first | 3        | after the others and as many calls since  | 4      |
      | last  | 3        | after the others and as many calls since  | 4      |

  # Guards against connections that end while their server pauses for a second or two,
  # and against ones that hang for long where it has gone.
  Scenario: a connection outlives a silence of two seconds and ends soon after three
    Given a connection whose dead peer is to be detected
    Then its probes and its unacknowledged data end it after 2 to 4 seconds
