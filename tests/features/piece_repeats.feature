Feature: the owner of a queue makes pieces again for all entries
  One entry sends the pieces of all others, so that its repeats are bounded by what they
  ordered. No process runs here: calls of stage servers are answered by the test.

  Scenario Outline: pieces that a server failed once are made again
    Given the owner of a queue among <entries> entries
    When 200 orders of <pieces> pieces come within 10 s, and one call in <fails> <fails as>
    Then <done> of the orders are done

    Examples:
      | entries | pieces | fails | fails as              | done |
      | 6       | 1      | 12    | spoils its results    | 200  |
      | 195     | 1      | 12    | spoils its results    | 200  |
      | 195     | 3      | 12    | loses its answer      | 200  |

  Scenario: a server that fails everything is not asked without end
    Given the owner of a queue among 195 entries
    When 100 orders of 1 pieces come within 10 s, and one call in 1 spoils its results
    Then at most 120 calls were made
