Feature: servers that have just started get no more requests than they tolerate
  All entries together keep the bound in every second, by what each does alone, while
  entries come and go and know different others. The load is as many requests as the
  entries are given, for a service whose servers are all cold, or a data centre of them.

  Scenario Outline: <entries> entries of which <unknown> know nothing of the others
    Given <entries> entries before 9 cold servers that tolerate <rate> requests a second
    And <unknown> of the entries do not know the others, nor these them
    When each entry is given 20 requests a second for 3 seconds
    Then no cold server gets more than <most> requests in any second
    And each of them gets some

    Examples:
      | entries | unknown | rate | most |
      | 1       | 0       | 22   | 38   |
      | 6       | 0       | 22   | 38   |
      | 6       | 3       | 22   | 38   |
      | 74      | 0       | 22   | 38   |
      | 74      | 37      | 22   | 38   |
      | 195     | 97      | 22   | 38   |
      | 400     | 200     | 22   | 38   |
      | 74      | 37      | 4    | 11   |
      | 74      | 0       | 1    | 6.5  |

  Scenario Outline: <entries> entries that have all just started use no cold server
    Given <entries> entries before 9 cold servers that tolerate 22 requests a second
    And all of the entries have just started and have agreed with nobody
    When each entry is given 20 requests a second for 1 seconds
    Then no cold server gets more than 0 requests in any second

    Examples:
      | entries |
      | 2       |
      | 74      |
      | 400     |

  Scenario: entries that are replaced one after the other keep the bound as well
    Given 74 entries before 9 cold servers that tolerate 22 requests a second
    When each entry is given 20 requests a second for 3 seconds, and one starts again every 0.05 s
    Then no cold server gets more than 38 requests in any second

  Scenario: a cold server gets nothing while there is a warm one
    Given 74 entries before 9 cold servers that tolerate 22 requests a second
    And one further server is warm
    When each entry is given 1 requests a second for 3 seconds
    Then no cold server gets more than 0 requests in any second

  Scenario: a server is used as any other once it is warm
    Given 74 entries before 9 cold servers that tolerate 22 requests a second
    When 3.1 seconds go by for the cold servers
    And each entry is given 20 requests a second for 1 seconds
    Then some server gets more than 100 requests in a second

  Scenario Outline: no bound on cold servers is published or set
    Given 6 entries before 9 cold servers, and <lacking>
    When each entry is given 20 requests a second for 1 seconds
    Then no request is turned away

    Examples:
      | lacking                               |
      | the service names no tolerated rate   |
      | the settings name no bound            |

  Scenario: a bound that not even one request keeps lets none through
    Given 6 entries before 9 cold servers that tolerate 0.2 requests a second with no slack
    When each entry is given 20 requests a second for 1 seconds
    Then no cold server gets more than 0 requests in any second

  Scenario: servers of a data centre that is taken back are cold whatever they say
    Given 6 entries before servers that say that they are warm
    When their data centre is drained and taken back
    Then they are cold for 3 seconds
