Feature: an entry outlasts answers of the store that can't be read

  # Guards against an answer that ends the thread which follows the store, or that sets
  # its revision beyond every later one: the entry then knows no change any more.
  @fixture.route-site.1
  Scenario Outline: an entry goes on following a store that answered with <odd>
    When the store answers with <odd> for 2 seconds
    Then all entries serve "/safe/ok"
    When version 2 is published with the route "/new/"
    Then all entries serve "/new/ok"

    Examples:
      | odd                              |
      | 100,000 levels                   |
      | 100,000 levels in unknown fields |
      | a revision of 400 digits         |
      | items of revisions of 400 digits |
      | a revision of 5,000 digits       |

  # Guards against a history that is too long for one answer, and stops an entry from
  # following the store until the store has dropped it.
  @fixture.route-site.2
  Scenario Outline: an entry follows a store that was unreachable while <what> of 6 MB came
    When the store is unreachable while <what> of 6 MB are published
    Then all entries serve "/safe/ok"
    And all entries follow the last of the <what>

    Examples:
      | what           |
      | configurations |
      | server entries |

  # Guards against the same when the entry has just started and knows nothing yet.
  @fixture.route-site.1
  Scenario Outline: an entry that starts while the store answers with <odd> serves later
    Given "entry-0" ends
    When "entry-0" starts while the store answers with <odd>
    Then all entries serve "/safe/ok"

    Examples:
      | odd                              |
      | 100,000 levels in unknown fields |
      | a revision of 400 digits         |
      | items of revisions of 400 digits |

  # Guards against a configuration that is taken into force and then fails each call, as
  # sums of its numbers and floats raise, or whose version no later one exceeds.
  @fixture.route-site.2
  Scenario Outline: a configuration with <number> as <field> is refused, the one before holds
    When version 2 is published with <number> as <field>
    Then an entry that follows the store refuses it, and none has it in force
    And all entries serve "/safe/ok", "/chat/ok" and "/staged/ok"
    When version 3 is published with the route "/new/"
    Then all entries serve "/new/ok"

    Examples:
      | field                   | number   |
      | version                 | 9 x 20   |
      | version                 | 9 x 400  |
      | version                 | 9 x 5000 |
      | services.0.max_conns    | 9 x 400  |
      | services.2.pieces.slots | 9 x 400  |
      | services.2.pieces.batch | 9 x 400  |
      | services.2.pieces.call_ms | 1e308  |
      | services.2.pieces.headroom_mb | 1e308 |
      | services.1.engine.slots | [ x 5000 |

  # Guards against entries of another writer that end what reads the list, at entries
  # that watch the store, at those to which the list is relayed, and at one that starts;
  # the stand-in's lists come in pages of three items.
  @fixture.route-site.3
  Scenario: odd server entries are left out by all entries, and the list is followed
    When odd server entries are listed, and "entry-2" starts anew
    Then all entries serve "/safe/ok", "/chat/ok" and "/staged/ok"
    When version 2 is published with the route "/new/"
    Then all entries serve "/new/ok"
    When a new server of "plain" is listed
    Then all entries list 7 servers, and no task has failed
