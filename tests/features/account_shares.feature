Feature: in a shortage each client account gets its share, and a surplus bears itself

  # A division that is not work-conserving would leave capacity unused.
  Scenario Outline: the level of weighted max-min fairness
    Then a capacity of <capacity> divided between demands "<demands>" with the weights "<weights>" has the level <level>

    Examples:
      | capacity | demands | weights | level |
      | 10       | 2 3 4   | 1 1 1   | inf   |
      | 9        | 5 5 5   | 1 1 1   | 3     |
      | 9        | 1 8 8   | 1 1 1   | 4     |
      | 12       | 9 9     | 2 1     | 4     |
      | 12       | 2 90    | 2 1     | 10    |
      | 0        | 1 1     | 1 1     | 0     |

  # The surplus of one account must not cost the others their service, and a division that
  # does nothing must not pass.
  Scenario Outline: one account of 16 sends eight times its typical demand to a stage
    Given a stage of <servers> servers with <load> of its capacity asked for by 16 accounts
    When account <account> sends 8 times its demand for 12 s
    Then each kind of the other accounts is within 0.05 of its attainment without it
    And without shares some kind of the others loses <loses> or more
    And surplus is refused of account <account> with a time to return of up to 5 s

    Examples:
      | servers | load | account | loses |
      | 9       | 0.7  | 0       | 0.3   |
      | 9       | 0.9  | 0       | 0.3   |
      | 9       | 0.9  | 9       | 0.05  |

  # An account that grows no more than the others has no surplus.
  Scenario: the demand of all accounts grows alike
    Given a stage of 9 servers with 0.7 of its capacity asked for by 16 accounts
    When all accounts send 3 times their demand for 12 s
    Then each kind of all accounts is within 0.05 of its attainment without shares
    And refused surplus is less than 0.01 of all requests

  # Without a shortage, a large growth is no reason to refuse anything.
  Scenario: an account uses what the others leave
    Given a stage of 9 servers with 0.3 of its capacity asked for by 16 accounts
    When account 0 sends 8 times its demand for 12 s
    Then all kinds of account 0 have an attainment of 0.99 or more
    And no surplus is refused

  # A chain whose last stage is booked must not count twice, nor be refused after its
  # first stages have run.
  Scenario: a booked order is counted once and keeps its place
    Given the queue of 1 server with shares, and orders of accounts "a b c" for 20 s
    When account "a" books 40 orders of 4 pieces within a second
    Then some of its bookings are refused as surplus
    And the orders of its accepted bookings are accepted
    And its demand is that of 40 orders

  # A new owner knows no weights; it must not refuse large accounts for being large.
  Scenario: the owner of a queue dies and the next one knows nothing
    Given a stage of 9 servers with 0.9 of its capacity asked for by 16 accounts
    And a new owner without state 15 s before the surge
    When account 0 sends 8 times its demand for 12 s
    Then each kind of the other accounts is within 0.05 of its attainment without it

  Scenario: an owner without any recorded demand refuses nothing as surplus
    Given shares without recorded demand
    Then a first request of an account is no surplus at any capacity

  Scenario: a new account starts with the mean weight
    Given shares with accounts "a b c" at 2, 4 and 6 a second for 60 s
    When account "d" sends its first request
    Then the weight of "d" is the mean of the others' within 0.5

  Scenario: a surplus raises the weight of its account slowly
    Given shares with accounts "a b c" at 4, 4 and 4 a second for 60 s
    When account "a" sends 32 a second for 15 s
    Then the weight of "a" is at most 1.2 times that of "b"

  # Tokens must go to the more urgent kinds of the account that has a surplus.
  Scenario: within an account the more urgent kinds go first
    Given a stage of 9 servers with 0.9 of its capacity asked for by 16 accounts
    When account 0 sends 8 times its demand for 12 s
    Then the more urgent a kind of account 0 is, the higher is its attainment

  # Reports that are lost and entries that are unknown must not hide a surplus.
  Scenario Outline: the same at a service that <entries> entries forward to
    Given <entries> entries before a service with <load> of its capacity asked for
    And half of the reports are lost and half of the entries are unknown to each
    When account <account> sends 8 times its demand to them for 12 s
    Then the attainment of all other accounts there is within 0.05 of that without it
    And without shares it is lower by <loses> or more

    Examples:
      | entries | load | account | loses |
      | 6       | 0.7  | 0       | 0.1   |
      | 6       | 0.9  | 9       | 0.02  |
      | 74      | 0.7  | 0       | 0.1   |
      | 195     | 0.7  | 0       | 0.1   |

  # A refusal by a single full server is no shortage of the service.
  Scenario Outline: an account uses what the others leave at a service
    Given <entries> entries before a service with 0.2 of its capacity asked for
    When account 0 sends 8 times its demand to them for 12 s
    Then all requests of account 0 there have an attainment of 0.98 or more

    Examples:
      | entries |
      | 6       |
      | 74      |

  Scenario: without any report an entry still serves as without shares
    Given 6 entries before a service with 0.7 of its capacity asked for
    And no entry receives a report
    When account 0 sends 1 times its demand to them for 12 s
    Then less than 0.01 of all requests there are refused as surplus

  # A surplus must be refused before the stages of its request have run, and by the entry
  # that received it.
  Scenario: an entry whose servers are full refuses a surplus at once
    Given an entry that forwards 10 requests a second of each of 4 accounts to servers
    When its servers are full and account "a" sends 8 times its demand
    Then requests of "a" are refused as surplus and no request of the others is
    And each refusal has an event
    And once servers refuse nothing, requests of "a" are refused no more

  Scenario: without shares an entry whose servers are full refuses no surplus
    Given an entry without shares that forwards 10 requests a second of 4 accounts
    When its servers are full and account "a" sends 8 times its demand
    Then no request is refused as surplus

  # The entry that sent the order must learn why it was refused, and that it never runs.
  Scenario: the owner of a queue refuses a surplus of another entry's orders
    Given the owner of a queue with shares
    When accounts use 0.6 of it for 30 s, and then account "a" sends 8 times as many for 6 s
    Then other entries are told which orders of "a" are over its share
    And no order of the others is refused
    And no piece of a refused order is in the queue

  # Slow requests of one account must not occupy all threads of an entry.
  Scenario: one account occupies the threads of an entry
    Given an entry of 100 threads that 16 accounts use to 0.6
    When account 0 sends 8 times its demand to its threads
    Then no request of the other accounts is refused
    And requests of account 0 are refused with a time to return
    And a thread that was refused to account 0 serves another account at once

  Scenario: all accounts need more threads alike
    Given an entry of 100 threads that 16 accounts use to 0.6
    When all accounts send 3 times their demand to its threads
    Then refusals as surplus are less than 0.02 of all requests

  # A thread that is counted for one account and released for another would stay counted.
  Scenario: a key moves from one account to another
    Given an entry of 100 threads and a key of the account "before"
    When a request with the key begins, and the key moves to the account "after"
    Then its thread counts for "before" until it ends
    And the next request with the key counts for "after"

  Scenario Outline: the part is active only where settings require it
    Given settings with fair shares <setting> and the contracts "<contracts>"
    Then shortages <are> divided between accounts

    Examples:
      | setting | contracts | are     |
      | absent  |           | are not |
      | absent  | pressure  | are     |
      | true    |           | are     |
      | false   | pressure  | are not |

  # Inactive, nothing may differ from the previous release.
  Scenario: inactive, decisions and messages are those of the previous release
    Given a stage of 9 servers with 0.9 of its capacity asked for by 16 accounts
    When account 0 sends 8 times its demand for 12 s without shares
    Then decisions are the same as those for orders without an account
    And stages send orders without an account
    And orders of the previous release have no account

  Scenario: a refused surplus tells its caller when to return
    When a request is refused as surplus with a wait of 1700 ms
    Then it is refused with the code "account-over-share" and a Retry-After of 1.7 s
    And the event names the account, its demand, its weight and the level
    And the metrics name its share and its demand

  # Guards against entries that no longer get the age of published values from peers, and
  # read the store themselves, since reports of demand have filled the messages.
  Scenario: reports of demand leave room for all other parts of a message
    Given an entry whose messages carry a part of 110 bytes after the reports of demand
    And it has demand of 40 accounts and reports of 80 other entries
    When it answers 50 exchanges
    Then each answer has the other part, and each its own report too
